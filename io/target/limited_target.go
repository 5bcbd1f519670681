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

// limitedTarget is an announced target with its concurrency limiter.
type limitedTarget struct {
	clock balsamproxy.Clock

	mutex       sync.Mutex
	target      balsamproxy.Target
	accepting   bool
	limiter     limit.Limiter
	lastTicket  limit.Ticket
	waiting     map[limit.Ticket]chan limit.Verdict
	announcedAt time.Time
	crashID     balsamproxy.CrashID
}

func newLimitedTarget(clock balsamproxy.Clock) *limitedTarget {
	return &limitedTarget{clock: clock, waiting: map[limit.Ticket]chan limit.Verdict{}}
}

// update applies an announcement of the target.
func (limited *limitedTarget) update(target balsamproxy.Target, now time.Time) {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	limited.target = target
	limited.accepting = target.State != balsamproxy.TargetDraining
	limited.crashID = ""
	limited.announcedAt = now
	capacity := min(target.Slots, target.Connections)
	limited.notify(limited.limiter.SetSlots(capacity, target.State == balsamproxy.TargetCold, now))
}

// stopAccepting refuses new calls until the next announcement.
func (limited *limitedTarget) stopAccepting() {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	limited.accepting = false
}

// recordCrash refuses new calls and returns the id of the crash, which is the
// same for all calls that the crash interrupts.
func (limited *limitedTarget) recordCrash() balsamproxy.CrashID {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	limited.accepting = false
	if limited.crashID == "" {
		limited.crashID = balsamproxy.CrashID(rand.Text())
	}
	return limited.crashID
}

// announced returns the target as published to peers.
func (limited *limitedTarget) announced() balsamproxy.Target {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	target := limited.target
	if !limited.accepting {
		target.State = balsamproxy.TargetDraining
	}
	return target
}

func (limited *limitedTarget) lastAnnounced() time.Time {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	return limited.announcedAt
}

func (limited *limitedTarget) load() balsamproxy.Load {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	return limited.limiter.Load()
}

// acquire waits until the call may be sent to the target. Any error is a refusal
// of a call that has not run.
func (limited *limitedTarget) acquire(ctx context.Context, call balsamproxy.Call) error {
	if call.IsRecalled() {
		return balsamproxy.RecalledRefusal()
	}
	ticket, verdict, verdicts, err := limited.tryAcquire(ctx, call.Head)
	if err != nil {
		return err
	}
	if verdict == limit.Waiting {
		verdict = limited.wait(ctx, ticket, verdicts, call.Recalled)
		if verdict == limit.Expired && ctx.Err() == nil && call.IsRecalled() {
			return balsamproxy.RecalledRefusal()
		}
	}
	return limited.refusal(ctx, verdict)
}

func (limited *limitedTarget) tryAcquire(ctx context.Context, head balsamproxy.CallHead) (limit.Ticket, limit.Verdict, chan limit.Verdict, error) {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	if !limited.accepting {
		return 0, 0, nil, balsamproxy.NotRun(balsamproxy.ReasonDraining, string(head.Target))
	}
	limited.lastTicket++
	ticket := limited.lastTicket
	now := limited.clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(head.Timeout)
	}
	request := limit.Request{
		Ticket: ticket, Account: head.Account, Priority: head.Priority,
		Background: head.Background, Deadline: deadline,
	}
	verdict, decisions := limited.limiter.Acquire(request, now)
	limited.notify(decisions)
	if verdict != limit.Waiting {
		return ticket, verdict, nil, nil
	}
	verdicts := make(chan limit.Verdict, 1)
	limited.waiting[ticket] = verdicts
	return ticket, verdict, verdicts, nil
}

// notify passes decisions to the waiting calls. The caller must hold the mutex.
func (limited *limitedTarget) notify(decisions []limit.Decision) {
	for _, decision := range decisions {
		limited.waiting[decision.Ticket] <- decision.Verdict
		delete(limited.waiting, decision.Ticket)
	}
}

func (limited *limitedTarget) wait(ctx context.Context, ticket limit.Ticket, verdicts <-chan limit.Verdict, recalled <-chan struct{}) limit.Verdict {
	select {
	case verdict := <-verdicts:
		return verdict
	case <-ctx.Done():
	case <-recalled:
	}
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	if limited.limiter.Cancel(ticket) {
		delete(limited.waiting, ticket)
		return limit.Expired
	}
	return <-verdicts
}

func (limited *limitedTarget) refusal(ctx context.Context, verdict limit.Verdict) error {
	switch verdict {
	case limit.Admitted:
		return nil
	case limit.Expired:
		if errors.Is(ctx.Err(), context.Canceled) {
			return limited.notRun(balsamproxy.ReasonCancelled)
		}
		return limited.notRun(balsamproxy.ReasonDeadline)
	default:
		return limited.notRun(balsamproxy.ReasonOverloaded)
	}
}

func (limited *limitedTarget) notRun(reason balsamproxy.Reason) *balsamproxy.Refusal {
	refusal := balsamproxy.NotRun(reason, "at target "+string(limited.announced().ID))
	refusal.Load = limited.load()
	return refusal
}

// release ends a call that acquire admitted.
func (limited *limitedTarget) release(ended limit.Completion) {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	limited.notify(limited.limiter.Release(ended, limited.clock.Now()))
}
