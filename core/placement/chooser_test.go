package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
)

var start = time.Unix(1_000_000, 0)

func endpoint(id, dataCentre string) membership.Endpoint {
	return membership.Endpoint{
		Host:       balsamproxy.HostID(id),
		DataCentre: balsamproxy.DataCentreID(dataCentre),
		Target:     balsamproxy.Target{ID: balsamproxy.TargetID(id), Service: "venues", Slots: 100},
	}
}

// observed describes calls that a target has completed.
type observed struct {
	target  balsamproxy.TargetID
	calls   int
	took    time.Duration
	outcome placement.Outcome
	load    balsamproxy.Load
}

func TestChoose(t *testing.T) {
	cases := map[string]struct {
		observed  []observed
		bytes     int
		objective time.Duration
		later     time.Duration
		want      balsamproxy.TargetID
	}{
		"near while nothing is known":            {nil, 0, time.Second, 0, "near"},
		"near though far ones are faster":        {[]observed{{"near", 50, 300 * time.Millisecond, placement.Answered, balsamproxy.Load{}}, {"far", 50, 150 * time.Millisecond, placement.Answered, balsamproxy.Load{}}}, 0, 1200 * time.Millisecond, 0, "near"},
		"far when near ones come late":           {[]observed{{"near", 50, 900 * time.Millisecond, placement.Answered, balsamproxy.Load{}}, {"far", 50, 150 * time.Millisecond, placement.Answered, balsamproxy.Load{}}}, 0, 1200 * time.Millisecond, 0, "far"},
		"near again though they were late once":  {[]observed{{"near", 50, 900 * time.Millisecond, placement.Answered, balsamproxy.Load{}}, {"far", 50, 150 * time.Millisecond, placement.Answered, balsamproxy.Load{}}}, 0, 1200 * time.Millisecond, 6 * time.Second, "near"},
		"far when near ones fail":                {[]observed{{"near", 10, 10 * time.Millisecond, placement.Failed, balsamproxy.Load{}}, {"far", 10, 150 * time.Millisecond, placement.Answered, balsamproxy.Load{}}}, 0, time.Second, 0, "far"},
		"near again some time after they failed": {[]observed{{"near", 10, 10 * time.Millisecond, placement.Failed, balsamproxy.Load{}}, {"far", 10, 150 * time.Millisecond, placement.Answered, balsamproxy.Load{}}}, 0, time.Second, 10 * time.Second, "near"},
		"near when all fail at the same rate":    {[]observed{{"near", 40, 10 * time.Millisecond, placement.Failed, balsamproxy.Load{}}, {"far", 40, 10 * time.Millisecond, placement.Failed, balsamproxy.Load{}}}, 0, time.Second, time.Second, "near"},
		"far when near ones report a queue":      {[]observed{{"near", 10, 10 * time.Millisecond, placement.Answered, balsamproxy.Load{Limit: 100, Wait: time.Second}}}, 0, time.Second, 0, "far"},
		"a long body stays near":                 {[]observed{{"near", 50, 430 * time.Millisecond, placement.Answered, balsamproxy.Load{}}, {"far", 50, 100 * time.Millisecond, placement.Answered, balsamproxy.Load{}}}, 16 << 10, time.Second, 0, "near"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			chooser := &placement.Chooser{DataCentre: "a"}
			for _, observed := range test.observed {
				for range observed.calls {
					chooser.Begin(observed.target, start)
					chooser.End(placement.Completion{
						Target: observed.target, Service: "venues", Route: "browse",
						Outcome: observed.outcome, Duration: observed.took, Load: observed.load,
					}, start)
				}
			}
			call := placement.Call{Route: "browse", Bytes: test.bytes, Objective: test.objective}
			endpoints := []membership.Endpoint{endpoint("far", "b"), endpoint("near", "a")}
			got, found := chooser.Choose(endpoints, call, func() float64 { return 0.5 }, start.Add(test.later))
			assert.Assert(t, found)
			assert.Equal(t, got.Target.ID, test.want)
		})
	}
}

// TestCallsUnderWay covers selection while earlier calls are still in flight:
// probes of a target without data are limited, and the load of other daemons
// counts.
func TestCallsUnderWay(t *testing.T) {
	late := observed{target: "near", calls: 50, took: 900 * time.Millisecond}
	cases := map[string]struct {
		observed observed
		// inFlight is the number of calls in flight at each target.
		inFlight map[balsamproxy.TargetID]int
		want     balsamproxy.TargetID
	}{
		"a target without data is probed":             {late, nil, "far"},
		"probes are limited":                          {late, map[balsamproxy.TargetID]int{"far": 2}, "near"},
		"many calls at a target with free slots":      {observed{target: "near", calls: 1, took: 400 * time.Millisecond, load: balsamproxy.Load{Limit: 100, InFlight: 10}}, map[balsamproxy.TargetID]int{"near": 50}, "near"},
		"many calls at a target that others use":      {observed{target: "near", calls: 1, took: 400 * time.Millisecond, load: balsamproxy.Load{Limit: 100, InFlight: 80}}, map[balsamproxy.TargetID]int{"near": 50}, "far"},
		"more calls than slots without a load report": {observed{target: "near", calls: 1, took: 400 * time.Millisecond}, map[balsamproxy.TargetID]int{"near": 130}, "far"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			chooser := &placement.Chooser{DataCentre: "a"}
			for range test.observed.calls {
				chooser.Begin(test.observed.target, start)
				chooser.End(placement.Completion{
					Target: test.observed.target, Service: "venues", Route: "browse",
					Duration: test.observed.took, Load: test.observed.load,
				}, start)
			}
			for target, inFlight := range test.inFlight {
				for range inFlight {
					chooser.Begin(target, start)
				}
			}
			call := placement.Call{Route: "browse", Objective: 1200 * time.Millisecond}
			endpoints := []membership.Endpoint{endpoint("far", "b"), endpoint("near", "a")}
			got, found := chooser.Choose(endpoints, call, func() float64 { return 0.5 }, start)
			assert.Assert(t, found)
			assert.Equal(t, got.Target.ID, test.want)
		})
	}
}

func TestSplitIsExact(t *testing.T) {
	route := config.Route{ID: "r", Split: []config.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	split := &placement.Split{}
	counts := map[balsamproxy.ServiceID]int{}
	for range 1000 {
		counts[split.Next(route)]++
	}
	assert.DeepEqual(t, counts, map[balsamproxy.ServiceID]int{"a": 900, "b": 100})
}
