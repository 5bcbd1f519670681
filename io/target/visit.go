package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"balsamproxy"
	"balsamproxy/core/admission"
)

// visit is one call at the door of its target.
type visit struct {
	local  *Local
	call   balsamproxy.Call
	target balsamproxy.Target
	held   *openDoor
	ticket admission.Ticket
	body   []byte
}

// Forward brings one call to its target on this host.
func (local *Local) Forward(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the body ended early")
	}
	visit := &visit{local: local, call: call, body: body}
	if refusal := visit.enter(ctx); refusal != nil {
		return nil, refusal
	}
	answer, refusal := visit.deliver(ctx)
	if refusal != nil {
		refusal.Load = visit.load()
		return nil, refusal
	}
	answer.Head.Load = visit.load()
	return answer, nil
}

func (visit *visit) load() balsamproxy.Load {
	visit.local.mutex.Lock()
	defer visit.local.mutex.Unlock()
	return visit.held.door.Load(visit.call.Head.Route)
}

// enter passes the door or is refused.
func (visit *visit) enter(ctx context.Context) *balsamproxy.Refusal {
	local := visit.local
	now := local.Clock.Now()
	head := visit.call.Head
	local.mutex.Lock()
	state, found := local.table.State(head.Target)
	held := local.doors[head.Target]
	if !found || held == nil || state.Leaving || state.Down || state.Target.Service != head.Service {
		local.mutex.Unlock()
		return balsamproxy.NotRun(balsamproxy.ReasonDraining, "the target takes no work: "+string(head.Target))
	}
	local.tickets++
	visit.target, visit.held, visit.ticket = state.Target, held, local.tickets
	verdict, decisions := held.door.Acquire(visit.request(ctx, now), now)
	held.tell(decisions)
	var waiting chan admission.Verdict
	if verdict == admission.Waiting {
		waiting = make(chan admission.Verdict, 1)
		held.waiting[visit.ticket] = waiting
	}
	load := held.door.Load(head.Route)
	local.mutex.Unlock()
	if waiting != nil {
		local.wakeUp()
		verdict = visit.wait(ctx, waiting)
	}
	return visit.refusalOf(verdict, load)
}

func (visit *visit) request(ctx context.Context, now time.Time) admission.Request {
	head := visit.call.Head
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(head.Timeout)
	}
	return admission.Request{
		Ticket:   visit.ticket,
		Account:  head.Account,
		Route:    head.Route,
		Priority: head.Priority,
		Nested:   head.Nested,
		Retried:  head.Retried,
		Deadline: deadline,
		MaxWait:  head.MaxQueueWait,
	}
}

// wait waits for the verdict. A call that is cancelled while it waits has not
// run; one that was admitted at the same moment gives its slot back.
func (visit *visit) wait(ctx context.Context, waiting chan admission.Verdict) admission.Verdict {
	select {
	case verdict := <-waiting:
		return verdict
	case <-ctx.Done():
	}
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if visit.held.door.Cancel(visit.ticket) {
		delete(visit.held.waiting, visit.ticket)
		return admission.Expired
	}
	if verdict := <-waiting; verdict != admission.Admitted {
		return verdict
	}
	visit.held.tell(visit.held.door.Release(visit.ended(0), local.Clock.Now()))
	return admission.Expired
}

func (visit *visit) refusalOf(verdict admission.Verdict, load balsamproxy.Load) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	switch verdict {
	case admission.Admitted:
		return nil
	case admission.Expired:
		refusal = balsamproxy.NotRun(balsamproxy.ReasonDeadline, "the call could not end in time")
	default:
		refusal = balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the target is full")
	}
	refusal.Load = load
	refusal.RetryAfter = load.Wait
	return refusal
}

func (visit *visit) ended(work time.Duration) admission.Completion {
	head := visit.call.Head
	return admission.Completion{Route: head.Route, Nested: head.Nested, ServiceTime: work}
}

// leave gives the slot back.
func (visit *visit) leave(work time.Duration) {
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	visit.held.tell(visit.held.door.Release(visit.ended(work), local.Clock.Now()))
}

// deliver sends an admitted call to its target.
func (visit *visit) deliver(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if ctx.Err() != nil {
		visit.leave(0)
		return nil, balsamproxy.NotRun(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	}
	if !visit.call.Head.Idempotent {
		// What may not be repeated is better finished than broken off.
		deadline, ok := ctx.Deadline()
		ctx = context.WithoutCancel(ctx)
		if ok {
			bounded, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			ctx = bounded
		}
	}
	begin := visit.local.Clock.Now()
	delivered, err := visit.exchange(ctx)
	took := visit.local.Clock.Now().Sub(begin)
	if err != nil {
		visit.leave(0)
		return nil, visit.failure(ctx, err)
	}
	visit.leave(took)
	return visit.answer(delivered)
}

// answer judges what the target answered.
func (visit *visit) answer(delivered *delivered) (*balsamproxy.Response, *balsamproxy.Refusal) {
	mark := delivered.mark
	switch {
	case mark.AddressReassigned:
		refusal := balsamproxy.NotRun(balsamproxy.ReasonDraining, "another target has the address")
		refusal.RefusedByTarget = true
		visit.lost()
		return nil, refusal
	case mark.NotRun:
		refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the target refused the call")
		refusal.RefusedByTarget = true
		return nil, refusal
	case mark.ImpliesNotRun && !visit.call.Head.Idempotent:
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, "the target refused without saying that it did not run the call")
	}
	visit.local.Dialect.RemoveResponseID(delivered.header)
	delivered.header.Del("Content-Length")
	return &balsamproxy.Response{
		Head: balsamproxy.ResponseHead{
			Status:           delivered.status,
			Header:           delivered.header,
			ContentLength:    delivered.length,
			DependencyFailed: visit.local.calleeFailed(delivered.status),
		},
		Body: io.NopCloser(bytes.NewReader(delivered.body)),
	}, nil
}

// failure tells why no answer came, and looks whether the target is gone.
func (visit *visit) failure(ctx context.Context, err error) *balsamproxy.Refusal {
	refuse := balsamproxy.MayHaveRun
	if errors.Is(err, errNotSent) {
		refuse = balsamproxy.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(balsamproxy.ReasonDeadline, "no answer in time")
	case ctx.Err() != nil:
		return refuse(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	}
	refusal := refuse(balsamproxy.ReasonTargetFailed, err.Error())
	if visit.isDown() || visit.refusesConnections() {
		visit.lost()
		refusal.Reason = balsamproxy.ReasonTargetCrashed
		if refusal.Outcome == balsamproxy.OutcomeMayHaveRun {
			refusal.Crash = visit.crash()
		}
	}
	return refusal
}

// isDown says whether the target is known to be down already.
func (visit *visit) isDown() bool {
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	state, found := local.table.State(visit.target.ID)
	return found && state.Down
}

// crash names the crash of this start of the target.
func (visit *visit) crash() balsamproxy.CrashID {
	local := visit.local
	local.mutex.Lock()
	defer local.mutex.Unlock()
	state, _ := local.table.State(visit.target.ID)
	return balsamproxy.CrashID(string(visit.target.ID) + "/" + strconv.FormatInt(state.Born, 10))
}

// lost takes the target out until it announces itself again.
func (visit *visit) lost() {
	local := visit.local
	local.mutex.Lock()
	changed := local.table.SetDown(visit.target.ID, true)
	local.mutex.Unlock()
	if changed {
		local.Log.Warn().Str("event", "target-lost").Str("target", string(visit.target.ID)).
			Str("request", string(visit.call.Head.RequestID)).Send()
		local.Changed()
	}
}
