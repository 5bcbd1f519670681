package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestColdTarget guards against a target that comes back cold and fails because it gets
// its usual load at once. Many senders offer far more than its rate, all the time.
func TestColdTarget(t *testing.T) {
	const rate, warmUp = 8.0, 3 * time.Second
	cases := map[string]struct {
		nested bool
		// warmBefore is the time for which the target was warm before.
		warmBefore time.Duration
	}{
		"direct calls":                 {},
		"nested calls":                 {nested: true},
		"cold again after a warm time": {warmBefore: 5 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := &Controller{}
			now := time.Unix(0, 0)
			controller.SetSlots(50, now)
			var admitted []time.Time
			offer := func(until time.Time) {
				for ; now.Before(until); now = now.Add(5 * time.Millisecond) {
					request := Request{Ticket: Ticket(now.UnixNano()), Nested: test.nested, Deadline: now.Add(5 * time.Second), MaxWait: time.Second, Objective: time.Second}
					verdict, decisions := controller.Acquire(request, now)
					for _, decision := range append(decisions, Decision{request.Ticket, verdict}) {
						if decision.Verdict == Admitted {
							admitted = append(admitted, now)
							decisions = append(decisions, controller.Release(Completion{Nested: test.nested, ServiceTime: time.Millisecond}, now)...)
						}
					}
				}
			}
			offer(now.Add(test.warmBefore))
			admitted = nil
			coldUntil := now.Add(warmUp)
			controller.SetWarmUp(rate, coldUntil, now)
			offer(coldUntil)
			for first := range admitted {
				count := 0
				for _, at := range admitted[first:] {
					if at.Sub(admitted[first]) < time.Second {
						count++
					}
				}
				assert.Assert(t, count <= rate+warmUpBurst, "%d calls in a second", count)
			}
			assert.Assert(t, float64(len(admitted)) >= 0.8*rate*warmUp.Seconds(), "%d calls", len(admitted))
			admitted = nil
			offer(coldUntil.Add(time.Second))
			assert.Assert(t, len(admitted) > 100, "%d calls of a warm target", len(admitted))
		})
	}
}
