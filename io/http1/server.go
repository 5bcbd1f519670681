// Package http1 serves callers over HTTP/1.1. Each connection is read on while
// a request runs, so that a caller that leaves is noticed at once and requests
// that were sent ahead are started early and answered in order.
package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/task"
)

// Limits bound what callers may send. A zero field means its default.
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

func (limits Limits) filled() Limits {
	fill := func(value *int, usual int) {
		if *value <= 0 {
			*value = usual
		}
	}
	fillTime := func(value *time.Duration, usual time.Duration) {
		if *value <= 0 {
			*value = usual
		}
	}
	fill(&limits.HeaderBytes, DefaultHeaderBytes)
	fill(&limits.BodyBytes, DefaultBodyBytes)
	fillTime(&limits.HeaderTimeout, DefaultHeaderTimeout)
	fillTime(&limits.IdleTimeout, DefaultIdleTimeout)
	return limits
}

const (
	// aheadMax is how many requests of one connection may be under way.
	aheadMax = 16
	// lingerTime is how long a connection is read after its last answer, so
	// that bytes under way do not reset it before the caller has the answer.
	lingerTime = 150 * time.Millisecond
	// bodyTimeout bounds the time for a whole body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the write of one part of an answer to a caller that
	// does not read.
	writeTimeout = 10 * time.Second
	// heldBodiesMax bounds the bytes of all bodies that are held, in bytes.
	heldBodiesMax = 64 << 20
	bufferBytes   = 4 << 10
)

// Request is one request whose body has been received.
type Request struct {
	Head *http.Request
	Body []byte
	// ReadAt is when the request had been read.
	ReadAt time.Time
}

// Response is the answer to one request.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64
	// Body may be nil. It ends with io.EOF only if it is whole. The server
	// closes it.
	Body io.ReadCloser
}

// Handler answers requests.
type Handler interface {
	// Handle answers one request. The context ends when the caller is gone.
	Handle(ctx context.Context, request *Request) Response
	// HandleMalformed returns the answer to bytes that are no request.
	HandleMalformed(refusal *balsamproxy.Refusal) Response
	// Limits returns the limits in force.
	Limits() Limits
}

// connections are the open connections.
type connections map[*connection]struct{}

// Server serves callers. Handler must be set.
type Server struct {
	Handler Handler

	leaving  atomic.Bool
	mutex    sync.Mutex
	open     connections
	running  task.Group
	bodies   atomic.Int64
	underWay atomic.Int64
}

// Serve accepts connections until ctx ends or the listener is closed.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !isTemporary(err) {
				return eris.Wrap(err, "http1: cannot accept")
			}
			task.Sleep(ctx, acceptPause)
			continue
		}
		connection := newConnection(server, accepted)
		server.add(connection)
		server.running.Start(ctx, connection.serve, func(error) { server.remove(connection) })
	}
}

// acceptPause is the wait after the host ran out of descriptors.
const acceptPause = 20 * time.Millisecond

func isTemporary(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && !errors.Is(err, net.ErrClosed)
}

func (server *Server) add(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.open == nil {
		server.open = connections{}
	}
	server.open[connection] = struct{}{}
}

func (server *Server) remove(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.open, connection)
}

// Drain closes each connection after its next answer.
func (server *Server) Drain() { server.leaving.Store(true) }

// CloseIdle closes the connections on which no request is under way.
func (server *Server) CloseIdle() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.open {
		connection.closeIdle()
	}
}

// InFlight returns the number of requests that have no answer yet.
func (server *Server) InFlight() int64 { return server.underWay.Load() }

// Close ends all connections.
func (server *Server) Close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.open {
		_ = connection.conn.Close()
	}
}

// Done returns a channel that closes when all connections have ended. It may
// be called once Serve has returned.
func (server *Server) Done() <-chan struct{} { return server.running.Ended() }
