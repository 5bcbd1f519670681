package announced_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/announced"
)

func stored(id string, born int64, state balsamproxy.TargetState, withdrawn bool) announced.Record {
	return announced.Record{Target: balsamproxy.Target{ID: balsamproxy.TargetID(id), State: state}, Born: born, Withdrawn: withdrawn}
}

// TestConfirmed guards against a target that left while the store did not take the
// record, and that its daemon takes for ready after a restart, or after a restart of all
// daemons at once.
func TestConfirmed(t *testing.T) {
	ready, draining := balsamproxy.TargetReady, balsamproxy.TargetDraining
	lists := func(targets ...balsamproxy.TargetID) announced.Recollection {
		return announced.Recollection{Known: true, Targets: targets}
	}
	inStore := []announced.Record{stored("a", 1, ready, false), stored("b", 1, ready, false)}
	cases := map[string]struct {
		stored []announced.Record
		peers  []announced.Recollection
		want   []balsamproxy.TargetID
	}{
		"no peer knows the earlier run": {inStore, []announced.Recollection{{}, {}}, nil},
		"no peer":                       {inStore, nil, nil},
		"kept as ready, but not known":  {inStore, []announced.Recollection{{Records: []announced.Record{stored("a", 1, ready, false)}}}, nil},
		"a peer knows both":             {inStore, []announced.Recollection{lists("a", "b")}, []balsamproxy.TargetID{"a", "b"}},
		"one has left":                  {inStore, []announced.Recollection{lists("b")}, []balsamproxy.TargetID{"b"}},
		"one peer was cut off before":   {inStore, []announced.Recollection{lists("a", "b"), lists("b")}, []balsamproxy.TargetID{"b"}},
		"one peer has just started":     {inStore, []announced.Recollection{lists("a", "b"), {}}, []balsamproxy.TargetID{"a", "b"}},
		"kept as withdrawn":             {inStore, []announced.Recollection{lists("a", "b"), {Records: []announced.Record{stored("a", 1, ready, true)}}}, []balsamproxy.TargetID{"b"}},
		"kept as draining":              {inStore, []announced.Recollection{{Known: true, Targets: []balsamproxy.TargetID{"a", "b"}, Records: []announced.Record{stored("a", 1, draining, false)}}}, []balsamproxy.TargetID{"b"}},
		"an earlier start was kept":     {[]announced.Record{stored("a", 2, ready, false)}, []announced.Recollection{lists("a"), {Records: []announced.Record{stored("a", 1, ready, true)}}}, []balsamproxy.TargetID{"a"}},
		"draining in the store":         {[]announced.Record{stored("a", 1, draining, false)}, []announced.Recollection{lists("a")}, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, announced.Confirmed(test.stored, test.peers), test.want)
			for _, peer := range test.peers {
				merged := announced.MergeRecords(test.stored, peer.Records)
				for _, record := range announced.MergeRecords(peer.Records, test.stored) {
					assert.Assert(t, contains(merged, record), "the order of the arguments matters")
				}
			}
		})
	}
}

// TestRecollectionSuffices guards against a daemon that asks only peers that were started
// again with it, while others know the earlier run.
func TestRecollectionSuffices(t *testing.T) {
	const wanted, most = 2, 4
	knows, started := announced.Recollection{Known: true}, announced.Recollection{}
	cases := map[string]struct {
		answers []announced.Recollection
		want    bool
	}{
		"no answer":                 {nil, false},
		"one answer":                {[]announced.Recollection{knows}, false},
		"one knows the run":         {[]announced.Recollection{started, knows}, true},
		"started again too":         {[]announced.Recollection{started, started, started}, false},
		"the last one knows":        {[]announced.Recollection{started, started, knows}, true},
		"all were started together": {[]announced.Recollection{started, started, started, started}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, announced.RecollectionSuffices(test.answers, wanted, most), test.want)
		})
	}
}

func contains(records []announced.Record, record announced.Record) bool {
	for _, other := range records {
		if other == record {
			return true
		}
	}
	return false
}
