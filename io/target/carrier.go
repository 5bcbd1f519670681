// Package target speaks to the targets of this host: it takes their
// announcements and own calls, and brings calls to them.
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

// Forwarder brings calls to the targets of this host, each within its limit.
// Its exported fields must be set.
type Forwarder struct {
	// Clock tells the time.
	Clock balsamproxy.Clock
	// Parents is where calls are found while a target works on them.
	Parents *inflight.Table
	// NewSpan returns a span that was never used.
	NewSpan func() balsamproxy.SpanID
	// Changed is called when what peers should know of a target changes.
	Changed func()

	mutex       sync.RWMutex
	guards      map[balsamproxy.TargetID]*guard
	connections connections
}

var _ balsamproxy.Forwarder = (*Forwarder)(nil)

func (carrier *Forwarder) guard(target balsamproxy.TargetID) (*guard, bool) {
	carrier.mutex.RLock()
	defer carrier.mutex.RUnlock()
	guard, found := carrier.guards[target]
	return guard, found
}

// Forward brings one call to its target on this host.
func (carrier *Forwarder) Forward(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
	guard, found := carrier.guard(call.Head.Target)
	if !found {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonDraining, "no such target here: "+string(call.Head.Target))
	}
	if err := guard.enter(ctx, call.Head); err != nil {
		return nil, err
	}
	begin := carrier.Clock.Now()
	leave := func() { guard.leave(ended(ctx, call.Head, carrier.Clock.Now().Sub(begin))) }
	answer, err := carrier.deliver(ctx, guard, call, leave)
	if err != nil {
		leave()
		return nil, err
	}
	return answer, nil
}

// ended describes the end of a call. It is late if nobody could wait longer;
// a call that was cancelled before tells nothing of the target.
func ended(ctx context.Context, head balsamproxy.CallHead, duration time.Duration) limit.Completion {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if ctx.Err() != nil && !late {
		duration = 0
	}
	return limit.Completion{Account: head.Account, Background: head.Background, Duration: duration, TimedOut: late}
}

// deliver sends an admitted call to its target. The answer's body ends the
// delivery when it is closed.
func (carrier *Forwarder) deliver(
	ctx context.Context,
	guard *guard,
	call balsamproxy.Call,
	leave func(),
) (*balsamproxy.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	span := carrier.NewSpan()
	carrier.Parents.Begin(span, carrier.parent(ctx, call.Head))
	finish := func() {
		carrier.Parents.End(span)
		cancel()
	}
	free := func() {
		finish()
		leave()
	}
	exchange, err := carrier.exchange(ctx, guard, call, span)
	if err != nil {
		finish()
		return nil, err
	}
	response := exchange.response
	body := &answerBody{ReadCloser: exchange, free: free}
	head := balsamproxy.ResponseHead{
		Status:        response.StatusCode,
		Header:        httpresponse.CleanHeader(response.Header),
		ContentLength: contentLength(call.Head.Method, response),
		Load:          guard.load(),
	}
	return &balsamproxy.Response{Head: head, Body: body}, nil
}

// contentLength returns the length of the body that follows. The answer to a
// HEAD request has none, whatever its header says.
func contentLength(method string, response *http.Response) int64 {
	if method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

func (carrier *Forwarder) parent(ctx context.Context, head balsamproxy.CallHead) inflight.Parent {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = carrier.Clock.Now().Add(head.Timeout)
	}
	return inflight.Parent{Head: head, Deadline: deadline, Context: ctx}
}

func (carrier *Forwarder) exchange(
	ctx context.Context,
	guard *guard,
	call balsamproxy.Call,
	span balsamproxy.SpanID,
) (*exchange, error) {
	target := guard.announced()
	request, err := newRequest(ctx, target, call, span)
	if err != nil {
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
	}
	connection, err := carrier.connections.take(ctx, target.Address, carrier.Clock.Now())
	if err != nil {
		if isDialError(err) {
			guard.shut()
			carrier.Changed()
		}
		return nil, failure(ctx, balsamproxy.NotRun, err)
	}
	exchange := &exchange{context: ctx, connections: &carrier.connections, connection: connection, clock: carrier.Clock}
	if err := exchange.send(request); err != nil {
		return nil, carrier.interrupted(ctx, guard, err)
	}
	return exchange, nil
}

// interrupted tells why a call that had reached a target ended. If the target
// accepts no connection any more, it crashed.
func (carrier *Forwarder) interrupted(ctx context.Context, guard *guard, err error) *balsamproxy.Refusal {
	refusal := failure(ctx, balsamproxy.MayHaveRun, err)
	if refusal.Reason != balsamproxy.ReasonTargetFailed || !carrier.refusesConnections(ctx, guard.announced().Address) {
		return refusal
	}
	refusal.Reason = balsamproxy.ReasonTargetCrashed
	refusal.Crash = guard.crash()
	carrier.Changed()
	return refusal
}

func (carrier *Forwarder) refusesConnections(ctx context.Context, address string) bool {
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

func failure(
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

// callBody is the body of a request to a target.
type callBody struct {
	io.Reader
}

// Close does nothing: the body belongs to the call.
func (callBody) Close() error { return nil }

func bodyOf(call balsamproxy.Call) io.ReadCloser {
	if call.Head.ContentLength == 0 {
		return http.NoBody
	}
	return callBody{Reader: call.Body}
}

func newRequest(
	ctx context.Context,
	target balsamproxy.Target,
	call balsamproxy.Call,
	span balsamproxy.SpanID,
) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Head.Method, "http://"+target.Address+call.Head.Path, bodyOf(call))
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

// answerBody frees the target's slot when the answer has been read.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	free func()
}

// Close ends the delivery.
func (body *answerBody) Close() error {
	err := body.ReadCloser.Close()
	body.once.Do(body.free)
	return err
}
