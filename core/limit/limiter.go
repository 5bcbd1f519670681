// Package limit decides which calls are admitted to a target, which are queued
// and which are shed, by an adaptive concurrency limit.
package limit

import (
	"time"

	"balsamproxy"
)

// Ticket identifies a call at a Limiter.
type Ticket uint64

// backgroundDivisor is the inverse of the fraction of the slots in which
// background calls take precedence over all others.
const backgroundDivisor = 20

// Request describes a call that asks for admission.
type Request struct {
	Ticket   Ticket
	Account  balsamproxy.ClientAccountID
	Priority balsamproxy.Priority
	// Background is set if the call serves no customer request.
	Background bool
	// Deadline is the time after which the result is of no use.
	Deadline time.Time
}

// Verdict is the result of an admission decision.
type Verdict int

// Admission verdicts.
const (
	// Admitted lets the call proceed to the target now.
	Admitted Verdict = iota
	// Waiting queues the call.
	Waiting
	// Shed rejects the call because the queue is full.
	Shed
	// Expired rejects the call because it cannot meet its deadline.
	Expired
)

// Decision is the verdict on a queued call.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
}

// Completion describes the end of an admitted call.
type Completion struct {
	Account    balsamproxy.ClientAccountID
	Background bool
	// Duration is how long the target took, zero if the caller cancelled the call.
	Duration time.Duration
	// TimedOut is set if the target did not respond before the deadline.
	TimedOut bool
}

// Limiter limits the concurrent calls to one target. It is not safe for
// concurrent use; its owner holds a lock. The zero value admits nothing until
// SetSlots is called.
type Limiter struct {
	adaptive adaptiveLimit
	inFlight int
	// usage counts the admitted calls of each account.
	usage map[balsamproxy.ClientAccountID]int
	// background counts the admitted calls that serve no customer request.
	background int
	queue      queue
}

// SetSlots sets the concurrency that the target announced. A cold target
// starts with a fraction of it. SetSlots returns the decisions on queued
// calls.
func (limiter *Limiter) SetSlots(most int, cold bool, now time.Time) []Decision {
	limiter.adaptive.setSlots(most, cold)
	return limiter.admitWaiting(now)
}

// Acquire requests admission of a call. The decisions are those on other,
// queued calls.
func (limiter *Limiter) Acquire(request Request, now time.Time) (Verdict, []Decision) {
	if limiter.tooLate(request, now) {
		return Expired, nil
	}
	if limiter.inFlight < limiter.adaptive.limit() && len(limiter.queue.waiting) == 0 {
		limiter.admit(request)
		return Admitted, nil
	}
	if len(limiter.queue.waiting) < limiter.adaptive.maxSlots {
		limiter.queue.push(request)
		return Waiting, nil
	}
	return limiter.evictFor(request, now)
}

// rank orders calls by priority. Background calls rank first while few of them
// are in flight, so that they succeed under load, and last otherwise, so that
// they do not displace customer requests.
func (limiter *Limiter) rank(request Request) int {
	switch {
	case !request.Background:
		return int(request.Priority)
	case limiter.background < max(1, limiter.adaptive.maxSlots/backgroundDivisor):
		return int(balsamproxy.PriorityHighest) + 1
	default:
		return int(balsamproxy.PriorityLowest) - 1
	}
}

// tooLate reports whether a call of mean duration would miss its deadline.
func (limiter *Limiter) tooLate(request Request, now time.Time) bool {
	return !now.Add(limiter.adaptive.meanDuration).Before(request.Deadline)
}

func (limiter *Limiter) admit(request Request) {
	if limiter.usage == nil {
		limiter.usage = map[balsamproxy.ClientAccountID]int{}
	}
	limiter.inFlight++
	limiter.usage[request.Account]++
	if request.Background {
		limiter.background++
	}
}

// evictFor makes room in a full queue by expiring calls that cannot meet their
// deadlines, or else by shedding a call of a lower rank or of an account with
// more queued calls.
func (limiter *Limiter) evictFor(request Request, now time.Time) (Verdict, []Decision) {
	decisions := limiter.expireLate(now)
	if len(decisions) > 0 {
		limiter.queue.push(request)
		return Waiting, decisions
	}
	evicted, found := limiter.queue.evict(request, limiter.rank)
	if !found {
		return Shed, nil
	}
	limiter.queue.push(request)
	return Waiting, []Decision{{Ticket: evicted.Ticket, Verdict: Shed}}
}

func (limiter *Limiter) expireLate(now time.Time) []Decision {
	var decisions []Decision
	kept := limiter.queue.waiting[:0]
	for _, request := range limiter.queue.waiting {
		if limiter.tooLate(request, now) {
			decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Expired})
			continue
		}
		kept = append(kept, request)
	}
	limiter.queue.waiting = kept
	return decisions
}

// Release returns the slot of an admitted call and returns the decisions on
// queued calls.
func (limiter *Limiter) Release(ended Completion, now time.Time) []Decision {
	limiter.adaptive.observe(ended, limiter.inFlight, now)
	limiter.inFlight--
	limiter.usage[ended.Account]--
	if limiter.usage[ended.Account] <= 0 {
		delete(limiter.usage, ended.Account)
	}
	if ended.Background {
		limiter.background--
	}
	return limiter.admitWaiting(now)
}

// Cancel removes a queued call. It returns false if the call was not queued,
// in which case a decision on it has already been returned.
func (limiter *Limiter) Cancel(ticket Ticket) bool {
	return limiter.queue.remove(ticket)
}

func (limiter *Limiter) admitWaiting(now time.Time) []Decision {
	if len(limiter.queue.waiting) == 0 {
		return nil
	}
	decisions := limiter.expireLate(now)
	for limiter.inFlight < limiter.adaptive.limit() && len(limiter.queue.waiting) > 0 {
		request := limiter.queue.pop(limiter.usage, limiter.rank)
		limiter.admit(request)
		decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Admitted})
	}
	return decisions
}

// Load returns the load report that is sent with responses.
func (limiter *Limiter) Load() balsamproxy.Load {
	return balsamproxy.Load{Limit: limiter.adaptive.limit(), InFlight: limiter.inFlight, Queued: len(limiter.queue.waiting)}
}
