package shutdown_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/shutdown"
)

// TestMayBeSent guards against requests that are sent to a target late in a planned
// stop and aborted at its end.
func TestMayBeSent(t *testing.T) {
	begin := time.Unix(1000, 0)
	plan := shutdown.Plan{Begin: begin, Grace: 10 * time.Second}
	cases := map[string]struct {
		deadline time.Time
		want     bool
	}{
		"ends before the stop does": {begin.Add(9 * time.Second), true},
		"ends with the stop":        {plan.Finish(), true},
		"may outlast the stop":      {plan.Finish().Add(time.Millisecond), false},
		"no deadline":               {time.Time{}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, plan.MayBeSent(test.deadline), test.want, "deadline %v", test.deadline)
		})
	}
}

func TestStepsAreInOrder(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		plan := shutdown.Plan{Begin: time.Unix(1000, 0), Grace: grace}
		assert.Assert(t, !plan.LeavePeers().After(plan.LastSend()), "grace %v", grace)
		assert.Assert(t, plan.LastSend().Before(plan.CloseIdle()), "grace %v", grace)
		assert.Assert(t, !plan.CloseIdle().After(plan.Finish()), "grace %v", grace)
		assert.Assert(t, plan.Finish().Before(plan.Begin.Add(grace)), "grace %v", grace)
	}
}
