package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/allowance"
)

func homesOf(hosts ...balsamproxy.HostID) allowance.Homes {
	homes := allowance.Homes{Groups: make([][]balsamproxy.HostID, allowance.Groups)}
	homes.Groups[allowance.GroupOf(account)] = hosts
	return homes
}

// TestTenure checks the share of the burst that host a may use while the
// homes change. All homes have equal shares of 120.
func TestTenure(t *testing.T) {
	type step struct {
		after   time.Duration
		homes   []balsamproxy.HostID
		inForce bool
		want    int
	}
	cases := map[string][]step{
		"more homes":  {{homes: []balsamproxy.HostID{"a"}, inForce: true, want: 120}, {after: time.Minute, homes: []balsamproxy.HostID{"a", "b"}, want: 60}},
		"fewer homes": {{homes: []balsamproxy.HostID{"a", "b"}, inForce: true, want: 60}, {after: time.Minute, homes: []balsamproxy.HostID{"a"}, want: 60}},
		"fewer homes, in force but not settled": {
			{homes: []balsamproxy.HostID{"a", "b"}, inForce: true, want: 60},
			{after: time.Minute, homes: []balsamproxy.HostID{"a"}, inForce: true, want: 60},
		},
		"fewer homes, settled": {
			{homes: []balsamproxy.HostID{"a", "b"}, inForce: true, want: 60},
			{after: time.Minute, homes: []balsamproxy.HostID{"a"}, inForce: true, want: 60},
			{after: allowance.LenderLoanTTL + time.Millisecond, want: 120},
		},
		"two changes under way": {
			{homes: []balsamproxy.HostID{"a", "b", "c"}, inForce: true, want: 40},
			{after: time.Minute, homes: []balsamproxy.HostID{"a", "b"}, want: 40},
			{after: time.Second, homes: []balsamproxy.HostID{"a"}, want: 40},
		},
		"newly named": {
			{homes: []balsamproxy.HostID{"b"}, inForce: true, want: 0},
			{after: time.Minute, homes: []balsamproxy.HostID{"a", "b"}, want: 0},
		},
		"no longer named": {
			{homes: []balsamproxy.HostID{"a"}, inForce: true, want: 120},
			{after: time.Minute, homes: []balsamproxy.HostID{"b"}, want: 0},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := &allowance.HomesTracker{}
			now := time.Unix(1_000_000, 0)
			revision := balsamproxy.Revision(0)
			for _, step := range steps {
				now = now.Add(step.after)
				if step.homes != nil {
					revision++
					tracker.Update(homesOf(step.homes...), revision, now)
				}
				if step.inForce {
					tracker.MarkInForce(revision, now)
				}
				share, _ := tracker.Share(account, "a", allowance.Limits{Rate: 120, Burst: 120}, now)
				assert.Assert(t, share == shareWithBurst(step.want), "%+v", share)
			}
		})
	}
}

// shareWithBurst returns a share with a burst when homes have equal shares of 120.
func shareWithBurst(burst int) allowance.Share {
	if burst == 0 {
		return allowance.Share{}
	}
	return allowance.ShareOf(120, 120, 0, 120/burst)
}
