// Package caller serves HTTP requests of callers: it authenticates the client
// account, looks up the route and dispatches the request to a target.
package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/memory"
	"balsamproxy/core/retry"
	"balsamproxy/core/throttle"
	"balsamproxy/io/fleet"
	"balsamproxy/io/httpresponse"
	"balsamproxy/io/orders"
)

const (
	maxHeaderBytes    = 64 << 10
	maxHeaderFields   = 128
	maxBodyBytes      = 8 << 20
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// bodyReadMargin is added to the time-out of a request for the read deadline
	// of its connection.
	bodyReadMargin = time.Second
	// shedRetryAfter is the Retry-After of requests that the throttle sheds. The
	// header has whole seconds.
	shedRetryAfter = time.Second
	// idleSettleTime is how long all connections must have been idle before the
	// server counts as idle.
	idleSettleTime = 500 * time.Millisecond
)

// Handler serves callers. Its exported fields must be set.
type Handler struct {
	Host         balsamproxy.HostID
	Config       *config.Current
	Dispatch     *fleet.Dispatcher
	RetryLimiter *retry.Limiter
	Clock        balsamproxy.Clock
	IDs          fleet.IDs
	Metrics      tally.Scope
	Standing     balsamproxy.Standing
	// Allowance enforces the rate limits of client accounts.
	Allowance balsamproxy.Allowance
	// Orders ensures that each order runs at most once.
	Orders *orders.Guard
	// Throttle sheds requests whose calls would be rejected or time out.
	Throttle *throttle.Throttle
	// Random returns uniformly distributed numbers in [0, 1).
	Random func() float64
	// Memory bounds the memory for connections, requests in flight and their bodies.
	Memory *memory.Budget
	// MaxConnections bounds the open connections.
	MaxConnections int
	// OnEvict is called when a caller is refused or its connection closed for lack of
	// room. It must not block, and may be nil.
	OnEvict func(reason string, caller net.Addr)

	answers     httpresponse.Writer
	leaving     atomic.Bool
	connections connections
	recall      recall
}

// recall is a signal to all requests. The zero value has not been sent.
type recall struct {
	mutex sync.Mutex
	sent  chan struct{}
}

// channel returns the channel that is closed when the signal is sent.
func (recall *recall) channel() chan struct{} {
	recall.mutex.Lock()
	defer recall.mutex.Unlock()
	if recall.sent == nil {
		recall.sent = make(chan struct{})
	}
	return recall.sent
}

// RecallRequests refuses the requests that no target has received, and all later ones.
// It is called once.
func (handler *Handler) RecallRequests() { close(handler.recall.channel()) }

// Leave closes each connection after its next response, by a Connection header.
func (handler *Handler) Leave() { handler.leaving.Store(true) }

// Limit returns a listener for Server that bounds the connections.
func (handler *Handler) Limit(listener net.Listener) net.Listener {
	handler.connections.memory = handler.Memory
	handler.connections.most = handler.MaxConnections
	handler.connections.onEvict = handler.OnEvict
	return limitedListener{Listener: listener, connections: &handler.connections}
}

// Connections returns the number of open connections.
func (handler *Handler) Connections() int { return handler.connections.count() }

// Server returns an HTTP server for callers.
func (handler *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         handler.connections.track,
		ConnContext:       withConn,
	}
}

// WaitIdle waits until no connection has a request in progress, or ctx ends.
// Idle connections may stay open.
func (handler *Handler) WaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSettleTime)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			if handler.connections.idle(now, idleSettleTime) {
				return
			}
		}
	}
}

// ServeHTTP serves a request of a caller.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := handler.IDs.NewRequest()
	if handler.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	answer, refusal := handler.answer(writer, request, id)
	if refusal != nil {
		handler.refuse(writer, id, refusal)
		return
	}
	handler.Metrics.Counter("requests_answered").Inc(1)
	handler.answers.Write(writer, id, answer)
}

func (handler *Handler) refuse(writer http.ResponseWriter, id balsamproxy.RequestID, refusal *balsamproxy.Refusal) {
	tags := map[string]string{"reason": string(refusal.Reason), "outcome": string(refusal.Outcome)}
	handler.Metrics.Tagged(tags).Counter("requests_refused").Inc(1)
	httpresponse.WriteRefusal(writer, id, refusal)
}

// answer authenticates and runs a request, as the root of its call tree. The
// context of the request lives until the body of the answer is closed.
func (handler *Handler) answer(
	writer http.ResponseWriter,
	request *http.Request,
	id balsamproxy.RequestID,
) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if refusal := validate(request); refusal != nil {
		return nil, refusal
	}
	header := httpresponse.CleanHeader(request.Header)
	secret := extractKey(header)
	match, refusal := handler.authenticate(request, secret)
	if refusal != nil {
		return nil, refusal
	}
	timeout := routeTimeout(request, match.route)
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(timeout + bodyReadMargin))
	holding, refusal := handler.hold(request)
	if refusal != nil {
		return nil, refusal
	}
	ctx, cancelContext := context.WithTimeout(requestContext(request, match.route), timeout)
	cancel := func() {
		cancelContext()
		holding.release()
	}
	request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
	body, err := fleet.BufferBody(holding.limit(request.Body), request.ContentLength, bodyBufferSize(match.route), holding.grow)
	if err != nil {
		cancel()
		return nil, holding.bodyRefusal(err)
	}
	run := &run{
		handler: handler, writer: writer, request: request, id: id,
		header: header, secret: secret, body: body, timeout: timeout,
	}
	answer, refusal := run.admit(ctx)
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	answer.Body = &hookedBody{ReadCloser: answer.Body, onClose: cancel}
	return answer, nil
}

// run is a request whose body has been received.
type run struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	id      balsamproxy.RequestID
	header  http.Header
	secret  string
	body    *fleet.Body
	timeout time.Duration
}

// admit authenticates the request again, because the configuration may have
// changed while its body was received, then spends allowance and runs the
// request.
func (run *run) admit(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	handler := run.handler
	match, refusal := handler.authenticate(run.request, run.secret)
	if refusal != nil {
		return nil, refusal
	}
	class := throttle.Class{Route: match.route.ID, Priority: match.route.Priority}
	admittedAt := handler.Clock.Now()
	if !handler.Throttle.Admit(class, handler.Random(), admittedAt) {
		return nil, throttle.Refuse(shedRetryAfter)
	}
	if match.account != "" {
		if _, refusal := handler.Allowance.Spend(ctx, match.account); refusal != nil {
			return nil, refusal
		}
	}
	send := run.order
	if match.route.Idempotent {
		send = run.dispatch
	}
	answer, refusal := send(ctx, match)
	if outcome, known := throttle.OutcomeOf(answer, refusal); known {
		handler.Throttle.Record(class, outcome, admittedAt, handler.Clock.Now())
	}
	return answer, refusal
}

// dispatch sends a request to a target.
func (run *run) dispatch(ctx context.Context, match match) (*balsamproxy.Response, *balsamproxy.Refusal) {
	handler := run.handler
	handler.RetryLimiter.Open(run.id, match.route.EffectiveRetryLimit())
	answer, err := handler.Dispatch.Dispatch(ctx, fleet.Request{
		Head:       run.head(match),
		Body:       run.body,
		Idempotent: match.route.Idempotent,
		Recalled:   handler.recall.channel(),
	})
	if err != nil {
		handler.RetryLimiter.Close(run.id)
		return nil, fleet.RefusalOf(err)
	}
	answer.Body = &hookedBody{ReadCloser: answer.Body, onClose: func() { handler.RetryLimiter.Close(run.id) }}
	return answer, nil
}

func (run *run) head(match match) balsamproxy.CallHead {
	return balsamproxy.CallHead{
		RequestID: run.id,
		Root:      run.handler.Host,
		Account:   match.account,
		Route:     match.route.ID,
		Service:   match.route.Service,
		Priority:  match.route.Priority,
		Trace:     run.handler.IDs.NewTrace(),
		Timeout:   run.timeout,
		Method:    run.request.Method,
		Path:      forwardedPath(run.request),
		Header:    run.header,
	}
}

// hookedBody calls onClose once when the body is closed.
type hookedBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body and calls onClose.
func (body *hookedBody) Close() error {
	err := body.ReadCloser.Close()
	body.once.Do(body.onClose)
	return err
}
