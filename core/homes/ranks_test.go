package homes_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/homes"
)

var present = []balsamproxy.HostID{"a", "b", "c"}

// first returns the host that goes first for group 0.
func first() balsamproxy.HostID {
	for _, host := range present {
		if homes.Rank(0, host, present) == 0 {
			return host
		}
	}
	return ""
}

func TestRanksAreDistinct(t *testing.T) {
	seen := map[int]bool{}
	for _, host := range present {
		seen[homes.Rank(0, host, present)] = true
	}
	assert.Equal(t, len(seen), len(present))
}

func TestTakes(t *testing.T) {
	leader := first()
	other := present[0]
	if other == leader {
		other = present[1]
	}
	const running = time.Minute
	former := homes.PreviousHome{Host: "gone", Incarnation: "x", Backup: other}
	closed := former
	closed.Closed = true
	cases := map[string]struct {
		candidate homes.Candidate
		want      bool
	}{
		"free, first in rank":    {homes.Candidate{Host: leader}, true},
		"free, later in rank":    {homes.Candidate{Host: other}, false},
		"free for long":          {homes.Candidate{Host: other, FreeFor: time.Minute}, true},
		"held by another":        {homes.Candidate{Host: leader, Tenure: &homes.Tenure{Host: other, Incarnation: "x"}, FreeFor: time.Minute}, false},
		"held by an earlier run": {homes.Candidate{Host: other, Tenure: &homes.Tenure{Host: other, Incarnation: "old"}}, true},
		// Its lease could not be renewed in time, but the store still has it.
		"held under a lease given up": {homes.Candidate{Host: leader, Tenure: &homes.Tenure{Host: leader, Incarnation: "now"}}, true},

		"home gone, backup":                        {homes.Candidate{Host: other, PreviousHome: former, Uptime: running}, true},
		"home gone, backup that has promised":      {homes.Candidate{Host: other, PreviousHome: former, Uptime: running, Promised: true}, false},
		"home gone, backup that just started":      {homes.Candidate{Host: other, PreviousHome: former, Uptime: homes.PromiseValidity}, false},
		"home gone, another one at once":           {homes.Candidate{Host: leader, PreviousHome: former, Uptime: running}, false},
		"home gone for long, another one":          {homes.Candidate{Host: leader, PreviousHome: former, Uptime: running, FreeFor: homes.NonBackupDelay}, true},
		"home stopped, first in rank":              {homes.Candidate{Host: leader, PreviousHome: closed}, true},
		"home stopped, first in rank has promised": {homes.Candidate{Host: leader, PreviousHome: closed, Promised: true}, false},
		"own host held it, record gone":            {homes.Candidate{Host: leader, PreviousHome: homes.PreviousHome{Host: leader, Backup: other}}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			test.candidate.Present = present
			assert.Equal(t, homes.ShouldTake(0, test.candidate), test.want)
		})
	}
}

func TestBackup(t *testing.T) {
	backup := homes.Backup(0, first(), present)
	assert.Assert(t, backup != first() && backup != "")
	assert.Equal(t, homes.Backup(0, "a", []balsamproxy.HostID{"a"}), balsamproxy.HostID(""))
	assert.Equal(t, homes.Backup(0, "gone", present), first())
}

func TestSuccessor(t *testing.T) {
	assert.Assert(t, homes.IsSuccessor(0, first(), "gone", present))
	assert.Assert(t, homes.IsSuccessor(0, homes.Backup(0, first(), present), first(), present))
	assert.Assert(t, !homes.IsSuccessor(0, first(), first(), present))
}
