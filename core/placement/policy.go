package placement

import (
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
)

// Policy selects the targets of calls. Each daemon has one of its own.
type Policy interface {
	// Choose returns the target for a call, or false if there is none. The random
	// function returns uniformly distributed numbers in [0, 1).
	Choose(endpoints []membership.Endpoint, call Call, random func() float64, now time.Time) (Choice, bool)
	// Begin counts a call that is sent to a target.
	Begin(target balsamproxy.TargetID, now time.Time)
	// End records a completed call.
	End(ended Completion, now time.Time)
}

// Choice is a selected target.
type Choice struct {
	membership.Endpoint
	// Handover reports whether the target should turn the call away instead of
	// queueing it, because another target probably has a free slot.
	Handover bool
	// Utilization is the estimated utilization of the target, and Reason why it was
	// selected. They are set by FreeRoom only.
	Utilization float64
	Reason      Reason
}

var (
	_ Policy = (*Chooser)(nil)
	_ Policy = (*FreeRoom)(nil)
)
