package placement_test

import (
	"fmt"
	"slices"
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
		t.Run(fmt.Sprintf("%d targets", targets), func(t *testing.T) {
			var before, after []result
			for _, age := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond} {
				results := simulate(t, simulation{targets: targets, load: 0.8, reportAge: age, duration: 12 * time.Second})
				before, after = append(before, results["lowest-cost"]), append(after, results["free-room"])
			}
			checks := map[string]func(before, after result) bool{
				"ratio":         func(_, after result) bool { return mean(after.ratios) <= 1.3 },
				"better ratio":  func(before, after result) bool { return mean(after.ratios) < mean(before.ratios) },
				"waits":         func(_, after result) bool { return after.share(after.waits+after.refused) < 0.02 },
				"fewer blocked": func(before, after result) bool { return after.blocked < before.blocked/4 },
				"turned away":   func(_, after result) bool { return after.share(after.blocked) < 0.02 },
				"time":          func(before, after result) bool { return mean(after.milliseconds) <= mean(before.milliseconds) },
			}
			for name, check := range checks {
				t.Run(name, func(t *testing.T) {
					for index := range after {
						assert.Assert(t, check(before[index], after[index]), "%s", after[index])
					}
				})
			}
		})
	}
}

// TestMovedCallers guards against load that swings between data centres when half
// of the callers of one move to another, and against calls that stay away after
// the callers have returned.
func TestMovedCallers(t *testing.T) {
	const leave, back = 12, 20
	moved := func(home int, at time.Duration) int {
		if home%(2*dataCentres) == 0 && at >= leave*time.Second && at < back*time.Second {
			return home + 1
		}
		return home
	}
	results := simulate(t, simulation{targets: 20, load: 0.65, reportAge: 250 * time.Millisecond, duration: 30 * time.Second, host: moved})
	after := results["free-room"]
	t.Logf("shares of remote calls by second, from %v: %.2f", warmUp, after.remoteShares(int(warmUp/time.Second), 30))
	assert.Assert(t, after.share(after.waits+after.refused) < 0.02)
	away := after.remoteShares(leave+2, back)
	assert.Assert(t, slices.Max(away)-slices.Min(away) < 0.1, "%v", away)
	assert.Assert(t, mean(away) > mean(after.remoteShares(6, leave)), "%v", away)
	settled := after.remoteShares(back+3, 27)
	assert.Assert(t, mean(settled) < mean(away)/2, "%v", settled)
}
