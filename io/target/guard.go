package target

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/limit"
)

// guard keeps one target within its limit.
type guard struct {
	clock balsamproxy.Clock

	mutex   sync.Mutex
	target  balsamproxy.Target
	open    bool
	gate    limit.Limiter
	next    limit.Ticket
	waiting map[limit.Ticket]chan limit.Verdict
	heardAt time.Time
	crashID balsamproxy.CrashID
}

func newGuard(clock balsamproxy.Clock) *guard {
	return &guard{clock: clock, waiting: map[limit.Ticket]chan limit.Verdict{}}
}

// update takes an announcement of the target.
func (guard *guard) update(target balsamproxy.Target, now time.Time) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.target = target
	guard.open = target.State != balsamproxy.TargetDraining
	guard.crashID = ""
	guard.heardAt = now
	most := min(target.Slots, target.Connections)
	guard.tell(guard.gate.SetSlots(most, target.State == balsamproxy.TargetCold, now))
}

// shut lets no more calls in until the next announcement.
func (guard *guard) shut() {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.open = false
}

// crash shuts the guard and names the crash of the target: the same for all
// calls that it interrupts.
func (guard *guard) crash() balsamproxy.CrashID {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.open = false
	if guard.crashID == "" {
		guard.crashID = balsamproxy.CrashID(rand.Text())
	}
	return guard.crashID
}

// announced returns the target as peers should see it.
func (guard *guard) announced() balsamproxy.Target {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	target := guard.target
	if !guard.open {
		target.State = balsamproxy.TargetDraining
	}
	return target
}

func (guard *guard) silentSince() time.Time {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.heardAt
}

func (guard *guard) load() balsamproxy.Load {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.gate.Load()
}

// enter waits until the target may be given a call. An error is a refusal of
// a call that has not run.
func (guard *guard) enter(ctx context.Context, head balsamproxy.CallHead) error {
	ticket, verdict, decided, err := guard.ask(ctx, head)
	if err != nil {
		return err
	}
	if verdict == limit.Waiting {
		verdict = guard.wait(ctx, ticket, decided)
	}
	return guard.refusal(ctx, verdict)
}

func (guard *guard) ask(ctx context.Context, head balsamproxy.CallHead) (limit.Ticket, limit.Verdict, chan limit.Verdict, error) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if !guard.open {
		return 0, 0, nil, balsamproxy.NotRun(balsamproxy.ReasonDraining, string(head.Target))
	}
	guard.next++
	ticket := guard.next
	now := guard.clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(head.Timeout)
	}
	request := limit.Request{
		Ticket: ticket, Account: head.Account, Priority: head.Priority,
		Background: head.Background, Deadline: deadline,
	}
	verdict, decisions := guard.gate.Acquire(request, now)
	guard.tell(decisions)
	if verdict != limit.Waiting {
		return ticket, verdict, nil, nil
	}
	decided := make(chan limit.Verdict, 1)
	guard.waiting[ticket] = decided
	return ticket, verdict, decided, nil
}

// tell passes decisions on to waiting calls. The mutex is held.
func (guard *guard) tell(decisions []limit.Decision) {
	for _, decision := range decisions {
		guard.waiting[decision.Ticket] <- decision.Verdict
		delete(guard.waiting, decision.Ticket)
	}
}

func (guard *guard) wait(ctx context.Context, ticket limit.Ticket, decided <-chan limit.Verdict) limit.Verdict {
	select {
	case verdict := <-decided:
		return verdict
	case <-ctx.Done():
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.gate.Cancel(ticket) {
		delete(guard.waiting, ticket)
		return limit.Expired
	}
	return <-decided
}

func (guard *guard) refusal(ctx context.Context, verdict limit.Verdict) error {
	switch verdict {
	case limit.Admitted:
		return nil
	case limit.Expired:
		if errors.Is(ctx.Err(), context.Canceled) {
			return guard.notRun(balsamproxy.ReasonCancelled)
		}
		return guard.notRun(balsamproxy.ReasonDeadline)
	default:
		return guard.notRun(balsamproxy.ReasonOverloaded)
	}
}

func (guard *guard) notRun(reason balsamproxy.Reason) *balsamproxy.Refusal {
	refusal := balsamproxy.NotRun(reason, "at target "+string(guard.announced().ID))
	refusal.Load = guard.load()
	return refusal
}

// leave ends a call that enter let in.
func (guard *guard) leave(ended limit.Completion) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.tell(guard.gate.Release(ended, guard.clock.Now()))
}
