package entry

import (
	"context"
	"errors"
	"net/http"

	"balsamproxy"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
)

// retryCutoffDivisor sets the fraction of the timeout after which a failed
// response is no longer retried.
const retryCutoffDivisor = 2

// refusalOf returns the refusal that err wraps. For any other error the outcome
// is unknown, so the call may have run.
func refusalOf(err error) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, err.Error())
}

// outcomeOf classifies what a refusal says about its target.
func outcomeOf(ctx context.Context, refusal *balsamproxy.Refusal) placement.Outcome {
	switch refusal.Reason {
	case balsamproxy.ReasonOverloaded:
		if refusal.RefusedByTarget {
			return placement.Failed
		}
		return placement.Refused
	case balsamproxy.ReasonDeadline, balsamproxy.ReasonCancelled:
		if ctx.Err() == context.DeadlineExceeded && refusal.Outcome == balsamproxy.OutcomeMayHaveRun {
			return placement.Failed
		}
		return placement.Inconclusive
	case balsamproxy.ReasonTargetFailed:
		return placement.Failed
	case balsamproxy.ReasonTargetCrashed:
		return placement.Lost
	default:
		// A broken link or a leaving host says nothing about the target. A host
		// that remains absent is removed from the candidates.
		return placement.Inconclusive
	}
}

// handleRefusal records a refusal and reports whether to try another target.
func (transaction *transaction) handleRefusal(ctx context.Context, endpoint membership.Endpoint, refusal *balsamproxy.Refusal) bool {
	attempts := &transaction.attempts
	attempts.last = refusal
	mayHaveRun := refusal.Outcome == balsamproxy.OutcomeMayHaveRun
	attempts.mayHaveRun = attempts.mayHaveRun || mayHaveRun
	if !refusal.RefusedByTarget || mayHaveRun {
		attempts.excluded = append(attempts.excluded, endpoint.Target.ID)
	}
	if refusal.Crash != "" {
		transaction.entry.Crashes.RecordCrash(transaction.fingerprint(), refusal.Crash, attempts.lastSent, transaction.entry.Clock.Now())
	}
	if ctx.Err() != nil || refusal.Reason == balsamproxy.ReasonDeadline || refusal.Reason == balsamproxy.ReasonBadRequest {
		return false
	}
	if !mayHaveRun && !refusal.RefusedByTarget {
		transaction.recordFull(endpoint, refusal)
		return attempts.fullCount <= fullTargetsMax
	}
	transaction.recordSent()
	if mayHaveRun && !transaction.route.Idempotent {
		return false
	}
	return transaction.takeRetry()
}

// recordFull counts a refusal of a request that did not reach the target, and
// keeps the full target with the shortest expected wait.
func (transaction *transaction) recordFull(endpoint membership.Endpoint, refusal *balsamproxy.Refusal) {
	attempts := &transaction.attempts
	attempts.fullCount++
	if refusal.Reason != balsamproxy.ReasonOverloaded {
		return
	}
	if attempts.fullTarget.Target.ID == "" || refusal.Load.Wait < attempts.fullWait {
		attempts.fullTarget = endpoint
		attempts.fullWait = refusal.Load.Wait
	}
}

// takeRetry reports whether the request may be sent to another target and
// deducts the retry from the budget.
func (transaction *transaction) takeRetry() bool {
	if transaction.attempts.sent > transaction.route.EffectiveRetryLimit() || !transaction.entry.Budget.Take(transaction.service) {
		return false
	}
	transaction.entry.Metrics.Tagged(map[string]string{"kind": transaction.kindTag()}).Counter("repeats").Inc(1)
	return true
}

// shouldRetryResponse reports whether to retry a failed response at another
// target.
func (transaction *transaction) shouldRetryResponse(ctx context.Context, response *balsamproxy.Response) bool {
	failed := response.Head.Status == http.StatusInternalServerError || response.Head.Status == http.StatusBadGateway ||
		response.Head.Status == http.StatusServiceUnavailable
	if !failed || response.Head.DependencyFailed || !transaction.route.Idempotent || ctx.Err() != nil {
		return false
	}
	now := transaction.entry.Clock.Now()
	if now.Sub(transaction.request.ReadAt) > transaction.deadline.Sub(transaction.request.ReadAt)/retryCutoffDivisor {
		return false
	}
	attempts := &transaction.attempts
	endpoints := transaction.entry.endpoints(transaction.service)
	if len(endpoints) <= 1 {
		return false
	}
	attempts.mayHaveRun = true
	if !transaction.takeRetry() {
		return false
	}
	attempts.excluded = append(attempts.excluded, attempts.tried[len(attempts.tried)-1])
	_ = response.Body.Close()
	return true
}

// finalRefusal returns the refusal for all attempts together. Its outcome is
// not-run only if no attempt can have run.
func (transaction *transaction) finalRefusal(refusal *balsamproxy.Refusal) *balsamproxy.Refusal {
	final := *refusal
	if transaction.attempts.mayHaveRun {
		final.Outcome = balsamproxy.OutcomeMayHaveRun
	}
	if final.Outcome == balsamproxy.OutcomeNotRun && final.RetryAfter < overloadedRetryAfter {
		final.RetryAfter = overloadedRetryAfter
	}
	return &final
}
