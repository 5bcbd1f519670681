package placing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/membership"
	"balsamproxy/core/placing"
)

var start = time.Unix(1_000_000, 0)

func endpoint(id, dataCentre string) membership.Endpoint {
	return membership.Endpoint{
		Host:       balsamproxy.HostID(id),
		DataCentre: balsamproxy.DataCentreID(dataCentre),
		Target:     balsamproxy.Target{ID: balsamproxy.TargetID(id), Service: "venues", Slots: 100},
	}
}

// shown is what a target showed in some calls.
type shown struct {
	target  balsamproxy.TargetID
	calls   int
	took    time.Duration
	outcome placing.Outcome
	load    balsamproxy.Load
}

func TestChoose(t *testing.T) {
	cases := map[string]struct {
		shown     []shown
		bytes     int
		objective time.Duration
		later     time.Duration
		want      balsamproxy.TargetID
	}{
		"near while nothing is known":            {nil, 0, time.Second, 0, "near"},
		"near though far ones are faster":        {[]shown{{"near", 50, 300 * time.Millisecond, placing.Answered, balsamproxy.Load{}}, {"far", 50, 150 * time.Millisecond, placing.Answered, balsamproxy.Load{}}}, 0, 1200 * time.Millisecond, 0, "near"},
		"far when near ones come late":           {[]shown{{"near", 50, 900 * time.Millisecond, placing.Answered, balsamproxy.Load{}}, {"far", 50, 150 * time.Millisecond, placing.Answered, balsamproxy.Load{}}}, 0, 1200 * time.Millisecond, 0, "far"},
		"near again though they were late once":  {[]shown{{"near", 50, 900 * time.Millisecond, placing.Answered, balsamproxy.Load{}}, {"far", 50, 150 * time.Millisecond, placing.Answered, balsamproxy.Load{}}}, 0, 1200 * time.Millisecond, 6 * time.Second, "near"},
		"far when near ones fail":                {[]shown{{"near", 10, 10 * time.Millisecond, placing.Failed, balsamproxy.Load{}}, {"far", 10, 150 * time.Millisecond, placing.Answered, balsamproxy.Load{}}}, 0, time.Second, 0, "far"},
		"near again some time after they failed": {[]shown{{"near", 10, 10 * time.Millisecond, placing.Failed, balsamproxy.Load{}}, {"far", 10, 150 * time.Millisecond, placing.Answered, balsamproxy.Load{}}}, 0, time.Second, 10 * time.Second, "near"},
		"near when all fail alike":               {[]shown{{"near", 40, 10 * time.Millisecond, placing.Failed, balsamproxy.Load{}}, {"far", 40, 10 * time.Millisecond, placing.Failed, balsamproxy.Load{}}}, 0, time.Second, time.Second, "near"},
		"far when near ones have a queue":        {[]shown{{"near", 10, 10 * time.Millisecond, placing.Answered, balsamproxy.Load{Limit: 100, Wait: time.Second}}}, 0, time.Second, 0, "far"},
		"a long body stays near":                 {[]shown{{"near", 50, 430 * time.Millisecond, placing.Answered, balsamproxy.Load{}}, {"far", 50, 100 * time.Millisecond, placing.Answered, balsamproxy.Load{}}}, 16 << 10, time.Second, 0, "near"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			chooser := &placing.Chooser{DataCentre: "a"}
			for _, shown := range test.shown {
				for range shown.calls {
					chooser.Begin(shown.target, start)
					chooser.End(placing.Ended{
						Target: shown.target, Service: "venues", Kind: "browse",
						Outcome: shown.outcome, Took: shown.took, Load: shown.load,
					}, start)
				}
			}
			call := placing.Call{Kind: "browse", Bytes: test.bytes, Objective: test.objective}
			endpoints := []membership.Endpoint{endpoint("far", "b"), endpoint("near", "a")}
			got, found := chooser.Choose(endpoints, call, func() float64 { return 0.5 }, start.Add(test.later))
			assert.Assert(t, found)
			assert.Equal(t, got.Target.ID, test.want)
		})
	}
}

// TestCallsUnderWay plays calls that are sent while none has been answered yet.
func TestCallsUnderWay(t *testing.T) {
	late := shown{target: "near", calls: 50, took: 900 * time.Millisecond}
	cases := map[string]struct {
		shown shown
		// open are the calls under way at each target.
		open map[balsamproxy.TargetID]int
		want balsamproxy.TargetID
	}{
		"an unknown target is tried":               {late, nil, "far"},
		"by a few calls only":                      {late, map[balsamproxy.TargetID]int{"far": 2}, "near"},
		"many calls at a target with room":         {shown{target: "near", calls: 1, took: 400 * time.Millisecond, load: balsamproxy.Load{Limit: 100, InFlight: 10}}, map[balsamproxy.TargetID]int{"near": 50}, "near"},
		"many calls at a target that others use":   {shown{target: "near", calls: 1, took: 400 * time.Millisecond, load: balsamproxy.Load{Limit: 100, InFlight: 80}}, map[balsamproxy.TargetID]int{"near": 50}, "far"},
		"more calls than slots at a silent target": {shown{target: "near", calls: 1, took: 400 * time.Millisecond}, map[balsamproxy.TargetID]int{"near": 130}, "far"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			chooser := &placing.Chooser{DataCentre: "a"}
			for range test.shown.calls {
				chooser.Begin(test.shown.target, start)
				chooser.End(placing.Ended{
					Target: test.shown.target, Service: "venues", Kind: "browse",
					Took: test.shown.took, Load: test.shown.load,
				}, start)
			}
			for target, open := range test.open {
				for range open {
					chooser.Begin(target, start)
				}
			}
			call := placing.Call{Kind: "browse", Objective: 1200 * time.Millisecond}
			endpoints := []membership.Endpoint{endpoint("far", "b"), endpoint("near", "a")}
			got, found := chooser.Choose(endpoints, call, func() float64 { return 0.5 }, start)
			assert.Assert(t, found)
			assert.Equal(t, got.Target.ID, test.want)
		})
	}
}

func TestSplitIsExact(t *testing.T) {
	route := config.Route{ID: "r", Split: []config.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	split := &placing.Split{}
	counts := map[balsamproxy.ServiceID]int{}
	for range 1000 {
		counts[split.Next(route)]++
	}
	assert.DeepEqual(t, counts, map[balsamproxy.ServiceID]int{"a": 900, "b": 100})
}
