package callcost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

// TestAttribution guards against calls that are attributed to the wrong route, so
// that a route which causes none is shed for a service that it does not use. Two
// routes share a target; the load is that of a service that both callers and other
// targets use, with a mix that varies at random.
func TestAttribution(t *testing.T) {
	const call = 80 * time.Millisecond
	cases := map[string]struct {
		calls  map[balsamproxy.RouteID]int
		failed bool
	}{
		"one route calls":      {calls: map[balsamproxy.RouteID]int{"lookup": 4}},
		"both routes call":     {calls: map[balsamproxy.RouteID]int{"lookup": 4, "check": 1}},
		"no route calls":       {},
		"failed calls between": {calls: map[balsamproxy.RouteID]int{"lookup": 4}, failed: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // the schedule must be reproducible
			ledger := &Ledger{}
			now := time.Unix(0, 0)
			type request struct {
				route balsamproxy.RouteID
				calls int
			}
			var running []request
			for step := range 40_000 {
				now = now.Add(2 * time.Millisecond)
				route := balsamproxy.RouteID("check")
				if random.Float64() < 0.3 {
					route = "lookup"
				}
				if random.Float64() < 0.1 {
					running = append(running, request{route: route, calls: test.calls[route]})
					ledger.Begin(route, now)
				}
				if test.failed && step%5000 == 0 {
					ledger.RecordCall([]balsamproxy.ServiceCost{{Service: "deep", Pressure: 2}}, true, now)
				}
				if len(running) == 0 {
					continue
				}
				index := random.IntN(len(running))
				if running[index].calls > 0 {
					running[index].calls--
					ledger.RecordCall([]balsamproxy.ServiceCost{{Service: "deep", Work: call, Pressure: 0.5}}, false, now)
				} else if random.Float64() < 0.3 {
					ledger.End(running[index].route, now)
					running = append(running[:index], running[index+1:]...)
				}
			}
			for _, route := range []balsamproxy.RouteID{"lookup", "check"} {
				var got time.Duration
				for _, cost := range ledger.Costs(route, now) {
					got += cost.Work
				}
				want := time.Duration(test.calls[route]) * call
				assert.Assert(t, math.Abs((got-want).Seconds()) < 0.5*call.Seconds(), "%s costs %v, want %v", route, got, want)
			}
		})
	}
}

// TestCostsOfFailingRequests guards against requests that look cheap because they end
// at their first failed call: they would be admitted in place of others.
func TestCostsOfFailingRequests(t *testing.T) {
	ledger := &Ledger{}
	now := time.Unix(0, 0)
	send := func(calls int, failed bool) {
		ledger.Begin("lookup", now)
		for range calls {
			now = now.Add(20 * time.Millisecond)
			ledger.RecordCall([]balsamproxy.ServiceCost{{Service: "deep", Work: 80 * time.Millisecond, Pressure: 1}}, false, now)
		}
		if failed {
			ledger.RecordCall([]balsamproxy.ServiceCost{{Service: "deep", Pressure: 2}}, true, now)
		}
		ledger.End("lookup", now)
	}
	for range 50 {
		send(8, false)
	}
	before := ledger.Costs("lookup", now)[0].Work
	for range 200 {
		send(1, true)
	}
	after := ledger.Costs("lookup", now)[0].Work
	assert.Assert(t, after > before*9/10, "cost fell from %v to %v", before, after)
}

// TestStartInOverload guards against a daemon that starts while the calls of its target
// fail, and never learns what they cost.
func TestStartInOverload(t *testing.T) {
	ledger := &Ledger{}
	now := time.Unix(0, 0)
	for range 50 {
		ledger.Begin("lookup", now)
		now = now.Add(20 * time.Millisecond)
		ledger.RecordCall([]balsamproxy.ServiceCost{{Service: "deep", Work: 80 * time.Millisecond, Pressure: 1}}, false, now)
		ledger.RecordCall([]balsamproxy.ServiceCost{{Service: "deep", Pressure: 2}}, true, now)
		ledger.End("lookup", now)
	}
	costs := ledger.Costs("lookup", now)
	assert.Equal(t, len(costs), 1)
	assert.Assert(t, costs[0].Work > 40*time.Millisecond, "%v", costs[0].Work)
	assert.Assert(t, costs[0].Pressure > 1)
}
