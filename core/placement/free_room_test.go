package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
)

// TestFreeRoom covers the shares of the calls that targets get. It guards against
// calls that leave the data centre without need or stay in it without room, and
// against failing, slow and cold targets that get the calls of healthy ones.
func TestFreeRoom(t *testing.T) {
	load := func(inFlight int) balsamproxy.Load { return balsamproxy.Load{Limit: 95, InFlight: inFlight} }
	seen := func(target balsamproxy.TargetID, took time.Duration, outcome placement.Outcome, inFlight int) observed {
		return observed{target: target, calls: 20, took: took, outcome: outcome, load: load(inFlight)}
	}
	const quick, slow = 100 * time.Millisecond, 1500 * time.Millisecond
	near, other, far := endpoint("near", "a"), endpoint("other", "a"), endpoint("far", "b")
	cold := other
	cold.Target.State = balsamproxy.TargetCold
	cases := map[string]struct {
		endpoints []membership.Endpoint
		observed  []observed
		bytes     int
		later     time.Duration
		// target gets between least and most of the calls.
		target      balsamproxy.TargetID
		least, most float64
	}{
		"near while nothing is known":         {[]membership.Endpoint{far, near}, nil, 0, 0, "near", 1, 1},
		"near while there is room":            {[]membership.Endpoint{far, near}, []observed{seen("near", quick, placement.Answered, 50), seen("far", quick/2, placement.Answered, 5)}, 0, 0, "near", 1, 1},
		"far gets a part when near is short":  {[]membership.Endpoint{far, near}, []observed{seen("near", quick, placement.Answered, 95), seen("far", quick, placement.Answered, 40)}, 0, 0, "far", 0.3, 0.95},
		"near when far has no more room":      {[]membership.Endpoint{far, near}, []observed{seen("near", quick, placement.Answered, 90), seen("far", quick, placement.Answered, 90)}, 0, 0, "near", 0.95, 1},
		"a long body stays near":              {[]membership.Endpoint{far, near}, []observed{seen("near", quick, placement.Answered, 85), seen("far", quick, placement.Answered, 10)}, 64 << 10, 0, "near", 1, 1},
		"far when near calls come late":       {[]membership.Endpoint{far, near}, []observed{seen("near", slow, placement.Answered, 20), seen("far", quick, placement.Answered, 20)}, 0, 0, "far", 0.9, 1},
		"far when near fails":                 {[]membership.Endpoint{far, near}, []observed{seen("near", quick, placement.Failed, 20), seen("far", quick, placement.Answered, 20)}, 0, 0, "far", 0.95, 1},
		"near again some time after it fails": {[]membership.Endpoint{far, near}, []observed{seen("near", quick, placement.Failed, 20), seen("far", quick, placement.Answered, 20)}, 0, 20 * time.Second, "near", 0.95, 1},
		"the other when one of two fails":     {[]membership.Endpoint{near, other}, []observed{seen("near", quick, placement.Failed, 20), seen("other", quick, placement.Answered, 20)}, 0, 0, "other", 0.95, 1},
		"both when both fail":                 {[]membership.Endpoint{near, other}, []observed{seen("near", quick, placement.Failed, 20), seen("other", quick, placement.Failed, 20)}, 0, 0, "near", 0.3, 0.7},
		"all when all are late":               {[]membership.Endpoint{near, other}, []observed{seen("near", 9*slow, placement.Answered, 50), seen("other", 9*slow, placement.Answered, 50)}, 0, 0, "other", 0.3, 0.7},
		"half of the work when fully alike":   {[]membership.Endpoint{near, other}, nil, 0, 0, "other", 0.49, 0.51},
		"less work with less room":            {[]membership.Endpoint{near, other}, []observed{seen("near", quick, placement.Answered, 90), seen("other", quick, placement.Answered, 30)}, 0, 0, "near", 0.1, 0.3},
		"less work when slower":               {[]membership.Endpoint{near, other}, []observed{seen("near", 2*quick, placement.Answered, 50), seen("other", quick, placement.Answered, 50)}, 0, 0, "near", 0, 0.45},
		"little work when cold":               {[]membership.Endpoint{near, cold}, nil, 0, 0, "other", 0.01, 0.15},
		"an excluded target gets none":        {[]membership.Endpoint{near, endpoint("excluded", "a")}, nil, 0, 0, "near", 1, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			room := &placement.FreeRoom{DataCentre: "a"}
			for _, observed := range test.observed {
				for range observed.calls {
					room.Begin(observed.target, start)
					room.End(placement.Completion{
						Target: observed.target, Service: "venues", Route: "browse",
						Outcome: observed.outcome, Duration: observed.took, Load: observed.load,
					}, start)
				}
			}
			call := placement.Call{Route: "browse", Bytes: test.bytes, Objective: time.Second, Excluded: []balsamproxy.TargetID{"excluded"}}
			const calls = 400
			count := 0
			for range calls {
				choice, found := room.Choose(test.endpoints, call, func() float64 { return 0.5 }, start.Add(test.later))
				assert.Assert(t, found)
				if choice.Target.ID == test.target {
					count++
				}
			}
			share := float64(count) / calls
			assert.Assert(t, share >= test.least && share <= test.most, "share %v", share)
		})
	}
}

func TestFreeRoomWithoutTargets(t *testing.T) {
	room := &placement.FreeRoom{}
	_, found := room.Choose(nil, placement.Call{}, func() float64 { return 0 }, start)
	assert.Assert(t, !found)
}

// TestHandover guards against calls that are turned away although no other target
// has room, or more than once.
func TestHandover(t *testing.T) {
	cases := map[string]struct {
		inFlight int
		tried    []balsamproxy.TargetID
		want     bool
	}{
		"another target has room":  {40, nil, true},
		"the other target is full": {95, nil, false},
		"turned away once":         {40, []balsamproxy.TargetID{"third"}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			room := &placement.FreeRoom{DataCentre: "a"}
			for _, target := range []balsamproxy.TargetID{"near", "other"} {
				room.Begin(target, start)
				room.End(placement.Completion{Target: target, Service: "venues", Route: "browse", Load: balsamproxy.Load{Limit: 95, InFlight: test.inFlight}}, start)
			}
			endpoints := []membership.Endpoint{endpoint("near", "a"), endpoint("other", "a")}
			choice, found := room.Choose(endpoints, placement.Call{Route: "browse", Objective: time.Second, Tried: test.tried}, func() float64 { return 0.5 }, start)
			assert.Assert(t, found)
			assert.Equal(t, choice.Handover, test.want)
		})
	}
}
