package announced_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/announced"
)

var start = time.Unix(1_000_000, 0)

func announcement(id string, born, sequence int64, state balsamproxy.TargetState) balsamproxy.Announcement {
	return balsamproxy.Announcement{
		Target: balsamproxy.Target{
			ID: balsamproxy.TargetID(id), Service: "venues", Address: "127.0.0.1:9", Slots: 4, State: state,
		},
		Born:     born,
		Sequence: sequence,
	}
}

func TestAnnouncements(t *testing.T) {
	ready, draining := balsamproxy.TargetReady, balsamproxy.TargetDraining
	type step struct {
		announce balsamproxy.Announcement
		withdraw balsamproxy.TargetID
		born     int64
		err      error
	}
	cases := map[string]struct {
		steps []step
		ready []balsamproxy.TargetID
	}{
		"ready":                                         {[]step{{announce: announcement("a", 1, 1, ready)}}, []balsamproxy.TargetID{"a"}},
		"draining":                                      {[]step{{announce: announcement("a", 1, 1, draining)}}, nil},
		"draining lasts until a restart":                {[]step{{announce: announcement("a", 1, 1, draining)}, {announce: announcement("a", 1, 2, ready)}}, nil},
		"late announcement":                             {[]step{{announce: announcement("a", 1, 5, draining)}, {announce: announcement("a", 1, 4, ready), err: announced.ErrStale}}, nil},
		"started again under its id":                    {[]step{{announce: announcement("a", 1, 5, draining)}, {announce: announcement("a", 2, 1, ready)}}, []balsamproxy.TargetID{"a"}},
		"late announcement of an earlier start":         {[]step{{announce: announcement("a", 2, 1, draining)}, {announce: announcement("a", 1, 9, ready), err: announced.ErrStale}}, nil},
		"withdrawn":                                     {[]step{{announce: announcement("a", 1, 1, ready)}, {withdraw: "a"}}, nil},
		"announcement after the withdrawal":             {[]step{{announce: announcement("a", 1, 1, ready)}, {withdraw: "a"}, {announce: announcement("a", 1, 2, ready), err: announced.ErrWithdrawn}}, nil},
		"withdrawn before it was known":                 {[]step{{withdraw: "a", born: 1}, {announce: announcement("a", 1, 2, ready), err: announced.ErrWithdrawn}}, nil},
		"withdrawn without a start before it was known": {[]step{{withdraw: "a"}, {announce: announcement("a", start.UnixMilli()-1, 2, ready), err: announced.ErrStale}}, nil},
		"started again after such a withdrawal":         {[]step{{withdraw: "a"}, {announce: announcement("a", start.UnixMilli()+1, 1, ready)}}, []balsamproxy.TargetID{"a"}},
		"withdrawal of an earlier start":                {[]step{{announce: announcement("a", 2, 1, ready)}, {withdraw: "a", born: 1, err: announced.ErrStale}}, []balsamproxy.TargetID{"a"}},
		"address taken over":                            {[]step{{announce: announcement("a", 1, 1, ready)}, {announce: announcement("b", 2, 1, ready)}}, []balsamproxy.TargetID{"b"}},
		"former target of an address":                   {[]step{{announce: announcement("b", 2, 1, ready)}, {announce: announcement("a", 1, 9, ready), err: announced.ErrReplaced}}, []balsamproxy.TargetID{"b"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var table announced.Table
			for _, step := range test.steps {
				var err error
				if step.withdraw != "" {
					_, err = table.Withdraw(step.withdraw, step.born, start)
				} else {
					_, err = table.Announce(step.announce, start)
				}
				assert.ErrorIs(t, err, step.err)
			}
			var found []balsamproxy.TargetID
			for _, state := range table.States() {
				if !state.Leaving && !state.Down {
					found = append(found, state.Target.ID)
				}
			}
			assert.DeepEqual(t, found, test.ready)
		})
	}
}

func TestDownUntilHeardOf(t *testing.T) {
	var table announced.Table
	_, err := table.Announce(announcement("a", 1, 1, balsamproxy.TargetReady), start)
	assert.NilError(t, err)
	assert.Assert(t, table.SetDown("a", true))
	assert.Assert(t, !table.SetDown("a", true))
	changed, err := table.Announce(announcement("a", 1, 2, balsamproxy.TargetReady), start)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Assert(t, table.Expire(time.Second, start.Add(time.Minute)))
	assert.Equal(t, len(table.States()), 0)
}

func TestRecall(t *testing.T) {
	var before, after announced.Table
	for _, step := range []balsamproxy.Announcement{
		announcement("a", 1, 1, balsamproxy.TargetReady), announcement("b", 2, 5, balsamproxy.TargetDraining),
	} {
		_, err := before.Announce(step, start)
		assert.NilError(t, err)
	}
	after.Restore(before.Records(), start)
	leaving := map[balsamproxy.TargetID]bool{}
	for _, state := range after.States() {
		leaving[state.Target.ID] = state.Leaving
	}
	assert.DeepEqual(t, leaving, map[balsamproxy.TargetID]bool{"a": true, "b": true})
	_, err := after.Announce(announcement("b", 2, 4, balsamproxy.TargetReady), start)
	assert.ErrorIs(t, err, announced.ErrStale)
	_, err = after.Announce(announcement("b", 3, 1, balsamproxy.TargetReady), start)
	assert.NilError(t, err)
}
