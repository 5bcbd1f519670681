package retry

import "balsamproxy"

// Wanted says whether a refused call may be tried at another target, given a
// permit. A call that may have run is repeated only if it is idempotent.
func Wanted(refusal *balsamproxy.Refusal, idempotent bool) bool {
	switch refusal.Reason {
	case balsamproxy.ReasonDeadline, balsamproxy.ReasonCancelled, balsamproxy.ReasonParentEnded,
		balsamproxy.ReasonTooDeep, balsamproxy.ReasonTooLarge, balsamproxy.ReasonBadRequest,
		balsamproxy.ReasonNoTarget, balsamproxy.ReasonRequestCrashedTargets:
		return false
	}
	return idempotent || refusal.Outcome == balsamproxy.OutcomeNotRun
}
