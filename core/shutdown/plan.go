// Package shutdown schedules the steps of a planned stop.
package shutdown

import "time"

const (
	// peerServeFraction is the fraction of the grace during which calls of peers
	// are accepted, because the targets of this host have not left yet.
	peerServeFraction = 0.2
	// serveFraction is the fraction of the grace during which connections of
	// callers are accepted and their requests sent to targets, for servePeriodMax at
	// most. The platform sends callers elsewhere after two failed readiness probes,
	// which are a second apart. The rest of the grace is left for the responses.
	serveFraction  = 0.4
	servePeriodMax = 3 * time.Second
	// arrivalPeriod is how long an idle connection stays open after the last one has
	// been accepted: its caller may have sent a request just before.
	arrivalPeriod = 300 * time.Millisecond
	// finishFraction is the fraction of the grace after which requests still in
	// progress are aborted.
	finishFraction = 0.94
)

// Plan is the schedule of a planned stop.
type Plan struct {
	// Begin is when the stop began, and Grace the time until the process is killed.
	Begin time.Time
	Grace time.Duration
}

func (plan Plan) after(fraction float64) time.Time {
	return plan.Begin.Add(time.Duration(float64(plan.Grace) * fraction))
}

// LeavePeers returns when peers are told to send no further calls.
func (plan Plan) LeavePeers() time.Time {
	leave := plan.after(peerServeFraction)
	if last := plan.LastSend(); last.Before(leave) {
		return last
	}
	return leave
}

// LastSend returns when the daemon stops accepting connections and sending
// requests to targets.
func (plan Plan) LastSend() time.Time {
	last := plan.after(serveFraction)
	if bound := plan.Begin.Add(servePeriodMax); bound.Before(last) {
		return bound
	}
	return last
}

// CloseIdle returns when the connections that are idle by then are closed.
func (plan Plan) CloseIdle() time.Time {
	closeIdle := plan.LastSend().Add(arrivalPeriod)
	if finish := plan.Finish(); finish.Before(closeIdle) {
		return finish
	}
	return closeIdle
}

// Finish returns when requests still in progress are aborted.
func (plan Plan) Finish() time.Time { return plan.after(finishFraction) }

// MayBeSent reports whether a request that has not been sent to a target at LastSend
// may still be sent: only if it ends by its deadline before Finish. A zero deadline
// means that there is none.
func (plan Plan) MayBeSent(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(plan.Finish())
}
