// Package limit decides which calls a target works on, which ones wait and
// which ones are shed.
package limit

import (
	"time"

	"balsamproxy"
)

// Ticket names one call at a gate.
type Ticket uint64

// backgroundDivisor gives the part of a target's slots that background calls
// may take before all others.
const backgroundDivisor = 20

// Request is a call that asks to pass a gate.
type Request struct {
	Ticket   Ticket
	Account  balsamproxy.ClientAccountID
	Priority balsamproxy.Priority
	// Background says that the call serves no customer request.
	Background bool
	// Deadline is when nobody waits for the call any more.
	Deadline time.Time
}

// Verdict is a gate's answer to a request.
type Verdict int

// Verdicts of a gate.
const (
	// Admitted lets the call go to the target now.
	Admitted Verdict = iota
	// Waiting puts the call into the queue.
	Waiting
	// Shed refuses the call.
	Shed
	// Expired refuses the call since it cannot end before its deadline.
	Expired
)

// Decision tells a waiting call what became of it.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
}

// Completion describes the end of an admitted call.
type Completion struct {
	Account    balsamproxy.ClientAccountID
	Background bool
	// Duration is how long the target worked on the call, zero if it was
	// cancelled by its caller.
	Duration time.Duration
	// TimedOut says that the target gave no answer before the deadline.
	TimedOut bool
}

// Limiter guards one target. It is not safe for use by several goroutines; its
// owner holds a lock. Its zero value admits nothing until Announce.
type Limiter struct {
	adaptive adaptive
	inFlight int
	// usage counts the admitted calls of each account.
	usage map[balsamproxy.ClientAccountID]int
	// background counts the admitted calls that serve no customer request.
	background int
	queue      queue
}

// SetSlots takes what the target says that it can work on. A cold target
// starts with a part of that. It returns the decisions on waiting calls.
func (gate *Limiter) SetSlots(most int, cold bool, now time.Time) []Decision {
	gate.adaptive.announce(most, cold)
	return gate.admitWaiting(now)
}

// Acquire asks for a call to pass. The decisions are those on other calls that
// were waiting.
func (gate *Limiter) Acquire(request Request, now time.Time) (Verdict, []Decision) {
	if gate.tooLate(request, now) {
		return Expired, nil
	}
	if gate.inFlight < gate.adaptive.limit() && len(gate.queue.waiting) == 0 {
		gate.admit(request)
		return Admitted, nil
	}
	if len(gate.queue.waiting) < gate.adaptive.most {
		gate.queue.push(request)
		return Waiting, nil
	}
	return gate.replace(request, now)
}

// rank orders calls: by priority, but background calls come first while few of
// them are at the target, and last otherwise. So they are quiet and dependable.
func (gate *Limiter) rank(request Request) int {
	switch {
	case !request.Background:
		return int(request.Priority)
	case gate.background < max(1, gate.adaptive.most/backgroundDivisor):
		return int(balsamproxy.PriorityHighest) + 1
	default:
		return int(balsamproxy.PriorityLowest) - 1
	}
}

// tooLate says whether a call cannot end in time if it takes as long as usual.
func (gate *Limiter) tooLate(request Request, now time.Time) bool {
	return !now.Add(gate.adaptive.usual).Before(request.Deadline)
}

func (gate *Limiter) admit(request Request) {
	if gate.usage == nil {
		gate.usage = map[balsamproxy.ClientAccountID]int{}
	}
	gate.inFlight++
	gate.usage[request.Account]++
	if request.Background {
		gate.background++
	}
}

// replace makes room in a full queue by dropping calls that cannot end in
// time, or one of a lower priority or of an account that has more waiting.
func (gate *Limiter) replace(request Request, now time.Time) (Verdict, []Decision) {
	decisions := gate.dropLate(now)
	if len(decisions) > 0 {
		gate.queue.push(request)
		return Waiting, decisions
	}
	victim, found := gate.queue.evict(request, gate.rank)
	if !found {
		return Shed, nil
	}
	gate.queue.push(request)
	return Waiting, []Decision{{Ticket: victim.Ticket, Verdict: Shed}}
}

func (gate *Limiter) dropLate(now time.Time) []Decision {
	var decisions []Decision
	kept := gate.queue.waiting[:0]
	for _, request := range gate.queue.waiting {
		if gate.tooLate(request, now) {
			decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Expired})
			continue
		}
		kept = append(kept, request)
	}
	gate.queue.waiting = kept
	return decisions
}

// Release ends an admitted call and returns the decisions on waiting calls.
func (gate *Limiter) Release(ended Completion, now time.Time) []Decision {
	gate.adaptive.observe(ended, gate.inFlight, now)
	gate.inFlight--
	gate.usage[ended.Account]--
	if gate.usage[ended.Account] <= 0 {
		delete(gate.usage, ended.Account)
	}
	if ended.Background {
		gate.background--
	}
	return gate.admitWaiting(now)
}

// Cancel removes a waiting call. It says false if the call was not waiting:
// then it has been decided on.
func (gate *Limiter) Cancel(ticket Ticket) bool {
	return gate.queue.remove(ticket)
}

func (gate *Limiter) admitWaiting(now time.Time) []Decision {
	if len(gate.queue.waiting) == 0 {
		return nil
	}
	decisions := gate.dropLate(now)
	for gate.inFlight < gate.adaptive.limit() && len(gate.queue.waiting) > 0 {
		request := gate.queue.pop(gate.usage, gate.rank)
		gate.admit(request)
		decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Admitted})
	}
	return decisions
}

// Load returns the state of the gate as answers carry it.
func (gate *Limiter) Load() balsamproxy.Load {
	return balsamproxy.Load{Limit: gate.adaptive.limit(), InFlight: gate.inFlight, Queued: len(gate.queue.waiting)}
}
