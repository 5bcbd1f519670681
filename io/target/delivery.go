package target

import (
	"context"
	"errors"
	"strconv"
	"time"

	"balsamproxy"
	"balsamproxy/core/admission"
	"balsamproxy/core/announced"
)

// delivery is one call that is queued for or sent to its target.
type delivery struct {
	local  *Local
	call   balsamproxy.Call
	target balsamproxy.Target
	queue  *admissionQueue
	ticket admission.Ticket
}

// Forward forwards one call to its target on this host. It reads the body while it
// sends the call.
func (local *Local) Forward(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	delivery := &delivery{local: local, call: call}
	if local.evacuated() {
		return nil, evacuatedRefusal()
	}
	if refusal := delivery.acquire(ctx); refusal != nil {
		return nil, refusal
	}
	response, refusal := delivery.deliver(ctx)
	if refusal != nil {
		refusal.Load = delivery.load()
		return nil, refusal
	}
	response.Head.Load = delivery.load()
	response.Head.Costs = delivery.costs(response.Head.Load)
	return response, nil
}

func (delivery *delivery) load() balsamproxy.Load {
	delivery.local.mutex.Lock()
	defer delivery.local.mutex.Unlock()
	return delivery.loadLocked()
}

// loadLocked returns the load of the target. The caller must hold the mutex of local.
func (delivery *delivery) loadLocked() balsamproxy.Load {
	controller := &delivery.queue.controller
	load := controller.Load(delivery.call.Head.Route, delivery.call.Head.Nested)
	if delivery.local.Costs != nil {
		load.Pressure = controller.Pressure(delivery.local.Clock.Now())
	}
	return load
}

// acquire waits for admission by the target's admission controller.
func (delivery *delivery) acquire(ctx context.Context) *balsamproxy.Refusal {
	if delivery.call.IsRecalled() {
		return balsamproxy.RecalledRefusal()
	}
	local := delivery.local
	now := local.Clock.Now()
	head := delivery.call.Head
	local.mutex.Lock()
	state, queue := local.acceptingLocked(head, now)
	if queue == nil {
		local.mutex.Unlock()
		return leavingRefusal(head.Target)
	}
	local.lastTicket++
	delivery.target, delivery.queue, delivery.ticket = state.Target, queue, local.lastTicket
	verdict, decisions := queue.controller.Acquire(delivery.request(ctx, now), now)
	queue.notify(decisions)
	var verdicts chan admission.Verdict
	if verdict == admission.Waiting {
		verdicts = make(chan admission.Verdict, 1)
		queue.waiting[delivery.ticket] = verdicts
	}
	load := delivery.loadLocked()
	local.mutex.Unlock()
	if verdicts != nil {
		local.wakeUp()
		verdict = delivery.wait(ctx, verdicts)
		if verdict == admission.Expired && ctx.Err() == nil && delivery.call.IsRecalled() {
			return balsamproxy.RecalledRefusal()
		}
	}
	return delivery.refusalOf(verdict, load)
}

// mayBeSent reports whether an admitted call may be sent. Its target may have announced
// that it leaves, or its data centre may have been evacuated, while the call was queued.
func (delivery *delivery) mayBeSent() bool {
	local := delivery.local
	if local.evacuated() {
		return false
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	return !local.isLeavingLocked(delivery.target.ID)
}

// acceptingLocked returns the state and the queue of the target of a call, or no queue
// if the target takes no work. The caller must hold the mutex.
func (local *Local) acceptingLocked(head balsamproxy.CallHead, now time.Time) (announced.State, *admissionQueue) {
	state, found := local.table.State(head.Target)
	if !found || state.Leaving || state.Down || state.Target.Service != head.Service {
		return state, nil
	}
	if state.Restored || now.Before(state.ColdUntil) {
		// The configuration, and with it the rate of a cold target, may have come since.
		local.updateSlotsLocked(head.Target, now)
	}
	return state, local.queues[head.Target]
}

func (delivery *delivery) request(ctx context.Context, now time.Time) admission.Request {
	head := delivery.call.Head
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(head.Timeout)
	}
	return admission.Request{
		Ticket:   delivery.ticket,
		Account:  head.Account,
		Route:    head.Route,
		Priority: head.Priority,
		Nested:   head.Nested,
		Retried:  head.Retried,
		Deadline: deadline,
		MaxWait:  head.MaxQueueWait,

		Objective: head.Objective,
	}
}

// wait waits for the verdict. A call that is cancelled or recalled while queued has
// not run; if it was admitted at the same time, it releases its slot.
func (delivery *delivery) wait(ctx context.Context, verdicts chan admission.Verdict) admission.Verdict {
	select {
	case verdict := <-verdicts:
		return verdict
	case <-ctx.Done():
	case <-delivery.call.Recalled:
	}
	local := delivery.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if delivery.queue.controller.Cancel(delivery.ticket) {
		delete(delivery.queue.waiting, delivery.ticket)
		return admission.Expired
	}
	if verdict := <-verdicts; verdict != admission.Admitted {
		return verdict
	}
	delivery.queue.notify(delivery.queue.controller.Release(delivery.completion(0), local.Clock.Now()))
	return admission.Expired
}

func (delivery *delivery) refusalOf(verdict admission.Verdict, load balsamproxy.Load) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	switch verdict {
	case admission.Admitted:
		return nil
	case admission.Expired:
		refusal = balsamproxy.NotRun(balsamproxy.ReasonDeadline, "the call could not end in time")
	default:
		refusal = balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the target is full")
		if !delivery.mayBeSent() {
			refusal = leavingRefusal(delivery.target.ID)
		}
	}
	refusal.Load = load
	refusal.RetryAfter = load.Wait
	return refusal
}

func (delivery *delivery) completion(serviceTime time.Duration) admission.Completion {
	head := delivery.call.Head
	return admission.Completion{Route: head.Route, Nested: head.Nested, ServiceTime: serviceTime}
}

// release releases the slot.
func (delivery *delivery) release(serviceTime time.Duration) {
	local := delivery.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	delivery.queue.notify(delivery.queue.controller.Release(delivery.completion(serviceTime), local.Clock.Now()))
}

// deliver sends an admitted call to its target.
func (delivery *delivery) deliver(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if ctx.Err() != nil {
		delivery.release(0)
		return nil, balsamproxy.NotRun(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	}
	if !delivery.mayBeSent() {
		delivery.release(0)
		return nil, leavingRefusal(delivery.target.ID)
	}
	if !delivery.call.Head.Idempotent {
		// A non-idempotent call cannot be retried, so it continues until its
		// deadline even if the caller is gone.
		deadline, ok := ctx.Deadline()
		ctx = context.WithoutCancel(ctx)
		if ok {
			bounded, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			ctx = bounded
		}
	}
	begin := delivery.local.Clock.Now()
	delivery.beginRequest(begin)
	received, err := delivery.exchange(ctx)
	end := delivery.local.Clock.Now()
	delivery.endRequest(end)
	serviceTime := end.Sub(begin)
	if err != nil {
		delivery.release(0)
		return nil, delivery.refusalFor(ctx, err)
	}
	delivery.release(serviceTime)
	return delivery.evaluate(received)
}

// evacuatedRefusal returns the refusal of a call to a target in an evacuated data
// centre.
func evacuatedRefusal() *balsamproxy.Refusal {
	return balsamproxy.NotRun(balsamproxy.ReasonDraining, "the data centre is evacuated")
}

// leavingRefusal returns the refusal of a call to a target that takes no work.
func leavingRefusal(target balsamproxy.TargetID) *balsamproxy.Refusal {
	return balsamproxy.NotRun(balsamproxy.ReasonDraining, "the target takes no work: "+string(target))
}

// evaluate converts the response of the target to a response or a refusal.
func (delivery *delivery) evaluate(received *targetResponse) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if refusal := delivery.refusedByTarget(received.metadata); refusal != nil {
		_ = received.body.Close()
		return nil, refusal
	}
	delivery.local.Dialect.RemoveResponseID(received.header)
	received.header.Del("Content-Length")
	congestion, dependencyFailed := delivery.local.dependencyFailed(received.status)
	return &balsamproxy.Response{
		Head: balsamproxy.ResponseHead{
			Status:           received.status,
			Header:           received.header,
			ContentLength:    received.contentLength,
			DependencyFailed: dependencyFailed,
			Congestion:       congestion,
		},
		Body: received.body,
	}, nil
}

// refusedByTarget returns the refusal for a response that says, or implies, that
// the target did not run the call, and nil for any other.
func (delivery *delivery) refusedByTarget(metadata balsamproxy.ResponseMetadata) *balsamproxy.Refusal {
	switch {
	case metadata.AddressReassigned:
		refusal := balsamproxy.NotRun(balsamproxy.ReasonDraining, "another target has the address")
		refusal.RefusedByTarget = true
		delivery.markDown()
		return refusal
	case metadata.NotRun:
		refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the target refused the call")
		refusal.RefusedByTarget = true
		return refusal
	case metadata.ImpliesNotRun && !delivery.call.Head.Idempotent:
		return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, "the target refused without saying that it did not run the call")
	default:
		return nil
	}
}

// refusalFor returns the refusal for a failed exchange and checks whether the
// target crashed.
func (delivery *delivery) refusalFor(ctx context.Context, err error) *balsamproxy.Refusal {
	refuse := balsamproxy.MayHaveRun
	if errors.Is(err, errNotSent) {
		refuse = balsamproxy.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(balsamproxy.ReasonDeadline, "no answer in time")
	case ctx.Err() != nil:
		return refuse(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	case errors.Is(err, errBodyBroken):
		return refuse(balsamproxy.ReasonCancelled, "the body ended early")
	}
	refusal := refuse(balsamproxy.ReasonTargetFailed, err.Error())
	if delivery.isDown() || delivery.refusesConnections() {
		delivery.markDown()
		refusal.Reason = balsamproxy.ReasonTargetCrashed
		if refusal.Outcome == balsamproxy.OutcomeMayHaveRun {
			refusal.Crash = delivery.crashID()
		}
	}
	return refusal
}

// isDown reports whether the target is already marked as down.
func (delivery *delivery) isDown() bool {
	local := delivery.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	state, found := local.table.State(delivery.target.ID)
	return found && state.Down
}

// crashID identifies the crash of this incarnation of the target.
func (delivery *delivery) crashID() balsamproxy.CrashID {
	local := delivery.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	state, _ := local.table.State(delivery.target.ID)
	return balsamproxy.CrashID(string(delivery.target.ID) + "/" + strconv.FormatInt(state.Born, 10))
}

// markDown excludes the target until it announces itself again.
func (delivery *delivery) markDown() {
	local := delivery.local
	local.mutex.Lock()
	changed := local.table.SetDown(delivery.target.ID, true)
	local.mutex.Unlock()
	if changed {
		local.Log.Warn().Str("event", "target-lost").Str("target", string(delivery.target.ID)).
			Str("request", string(delivery.call.Head.RequestID)).Send()
		local.Changed()
	}
}
