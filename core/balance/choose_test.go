package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/balance"
	"balsamproxy/core/membership"
)

func endpoints(count int) []membership.Endpoint {
	found := []membership.Endpoint{}
	for index := range count {
		id := fmt.Sprintf("t%d", index)
		found = append(found, membership.Endpoint{
			Host:       balsamproxy.HostID(id),
			DataCentre: balsamproxy.DataCentreID(fmt.Sprintf("c%d", index%2)),
			Target:     balsamproxy.Target{ID: balsamproxy.TargetID(id), Slots: 10},
		})
	}
	return found
}

// shares returns how many of a thousand choices fall on each target.
func shares(chooser *balance.Chooser, found []membership.Endpoint, excluded []balsamproxy.TargetID, now time.Time) map[balsamproxy.TargetID]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[balsamproxy.TargetID]int{}
	for range 1000 {
		endpoint, ok := chooser.Choose(found, excluded, random.Uint64(), now)
		if ok {
			counts[endpoint.Target.ID]++
		}
	}
	return counts
}

func TestChoose(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	full := balsamproxy.Load{Limit: 10, InFlight: 10, Queued: 5}
	cases := map[string]struct {
		count    int
		prepare  func(*balance.Chooser)
		excluded []balsamproxy.TargetID
		check    func(map[balsamproxy.TargetID]int) bool
	}{
		"none":                         {0, nil, nil, func(counts map[balsamproxy.TargetID]int) bool { return len(counts) == 0 }},
		"all excluded":                 {1, nil, []balsamproxy.TargetID{"t0"}, func(counts map[balsamproxy.TargetID]int) bool { return len(counts) == 0 }},
		"near is preferred":            {2, nil, nil, func(counts map[balsamproxy.TargetID]int) bool { return counts["t0"] == 1000 }},
		"far when near is full":        {2, func(chooser *balance.Chooser) { chooser.Report("t0", full) }, nil, func(counts map[balsamproxy.TargetID]int) bool { return counts["t1"] == 1000 }},
		"failed one is avoided":        {3, func(chooser *balance.Chooser) { chooser.Avoid("t0", now) }, nil, func(counts map[balsamproxy.TargetID]int) bool { return counts["t0"] == 0 }},
		"only failed ones":             {1, func(chooser *balance.Chooser) { chooser.Avoid("t0", now) }, nil, func(counts map[balsamproxy.TargetID]int) bool { return counts["t0"] == 1000 }},
		"excluded one is never chosen": {3, nil, []balsamproxy.TargetID{"t2"}, func(counts map[balsamproxy.TargetID]int) bool { return counts["t2"] == 0 && counts["t0"] > 0 }},
		"near ones share the load":     {4, nil, nil, func(counts map[balsamproxy.TargetID]int) bool { return counts["t0"] > 200 && counts["t2"] > 200 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			chooser := &balance.Chooser{DataCentre: "c0"}
			if test.prepare != nil {
				test.prepare(chooser)
			}
			counts := shares(chooser, endpoints(test.count), test.excluded, now)
			assert.Assert(t, test.check(counts), "%v", counts)
		})
	}
}
