package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/placement"
)

// policies returns the constructors of the compared policies.
func policies() map[string]func(balsamproxy.DataCentreID) placement.Policy {
	return map[string]func(balsamproxy.DataCentreID) placement.Policy{
		"lowest-cost": func(dataCentre balsamproxy.DataCentreID) placement.Policy {
			return &placement.Chooser{DataCentre: dataCentre}
		},
		"free-room": func(dataCentre balsamproxy.DataCentreID) placement.Policy {
			return &placement.FreeRoom{DataCentre: dataCentre}
		},
	}
}

// simulate returns the results of all policies for the same calls.
func simulate(t *testing.T, scenario simulation) map[string]result {
	t.Helper()
	results := map[string]result{}
	for name, policy := range policies() {
		run := scenario
		run.hosts, run.policy = 80, policy
		results[name] = run.run()
	}
	for _, name := range []string{"lowest-cost", "free-room"} {
		t.Logf("targets %2d load %.2f age %3d ms %-12s %s", scenario.targets, scenario.load, scenario.reportAge.Milliseconds(), name, results[name])
	}
	return results
}

// TestEvenLoad guards against targets that are overloaded in turn while others
// have free slots, because all hosts act on the same old reports. The bounds are
// those of docs/HARD-LOAD.md.
func TestEvenLoad(t *testing.T) {
	for _, targets := range []int{5, 20, 30} {
		for _, age := range []time.Duration{0, 50, 100, 250} {
			t.Run(fmt.Sprintf("%d targets, reports %d ms old", targets, age), func(t *testing.T) {
				results := simulate(t, simulation{targets: targets, load: 0.8, reportAge: age * time.Millisecond, duration: 15 * time.Second})
				before, after := results["lowest-cost"], results["free-room"]
				assert.Assert(t, mean(after.ratios) <= 1.3)
				assert.Assert(t, mean(after.ratios) < mean(before.ratios))
				assert.Assert(t, after.share(after.waits)+after.share(after.refused) < 0.02)
				assert.Assert(t, after.blocked < before.blocked/4)
			})
		}
	}
}
