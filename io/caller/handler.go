// Package caller serves the customers' HTTP requests: it proves the client
// account, finds the route and gives the request to the fleet.
package caller

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/retry"
	"balsamproxy/io/fleet"
	"balsamproxy/io/httpresponse"
	"balsamproxy/io/orders"
)

const (
	headerBytesMax    = 64 << 10
	headerLinesMax    = 128
	bodyBytesMax      = 8 << 20
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// readMargin is how long after the deadline a body may still arrive.
	readMargin = time.Second
	// quietTime is how long all connections must be idle before they close.
	quietTime = 500 * time.Millisecond
)

// Handler serves callers. Its exported fields must be set.
type Handler struct {
	Host     balsamproxy.HostID
	Config   *config.Current
	Dispatch *fleet.Dispatcher
	Ledger   *retry.Limiter
	Clock    balsamproxy.Clock
	IDs      fleet.IDs
	Metrics  tally.Scope
	Standing balsamproxy.Standing
	// Allowance spends rate allowance.
	Allowance balsamproxy.Allowance
	// Orders lets each order run at most once.
	Orders *orders.Guard

	answers     httpresponse.Writer
	leaving     atomic.Bool
	connections connections
}

// Leave asks callers to close their connections after the next answer.
func (handler *Handler) Leave() { handler.leaving.Store(true) }

// Server returns an HTTP server for callers.
func (handler *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytesMax,
		ConnState:         handler.connections.note,
	}
}

// WaitQuiet waits until no request is under way on any connection, or ctx
// ends. Connections that stay idle do not count.
func (handler *Handler) WaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(quietTime)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			if handler.connections.quiet(now, quietTime) {
				return
			}
		}
	}
}

// ServeHTTP serves one request of a caller.
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

// answer runs one request as its root.
func (handler *Handler) answer(
	writer http.ResponseWriter,
	request *http.Request,
	id balsamproxy.RequestID,
) (*balsamproxy.Response, *balsamproxy.Refusal) {
	if refusal := checkShape(request); refusal != nil {
		return nil, refusal
	}
	header := httpresponse.CleanHeader(request.Header)
	secret := takeKey(header)
	proof, refusal := handler.prove(request, secret)
	if refusal != nil {
		return nil, refusal
	}
	timeout := routeTimeout(request, proof.route)
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(timeout + readMargin))
	ctx, cancel := context.WithTimeout(requestContext(request, proof.route), timeout)
	request.Body = http.MaxBytesReader(writer, request.Body, bodyBytesMax)
	body, err := fleet.HoldBody(request.Body, request.ContentLength, heldBytes(proof.route))
	if err != nil {
		cancel()
		return nil, balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
	}
	run := &run{
		handler: handler, writer: writer, request: request, id: id,
		header: header, secret: secret, body: body, timeout: timeout,
	}
	answer, refusal := run.admitted(ctx)
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	answer.Body = &endedBody{ReadCloser: answer.Body, end: cancel}
	return answer, nil
}

// run is one request whose body has been received.
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

// admitted proves the request once more, since receiving its body may have
// taken long, spends allowance and dispatches it.
func (run *run) admitted(ctx context.Context) (*balsamproxy.Response, *balsamproxy.Refusal) {
	handler := run.handler
	proof, refusal := handler.prove(run.request, run.secret)
	if refusal != nil {
		return nil, refusal
	}
	if proof.account != "" {
		if refusal := handler.Allowance.Spend(ctx, proof.account); refusal != nil {
			return nil, refusal
		}
	}
	if proof.route.Idempotent {
		return run.dispatch(ctx, proof)
	}
	return run.order(ctx, proof)
}

// dispatch gives a request to the fleet.
func (run *run) dispatch(ctx context.Context, proof proof) (*balsamproxy.Response, *balsamproxy.Refusal) {
	handler := run.handler
	handler.Ledger.Open(run.id, proof.route.EffectiveRetryLimit())
	answer, err := handler.Dispatch.Dispatch(ctx, fleet.Request{
		Head:       run.head(proof),
		Body:       run.body,
		Idempotent: proof.route.Idempotent,
	})
	if err != nil {
		handler.Ledger.Close(run.id)
		return nil, fleet.RefusalOf(err)
	}
	answer.Body = &endedBody{ReadCloser: answer.Body, end: func() { handler.Ledger.Close(run.id) }}
	return answer, nil
}

func (run *run) head(proof proof) balsamproxy.CallHead {
	return balsamproxy.CallHead{
		RequestID: run.id,
		Root:      run.handler.Host,
		Account:   proof.account,
		Route:     proof.route.ID,
		Service:   proof.route.Service,
		Priority:  proof.route.Priority,
		Trace:     run.handler.IDs.NewTrace(),
		Timeout:   run.timeout,
		Method:    run.request.Method,
		Path:      forwardedPath(run.request),
		Header:    run.header,
	}
}

// endedBody calls a function when an answer's body is closed.
type endedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the body.
func (body *endedBody) Close() error {
	err := body.ReadCloser.Close()
	body.once.Do(body.end)
	return err
}
