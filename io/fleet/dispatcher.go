// Package fleet dispatches calls to targets on this and other hosts, and retries
// them within the limits of the request.
package fleet

import (
	"bytes"
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

// Suspects tracks requests that crashed a target and decides whether they may be
// attempted again.
type Suspects interface {
	// Any reports whether any request is suspect.
	Any() bool
	// Admit waits until the request may be attempted, or refuses it.
	Admit(ctx context.Context, fingerprint suspect.Fingerprint) *balsamproxy.Refusal
	// Crashed records that a request crashed a target.
	Crashed(fingerprint suspect.Fingerprint, crash balsamproxy.CrashID)
	// Answered records that a target responded to a request.
	Answered(fingerprint suspect.Fingerprint)
}

// Dispatcher sends a call to one target after another until one responds or no
// further attempt is allowed. All fields must be set.
type Dispatcher struct {
	Host    balsamproxy.HostID
	Members *membership.Table
	Chooser *balance.Chooser
	Local   balsamproxy.Forwarder
	Remote  balsamproxy.RemoteForwarder
	Permits balsamproxy.RetryPermits
	// Suspects is consulted before each attempt.
	Suspects Suspects
	Clock    balsamproxy.Clock
	// Random returns uniformly distributed random numbers.
	Random func() uint64
	// Metrics counts attempts and retries.
	Metrics tally.Scope
}

// Request is a call for which no target has been chosen yet.
type Request struct {
	Head       balsamproxy.CallHead
	Body       *Body
	Idempotent bool
	// Recalled is closed when the call is to be refused unless it has been sent to a
	// target. If nil, the call is never recalled.
	Recalled <-chan struct{}
}

// Dispatch sends a call and returns the response, whose body the caller must
// close. A returned error is a *balsamproxy.Refusal whose Outcome covers all
// attempts.
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
		attempts.recordRefusal(refusal)
		if !attempts.shouldRetry(ctx, refusal) {
			return nil, attempts.outcome()
		}
	}
}

// once makes one attempt, unless the request is suspect and refused.
func (attempts *attempts) once(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	suspects := attempts.dispatcher.Suspects
	if suspects.Any() {
		if refusal := suspects.Admit(ctx, attempts.fingerprint()); refusal != nil {
			return nil, refusal
		}
	}
	answer, refusal := attempts.try(ctx)
	// The request may have become suspect meanwhile.
	if refusal == nil && suspects.Any() {
		suspects.Answered(attempts.fingerprint())
	}
	return answer, refusal
}

func (attempts *attempts) fingerprint() suspect.Fingerprint {
	buffered, _ := attempts.body.Buffered()
	return suspect.FingerprintOf(attempts.request.Head, bytes.NewReader(buffered))
}

// try chooses a target and sends the call to it.
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
	call := balsamproxy.Call{Head: head, Body: attempts.body.reader(), Recalled: attempts.request.Recalled}
	if call.IsRecalled() {
		return nil, balsamproxy.RecalledRefusal()
	}
	dispatcher.Metrics.Counter("attempts").Inc(1)
	return dispatcher.send(ctx, endpoint, call)
}

// send sends a call to a chosen target and reports the result to the chooser.
func (dispatcher *Dispatcher) send(
	ctx context.Context,
	endpoint membership.Endpoint,
	call balsamproxy.Call,
) (*balsamproxy.Response, *balsamproxy.Refusal) {
	target := endpoint.Target.ID
	dispatcher.Chooser.Begin(target)
	answer, err := dispatcher.forward(ctx, endpoint.Host, call)
	if err != nil {
		dispatcher.Chooser.End(target)
		refusal := RefusalOf(err)
		dispatcher.reportRefusal(target, refusal)
		return nil, refusal
	}
	dispatcher.Chooser.Report(target, answer.Head.Load)
	answer.Body = &countedBody{ReadCloser: answer.Body, end: func() { dispatcher.Chooser.End(target) }}
	return answer, nil
}

func (dispatcher *Dispatcher) forward(ctx context.Context, host balsamproxy.HostID, call balsamproxy.Call) (*balsamproxy.Response, error) {
	if host == dispatcher.Host {
		return dispatcher.Local.Forward(ctx, call)
	}
	return dispatcher.Remote.ForwardTo(ctx, host, call)
}

func (dispatcher *Dispatcher) reportRefusal(target balsamproxy.TargetID, refusal *balsamproxy.Refusal) {
	dispatcher.Chooser.Report(target, refusal.Load)
	switch refusal.Reason {
	case balsamproxy.ReasonPeerUnreachable, balsamproxy.ReasonPeerLost, balsamproxy.ReasonTargetFailed,
		balsamproxy.ReasonTargetCrashed, balsamproxy.ReasonDraining, balsamproxy.ReasonShuttingDown:
		dispatcher.Chooser.Avoid(target, dispatcher.Clock.Now())
	}
}

// recordRefusal records the outcome of an attempt. A refusal with ReasonNoTarget
// does not replace an earlier one, since the refusal of a target is more
// informative than having no target left.
func (attempts *attempts) recordRefusal(refusal *balsamproxy.Refusal) {
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

func (attempts *attempts) shouldRetry(ctx context.Context, refusal *balsamproxy.Refusal) bool {
	if ctx.Err() != nil || !attempts.body.replayable() {
		return false
	}
	call := balsamproxy.Call{Recalled: attempts.request.Recalled}
	if call.IsRecalled() || !retry.Retryable(refusal, attempts.request.Idempotent) {
		return false
	}
	head := attempts.request.Head
	if !attempts.dispatcher.Permits.Take(ctx, head.Root, head.RequestID) {
		return false
	}
	attempts.dispatcher.Metrics.Counter("retries").Inc(1)
	return true
}

// outcome returns the recorded refusal. Its outcome is not-run only if none of the
// attempts may have run.
func (attempts *attempts) outcome() *balsamproxy.Refusal {
	refusal := *attempts.last
	if attempts.mayHaveRun {
		refusal.Outcome = balsamproxy.OutcomeMayHaveRun
	}
	if reason, detail, failed := attempts.body.readFailure(); failed {
		refusal.Reason = reason
		refusal.Detail = detail
	}
	return &refusal
}

// RefusalOf returns the refusal that err wraps. Any other error does not tell the
// outcome, so the call may have run.
func RefusalOf(err error) *balsamproxy.Refusal {
	var refusal *balsamproxy.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, err.Error())
}

// countedBody calls end once, when the response body is closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the response body.
func (body *countedBody) Close() error {
	err := body.ReadCloser.Close()
	body.once.Do(body.end)
	return err
}
