package entry

import (
	"context"
	"time"

	"balsamproxy"
	"balsamproxy/core/throttle"
)

// shedRetryDivisor sets the maximum Retry-After of a shed request as a fraction
// of its objective, so that a later attempt can still be in time.
const shedRetryDivisor = 2

// checkThrottle sheds the request if the calls that it causes would probably be
// rejected or time out. Nested requests are not shed, since work has been spent
// on them.
func (transaction *transaction) checkThrottle(context.Context) *balsamproxy.Refusal {
	if transaction.nested {
		return nil
	}
	entry := transaction.entry
	now := entry.Clock.Now()
	if entry.Throttle.Admit(transaction.throttleClass(), entry.Random(), now) {
		transaction.admittedAt = now
		return nil
	}
	// Random, so that shed callers do not return at the same time.
	return throttle.Refuse(overloadedRetryAfter + time.Duration(entry.Random()*float64(transaction.objective()/shedRetryDivisor)))
}

func (transaction *transaction) throttleClass() throttle.Class {
	return throttle.Class{
		Route:    transaction.route.ID,
		Priority: transaction.index.Priority(transaction.account, transaction.route),
	}
}

// recordOutcome reports the outcome of an admitted request to the throttle.
func (transaction *transaction) recordOutcome() {
	if transaction.admittedAt.IsZero() {
		return
	}
	if outcome, known := throttle.OutcomeOf(transaction.response, transaction.refusal); known {
		transaction.entry.Throttle.Record(transaction.throttleClass(), outcome, transaction.admittedAt, transaction.entry.Clock.Now())
	}
}

// congestion returns the kind of congestion because of which the request failed.
func (transaction *transaction) congestion() balsamproxy.Congestion {
	if transaction.refusal != nil {
		return transaction.refusal.Congestion()
	}
	return transaction.response.Head.ShownCongestion()
}
