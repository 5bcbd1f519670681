package retry

import "balsamproxy"

// Retryable says whether a refused call may be tried at another target, given a
// permit. A call that may have run is repeated only if it is idempotent.
func Retryable(refusal *balsamproxy.Refusal, idempotent bool) bool {
	switch refusal.Reason {
	case balsamproxy.ReasonDeadline, balsamproxy.ReasonCancelled, balsamproxy.ReasonParentEnded,
		balsamproxy.ReasonTooDeep, balsamproxy.ReasonTooLarge, balsamproxy.ReasonBadRequest,
		balsamproxy.ReasonNoTarget, balsamproxy.ReasonSuspect:
		return false
	}
	return idempotent || refusal.Outcome == balsamproxy.OutcomeNotRun
}
