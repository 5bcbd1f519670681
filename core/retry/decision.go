package retry

import "balsamproxy"

// Retryable reports whether a rejected call may be retried at another target
// if a permit is granted. A call that may have run is retried only if it is
// idempotent.
func Retryable(refusal *balsamproxy.Refusal, idempotent bool) bool {
	switch refusal.Reason {
	case balsamproxy.ReasonDeadline, balsamproxy.ReasonCancelled, balsamproxy.ReasonParentEnded,
		balsamproxy.ReasonTooDeep, balsamproxy.ReasonTooLarge, balsamproxy.ReasonBadRequest,
		balsamproxy.ReasonNoTarget, balsamproxy.ReasonRequestCrashedTargets:
		return false
	}
	return idempotent || refusal.Outcome == balsamproxy.OutcomeNotRun
}
