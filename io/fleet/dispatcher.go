// Package fleet sends calls to the targets of the fleet, on this host or
// beside other daemons, and repeats them within the limits of the request.
package fleet

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/balance"
	"balsamproxy/core/membership"
	"balsamproxy/core/retry"
	"balsamproxy/core/suspect"
)

// Suspects decides whether a request that crashed a target may be tried again.
type Suspects interface {
	// Any says whether any request is suspect.
	Any() bool
	// Admit waits until a request may be tried, or refuses it.
	Admit(ctx context.Context, fingerprint suspect.Fingerprint) *balsamproxy.Refusal
	// Crashed notes that a request crashed a target.
	Crashed(fingerprint suspect.Fingerprint, crash balsamproxy.CrashID)
	// Answered notes that a target answered a request.
	Answered(fingerprint suspect.Fingerprint)
}

// Dispatcher sends each call to one target after another until one answers or
// no further attempt is allowed. Its fields must be set.
type Dispatcher struct {
	Host    balsamproxy.HostID
	Members *membership.Table
	Chooser *balance.Chooser
	Local   balsamproxy.Forwarder
	Remote  balsamproxy.RemoteForwarder
	Permits balsamproxy.RetryPermits
	// Suspects is asked before each attempt.
	Suspects Suspects
	Clock    balsamproxy.Clock
	// Random returns uniform random numbers.
	Random func() uint64
	// Metrics counts attempts.
	Metrics tally.Scope
}

// Request is one call that is still without a target.
type Request struct {
	Head       balsamproxy.CallHead
	Body       *Body
	Idempotent bool
}

// Dispatch sends a call and returns the answer, whose body the caller closes.
// An error is a *balsamproxy.Refusal with the outcome over all attempts.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request Request) (*balsamproxy.Response, error) {
	request.Head.ContentLength = request.Body.length
	attempts := &attempts{dispatcher: dispatcher, request: request, body: request.Body}
	return attempts.run(ctx)
}

// attempts is the state of one dispatch.
type attempts struct {
	dispatcher *Dispatcher
	request    Request
	body       *Body
	tried      []balsamproxy.TargetID
	mayHaveRun bool
	last       *balsamproxy.Refusal
}

func (attempts *attempts) run(ctx context.Context) (*balsamproxy.Response, error) {
	for {
		answer, refusal := attempts.once(ctx)
		if refusal == nil {
			return answer, nil
		}
		attempts.note(refusal)
		if !attempts.again(ctx, refusal) {
			return nil, attempts.outcome()
		}
	}
}

// once makes one attempt, unless the request is suspect and must not be tried.
func (attempts *attempts) once(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	suspects := attempts.dispatcher.Suspects
	if !suspects.Any() {
		return attempts.try(ctx)
	}
	fingerprint := attempts.fingerprint()
	if refusal := suspects.Admit(ctx, fingerprint); refusal != nil {
		return nil, refusal
	}
	answer, refusal := attempts.try(ctx)
	if refusal == nil {
		suspects.Answered(fingerprint)
	}
	return answer, refusal
}

func (attempts *attempts) fingerprint() suspect.Fingerprint {
	held, _ := attempts.body.Buffered()
	return suspect.FingerprintOf(attempts.request.Head, held)
}

// try chooses a target and sends the call there.
func (attempts *attempts) try(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	dispatcher := attempts.dispatcher
	endpoints := dispatcher.Members.Endpoints(attempts.request.Head.Service)
	now := dispatcher.Clock.Now()
	endpoint, found := dispatcher.Chooser.Choose(endpoints, attempts.tried, dispatcher.Random(), now)
	if !found {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonNoTarget, "no target left of service "+string(attempts.request.Head.Service))
	}
	attempts.tried = append(attempts.tried, endpoint.Target.ID)
	head := attempts.request.Head
	head.Target = endpoint.Target.ID
	call := balsamproxy.Call{Head: head, Body: attempts.body.reader()}
	dispatcher.Metrics.Counter("attempts").Inc(1)
	return dispatcher.send(ctx, endpoint, call)
}

// send brings a call to a chosen target and notes what that shows.
func (dispatcher *Dispatcher) send(
	ctx context.Context,
	endpoint membership.Endpoint,
	call balsamproxy.Call,
) (*balsamproxy.Response, *balsamproxy.Refusal) {
	target := endpoint.Target.ID
	dispatcher.Chooser.Begin(target)
	answer, err := dispatcher.carry(ctx, endpoint.Host, call)
	if err != nil {
		dispatcher.Chooser.End(target)
		refusal := RefusalOf(err)
		dispatcher.noteRefusal(target, refusal)
		return nil, refusal
	}
	dispatcher.Chooser.Report(target, answer.Head.Load)
	answer.Body = &countedBody{ReadCloser: answer.Body, end: func() { dispatcher.Chooser.End(target) }}
	return answer, nil
}

func (dispatcher *Dispatcher) carry(ctx context.Context, host balsamproxy.HostID, call balsamproxy.Call) (*balsamproxy.Response, error) {
	if host == dispatcher.Host {
		return dispatcher.Local.Forward(ctx, call)
	}
	return dispatcher.Remote.ForwardTo(ctx, host, call)
}

func (dispatcher *Dispatcher) noteRefusal(target balsamproxy.TargetID, refusal *balsamproxy.Refusal) {
	dispatcher.Chooser.Report(target, refusal.Load)
	switch refusal.Reason {
	case balsamproxy.ReasonPeerUnreachable, balsamproxy.ReasonPeerLost, balsamproxy.ReasonTargetFailed,
		balsamproxy.ReasonTargetCrashed, balsamproxy.ReasonDraining, balsamproxy.ReasonShuttingDown:
		dispatcher.Chooser.Avoid(target, dispatcher.Clock.Now())
	}
}

// note keeps the refusal that says most: that no target is left says less
// than why the one before refused.
func (attempts *attempts) note(refusal *balsamproxy.Refusal) {
	if refusal.Outcome == balsamproxy.OutcomeMayHaveRun {
		attempts.mayHaveRun = true
	}
	if refusal.Crash != "" {
		attempts.dispatcher.Suspects.Crashed(attempts.fingerprint(), refusal.Crash)
	}
	if attempts.last == nil || refusal.Reason != balsamproxy.ReasonNoTarget {
		attempts.last = refusal
	}
}

func (attempts *attempts) again(ctx context.Context, refusal *balsamproxy.Refusal) bool {
	if ctx.Err() != nil || !attempts.body.replayable() {
		return false
	}
	if !retry.Retryable(refusal, attempts.request.Idempotent) {
		return false
	}
	head := attempts.request.Head
	if !attempts.dispatcher.Permits.Take(ctx, head.Root, head.RequestID) {
		return false
	}
	attempts.dispatcher.Metrics.Counter("retries").Inc(1)
	return true
}

// outcome returns the last refusal, which has not run only if no attempt can
// have.
func (attempts *attempts) outcome() *balsamproxy.Refusal {
	refusal := *attempts.last
	if attempts.mayHaveRun {
		refusal.Outcome = balsamproxy.OutcomeMayHaveRun
	}
	if reason, detail, broken := attempts.body.refusal(); broken {
		refusal.Reason = reason
		refusal.Detail = detail
	}
	return &refusal
}

// RefusalOf returns the refusal in an error. An error of another kind says
// nothing of the outcome, so the call may have run.
func RefusalOf(err error) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, err.Error())
}

// countedBody ends the count of an open call when the answer is closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the answer.
func (body *countedBody) Close() error {
	err := body.ReadCloser.Close()
	body.once.Do(body.end)
	return err
}
