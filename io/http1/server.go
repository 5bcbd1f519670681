// Package http1 serves callers over HTTP/1.1. It keeps reading from a connection
// while a request runs, so that it detects a disconnect at once and starts
// pipelined requests early. Responses are written in request order.
package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/core/memory"
	"balsamproxy/io/decoding"
	"balsamproxy/task"
)

// Limits are the limits on the input of callers. A zero field means its default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Defaults of Limits.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultBodyBytes     = 8 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
)

func (limits Limits) withDefaults() Limits {
	fill := func(value *int, fallback int) {
		if *value <= 0 {
			*value = fallback
		}
	}
	fillTime := func(value *time.Duration, fallback time.Duration) {
		if *value <= 0 {
			*value = fallback
		}
	}
	fill(&limits.HeaderBytes, DefaultHeaderBytes)
	fill(&limits.BodyBytes, DefaultBodyBytes)
	fillTime(&limits.HeaderTimeout, DefaultHeaderTimeout)
	fillTime(&limits.IdleTimeout, DefaultIdleTimeout)
	return limits
}

const (
	// runningMax is how many requests of one connection may run at the same time. Those
	// behind them wait.
	runningMax = 16
	// pipelineMax is how many requests of one connection are read before the first of
	// them has been answered.
	pipelineMax = 512
	// lingerTimeout is how long a connection is read after its last response, so
	// that late input does not reset it before the caller has the response.
	lingerTimeout = 150 * time.Millisecond
	// receivedTimeout is the time to read bytes, or accept a connection, that the kernel
	// has already received.
	receivedTimeout = 10 * time.Millisecond
	// establishedTimeout is the time to accept established connections before the
	// listener closes.
	establishedTimeout = 100 * time.Millisecond
	// bodyTimeout is the time limit for receiving an entire body.
	bodyTimeout = 30 * time.Second
	// writeTimeout is the time limit for one write to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
	// defaultBodyMemory is the size of the budget of a server without one.
	defaultBodyMemory = 64 << 20
	// defaultMaxConnections is the default of Server.MaxConnections.
	defaultMaxConnections = 4096
	bufferBytes           = 4 << 10
)

// Request is one request whose body has been received.
type Request struct {
	Head *http.Request
	// Body is released when Handle returns; until then the request may be sent again.
	// It may be nil if there is none.
	Body *memory.Body
	// ReadAt is when the request was read completely.
	ReadAt time.Time
	// Position is that of the request behind others on its connection.
	Position *Position
}

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64
	// Body may be nil. It ends with io.EOF only if it is complete. The server
	// closes it.
	Body io.ReadCloser
}

// Handler handles requests.
type Handler interface {
	// Handle processes one request. The context is cancelled when the caller
	// disconnects. It is called as soon as the request has been read, so it must wait for
	// the request's Position before it acts on it.
	Handle(ctx context.Context, request *Request) Response
	// HandleMalformed returns the response to input that was refused before it
	// became a Request.
	HandleMalformed(refusal *balsamproxy.Refusal) Response
	// Limits returns the limits in force.
	Limits() Limits
}

// connectionSet is a set of open connections.
type connectionSet map[*connection]struct{}

// Server serves callers. Handler must be set.
type Server struct {
	Handler Handler
	// Bodies bounds the memory for bodies, connections and requests in flight. If nil, it
	// is 64 MiB for bodies, and the rest is not bounded.
	Bodies *memory.Budget
	// MaxConnections bounds the open connections; zero means 4,096.
	MaxConnections int
	// OnEvict is called when something is given up because there is too little room. It
	// must not block, and may be nil.
	OnEvict func(eviction Eviction, caller net.Addr)

	draining      atomic.Bool
	mutex         sync.Mutex
	connections   connectionSet
	closeIdleAt   time.Time
	serving       task.Group
	inFlight      atomic.Int64
	counts        counts
	pace          memory.Pace
	turns         decoding.Turns
	defaultBodies sync.Once
}

// Serve accepts connections until ctx ends, the listener is closed or StopAccepting is
// called.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				server.acceptEstablished(ctx, listener)
				return nil
			}
			if !isTemporary(err) {
				return eris.Wrap(err, "http1: cannot accept")
			}
			task.Sleep(ctx, acceptRetryDelay)
			continue
		}
		server.start(ctx, accepted)
	}
}

// StopAccepting makes Serve return and closes the listener, after the connections that
// are already established have been accepted.
func (*Server) StopAccepting(listener net.Listener) {
	limited, ok := listener.(deadlineListener)
	if !ok {
		_ = listener.Close()
		return
	}
	_ = limited.SetDeadline(time.Unix(1, 0))
}

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface {
	SetDeadline(time.Time) error
}

// acceptEstablished accepts the connections that the kernel has established and that
// would be reset when the listener closes. New ones may come as fast as they are
// accepted, so its time is limited.
func (server *Server) acceptEstablished(ctx context.Context, listener net.Listener) {
	defer func() { _ = listener.Close() }()
	limited, ok := listener.(deadlineListener)
	for end := time.Now().Add(establishedTimeout); ok && time.Now().Before(end); {
		_ = limited.SetDeadline(time.Now().Add(receivedTimeout))
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		server.start(ctx, accepted)
	}
}

// start serves an accepted connection.
func (server *Server) start(ctx context.Context, accepted net.Conn) {
	connection := newConnection(server, accepted)
	if !server.add(connection) {
		_ = accepted.Close()
		return
	}
	connection.overhead = server.budget().ChargeConnection(memory.ConnectionBytes)
	server.budget().Holders.Add(connection)
	server.serving.Start(ctx, connection.serve, func(error) { server.remove(connection) })
}

// acceptRetryDelay is the delay after a temporary accept error, such as a lack
// of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func isTemporary(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && !errors.Is(err, net.ErrClosed)
}

func (server *Server) remove(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, connection)
	server.budget().Holders.Remove(connection)
	connection.overhead.Release()
	close(connection.ended)
}

// Drain makes each connection close after the response to the last request that it has
// read.
func (server *Server) Drain() { server.draining.Store(true) }

// CloseIdle closes the connections on which no request is in flight at the given time.
// Until then, requests that are already under way are served; a new connection usually
// has one.
func (server *Server) CloseIdle(at time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closeIdleAt = at
	for connection := range server.connections {
		connection.closeIdle(at)
	}
}

// InFlight returns the number of requests whose response has not been written.
func (server *Server) InFlight() int64 { return server.inFlight.Load() }

// Close closes all connections.
func (server *Server) Close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.connections {
		_ = connection.conn.Close()
	}
}

// Done returns a channel that is closed when all connections have ended. It may
// only be called after Serve has returned.
func (server *Server) Done() <-chan struct{} { return server.serving.Ended() }
