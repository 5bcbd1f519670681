package throttle

import (
	"net/http"
	"time"

	"balsamproxy"
)

// OutcomeOf returns the outcome of an admitted request from its response, or
// from its refusal if there is no response. It reports false if the result says
// nothing about the services behind the target, as if the target itself was full
// or failed.
func OutcomeOf(response *balsamproxy.Response, refusal *balsamproxy.Refusal) (Outcome, bool) {
	if refusal != nil {
		return TimedOut, refusal.Congestion() == balsamproxy.CongestionTimedOut
	}
	switch response.Head.ShownCongestion() {
	case balsamproxy.CongestionRejected:
		return Rejected, true
	case balsamproxy.CongestionTimedOut:
		return TimedOut, true
	default:
		return Served, response.Head.Status < http.StatusInternalServerError
	}
}

// Refuse returns the refusal of a request that was not admitted.
func Refuse(retryAfter time.Duration) *balsamproxy.Refusal {
	refusal := balsamproxy.NotRun(balsamproxy.ReasonDeepServiceOverloaded, "the services that the request needs are overloaded")
	refusal.RetryAfter = retryAfter
	return refusal
}
