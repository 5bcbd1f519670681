// Package target communicates with the targets of this host: it receives their
// announcements and outgoing calls, and forwards calls to them.
package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/inflight"
	"balsamproxy/core/limit"
	"balsamproxy/core/tracecontext"
	"balsamproxy/io/httpresponse"
)

// Forwarder forwards calls to the targets of this host and enforces the
// concurrency limit of each. Its exported fields must be set.
type Forwarder struct {
	Clock balsamproxy.Clock
	// Parents holds the calls that targets are processing.
	Parents *inflight.Table
	// NewSpan returns a unique span id.
	NewSpan func() balsamproxy.SpanID
	// Changed is called when the published state of a target changes.
	Changed func()

	mutex       sync.RWMutex
	targets     map[balsamproxy.TargetID]*limitedTarget
	connections connectionPool
}

var _ balsamproxy.Forwarder = (*Forwarder)(nil)

func (forwarder *Forwarder) lookup(target balsamproxy.TargetID) (*limitedTarget, bool) {
	forwarder.mutex.RLock()
	defer forwarder.mutex.RUnlock()
	limited, found := forwarder.targets[target]
	return limited, found
}

// Forward forwards one call to its target on this host.
func (forwarder *Forwarder) Forward(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	limited, found := forwarder.lookup(call.Head.Target)
	if !found {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonDraining, "no such target here: "+string(call.Head.Target))
	}
	if err := limited.acquire(ctx, call); err != nil {
		return nil, err
	}
	begin := forwarder.Clock.Now()
	release := func() { limited.release(completionOf(ctx, call.Head, forwarder.Clock.Now().Sub(begin))) }
	response, err := forwarder.deliver(ctx, limited, call, release)
	if err != nil {
		release()
		return nil, err
	}
	return response, nil
}

// completionOf returns the completion to report to the limiter. A call has timed
// out if its deadline passed. A call that was cancelled earlier says nothing
// about the target and reports no duration.
func completionOf(ctx context.Context, head balsamproxy.CallHead, duration time.Duration) limit.Completion {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if ctx.Err() != nil && !timedOut {
		duration = 0
	}
	return limit.Completion{Account: head.Account, Background: head.Background, Duration: duration, TimedOut: timedOut}
}

// deliver sends an admitted call to its target. Closing the response body ends
// the delivery.
func (forwarder *Forwarder) deliver(
	ctx context.Context,
	limited *limitedTarget,
	call balsamproxy.Call,
	release func(),
) (*balsamproxy.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	span := forwarder.NewSpan()
	forwarder.Parents.Begin(span, forwarder.parent(ctx, call.Head))
	endSpan := func() {
		forwarder.Parents.End(span)
		cancel()
	}
	finish := func() {
		endSpan()
		release()
	}
	exchange, err := forwarder.exchange(ctx, limited, call, span)
	if err != nil {
		endSpan()
		return nil, err
	}
	response := exchange.response
	congestion := balsamproxy.CongestionNone
	if response.StatusCode >= http.StatusInternalServerError {
		congestion = forwarder.Parents.Congestion(span)
	}
	body := &responseBody{ReadCloser: exchange, release: finish}
	head := balsamproxy.ResponseHead{
		Status:        response.StatusCode,
		Header:        httpresponse.CleanHeader(response.Header),
		ContentLength: contentLength(call.Head.Method, response),
		Load:          limited.load(),
		Congestion:    congestion,
	}
	return &balsamproxy.Response{Head: head, Body: body}, nil
}

// contentLength returns the length of the body that follows. The response to a
// HEAD request has no body, whatever its header says.
func contentLength(method string, response *http.Response) int64 {
	if method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

func (forwarder *Forwarder) parent(ctx context.Context, head balsamproxy.CallHead) inflight.Parent {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = forwarder.Clock.Now().Add(head.Timeout)
	}
	return inflight.Parent{Head: head, Deadline: deadline, Context: ctx}
}

func (forwarder *Forwarder) exchange(
	ctx context.Context,
	limited *limitedTarget,
	call balsamproxy.Call,
	span balsamproxy.SpanID,
) (*exchange, error) {
	target := limited.announced()
	request, err := newRequest(ctx, target, call, span)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
	}
	connection, err := forwarder.connections.get(ctx, target.Address, forwarder.Clock.Now())
	if err != nil {
		if isDialError(err) {
			limited.stopAccepting()
			forwarder.Changed()
		}
		return nil, refusalFor(ctx, balsamproxy.NotRun, err)
	}
	exchange := &exchange{context: ctx, pool: &forwarder.connections, connection: connection, clock: forwarder.Clock}
	if err := exchange.send(request); err != nil {
		return nil, forwarder.interruptedRefusal(ctx, limited, err)
	}
	return exchange, nil
}

// interruptedRefusal returns the refusal for a call that failed after it was
// sent. A target that no longer accepts connections is considered crashed.
func (forwarder *Forwarder) interruptedRefusal(ctx context.Context, limited *limitedTarget, err error) *balsamproxy.Refusal {
	refusal := refusalFor(ctx, balsamproxy.MayHaveRun, err)
	if refusal.Reason != balsamproxy.ReasonTargetFailed || !forwarder.refusesConnections(ctx, limited.announced().Address) {
		return refusal
	}
	refusal.Reason = balsamproxy.ReasonTargetCrashed
	refusal.Crash = limited.recordCrash()
	forwarder.Changed()
	return refusal
}

func (forwarder *Forwarder) refusesConnections(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return isDialError(err)
	}
	_ = conn.Close()
	return false
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && !operation.Timeout()
}

func refusalFor(
	ctx context.Context,
	refuse func(balsamproxy.Reason, string) *balsamproxy.Refusal,
	err error,
) *balsamproxy.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(balsamproxy.ReasonDeadline, "no answer in time")
	case ctx.Err() != nil:
		return refuse(balsamproxy.ReasonCancelled, "nobody waits for the answer")
	default:
		return refuse(balsamproxy.ReasonTargetFailed, err.Error())
	}
}

// callReader adapts the body of a call to the body of a request.
type callReader struct {
	io.Reader
}

// Close does nothing: the call's body is not owned by the request.
func (callReader) Close() error { return nil }

func requestBody(call balsamproxy.Call) io.ReadCloser {
	if call.Head.ContentLength == 0 {
		return http.NoBody
	}
	return callReader{Reader: call.Body}
}

func newRequest(
	ctx context.Context,
	target balsamproxy.Target,
	call balsamproxy.Call,
	span balsamproxy.SpanID,
) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Head.Method, "http://"+target.Address+call.Head.Path, requestBody(call))
	if err != nil {
		return nil, err
	}
	request.ContentLength = call.Head.ContentLength
	request.Header = call.Head.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if _, set := request.Header["User-Agent"]; !set {
		request.Header.Set("User-Agent", "")
	}
	request.Host = string(call.Head.Service)
	tracecontext.Write(request.Header, call.Head.Trace, span)
	request.Header.Set(httpresponse.HeaderRequestID, string(call.Head.RequestID))
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		request.Header.Set(httpresponse.HeaderTimeout, strconv.FormatInt(max(left, 0), 10))
	}
	return request, nil
}

// responseBody releases the target's slot when it is closed.
type responseBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close closes the response body and, on the first call, ends the span and
// releases the slot of the call.
func (body *responseBody) Close() error {
	err := body.ReadCloser.Close()
	body.once.Do(body.release)
	return err
}
