package homes_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/homes"
)

var present = []balsamproxy.HostID{"a", "b", "c"}

// first returns the host with rank 0 for group 0.
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
	preferred := first()
	other := present[0]
	if other == preferred {
		other = present[1]
	}
	const running = time.Minute
	previous := homes.PreviousHome{Host: "gone", Incarnation: "x", Backup: other}
	closed := previous
	closed.Closed = true
	cases := map[string]struct {
		candidate homes.Candidate
		want      bool
	}{
		"free, ranked first":     {homes.Candidate{Host: preferred}, true},
		"free, ranked later":     {homes.Candidate{Host: other}, false},
		"free for long":          {homes.Candidate{Host: other, FreeFor: time.Minute}, true},
		"held by another":        {homes.Candidate{Host: preferred, Tenure: &homes.Tenure{Host: other, Incarnation: "x"}, FreeFor: time.Minute}, false},
		"held by an earlier run": {homes.Candidate{Host: other, Tenure: &homes.Tenure{Host: other, Incarnation: "old"}}, true},
		// The host could not renew its lease in time, but the record still exists.
		"held under a lease that was not renewed": {homes.Candidate{Host: preferred, Tenure: &homes.Tenure{Host: preferred, Incarnation: "now"}}, true},

		"home gone, backup":                   {homes.Candidate{Host: other, PreviousHome: previous, Uptime: running}, true},
		"home gone, backup that has promised": {homes.Candidate{Host: other, PreviousHome: previous, Uptime: running, Promised: true}, false},
		"home gone, backup that just started": {homes.Candidate{Host: other, PreviousHome: previous, Uptime: homes.PromiseValidity}, false},
		"home gone, other host at once":       {homes.Candidate{Host: preferred, PreviousHome: previous, Uptime: running}, false},
		"home gone for long, other host":      {homes.Candidate{Host: preferred, PreviousHome: previous, Uptime: running, FreeFor: homes.NonBackupDelay}, true},
		// The store has come back from a copy, and the record of the home is lost.
		"home of an earlier era, ranked first":   {homes.Candidate{Host: preferred, FormerEra: true, FreeFor: time.Minute, InEraFor: homes.FormerEraDelay - 1}, false},
		"home of an earlier era must have ended": {homes.Candidate{Host: preferred, FormerEra: true, FreeFor: time.Minute, InEraFor: homes.FormerEraDelay}, true},
		"own tenure in an older copy":            {homes.Candidate{Host: other, FormerEra: true, Tenure: &homes.Tenure{Host: other, Incarnation: "old"}}, false},
		"backup in an older copy":                {homes.Candidate{Host: other, FormerEra: true, PreviousHome: previous, Uptime: running, FreeFor: time.Minute}, false},

		"home stopped, ranked first":                  {homes.Candidate{Host: preferred, PreviousHome: closed}, true},
		"home stopped, ranked first but has promised": {homes.Candidate{Host: preferred, PreviousHome: closed, Promised: true}, false},
		"own host held it, record gone":               {homes.Candidate{Host: preferred, PreviousHome: homes.PreviousHome{Host: preferred, Backup: other}}, true},
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

func TestIsSuccessor(t *testing.T) {
	assert.Assert(t, homes.IsSuccessor(0, first(), "gone", present))
	assert.Assert(t, homes.IsSuccessor(0, homes.Backup(0, first(), present), first(), present))
	assert.Assert(t, !homes.IsSuccessor(0, first(), first(), present))
}
