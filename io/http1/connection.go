package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"balsamproxy/task"
)

// connection is one connection of a caller. Its reader takes requests and
// starts them; its writer answers them in the order in which they came.
type connection struct {
	server *Server
	conn   net.Conn
	source *source
	reader *bufio.Reader
	writer *bufio.Writer
	// answers holds the requests under way in the order of their arrival.
	answers  chan *pending
	underWay atomic.Int64
	// closing is set once no further request will be answered.
	closing atomic.Bool
}

// pending is one request that waits for its turn to be answered.
type pending struct {
	request *Request
	// answered receives the one answer.
	answered chan Response
	// last says that the connection closes after the answer.
	last bool
	// done closes when the answer has been written or given up.
	done chan struct{}
}

func newConnection(server *Server, conn net.Conn) *connection {
	source := &source{reader: conn}
	return &connection{
		server:  server,
		conn:    conn,
		source:  source,
		reader:  bufio.NewReaderSize(source, bufferBytes),
		writer:  bufio.NewWriterSize(conn, bufferBytes),
		answers: make(chan *pending, aheadMax),
	}
}

// errEnded says that the daemon ends the connection.
var errEnded = errors.New("http1: the connection is closing")

// serve reads requests until the connection ends.
func (connection *connection) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := task.Start(ctx, func(ctx context.Context) error { return connection.write(ctx, cancel) })
	err := connection.read(ctx)
	if !errors.Is(err, errEnded) {
		cancel()
	}
	close(connection.answers)
	failed := <-written
	if failed == nil && errors.Is(err, errEnded) {
		connection.linger()
	}
	_ = connection.conn.Close()
	return failed
}

// read takes requests until the caller is gone or the connection is to end.
func (connection *connection) read(ctx context.Context) error {
	var before *pending
	for {
		if err := connection.await(); err != nil {
			return err
		}
		if !connection.begin() {
			return errEnded
		}
		connection.server.underWay.Add(1)
		next := connection.receive()
		if next.request != nil && before != nil && !mayRunAhead(next.request.Head) {
			<-before.done
		}
		if next.request != nil {
			connection.start(ctx, next)
		}
		connection.answers <- next
		before = next
		if next.last {
			return connection.discard()
		}
	}
}

// closedIdle is added to the requests under way of a connection that was
// closed while it had none, so that none can begin on it.
const closedIdle = -1 << 32

// begin counts one more request under way. It says false if the connection was
// closed before: then the request must not be read.
func (connection *connection) begin() bool {
	return connection.underWay.Add(1) > 0
}

// closeIdle closes the connection unless a request is under way. It says
// whether it did.
func (connection *connection) closeIdle() bool {
	if !connection.underWay.CompareAndSwap(0, closedIdle) {
		return false
	}
	connection.end()
	return true
}

// await waits for the first byte of the next request.
func (connection *connection) await() error {
	connection.source.unlimited()
	for {
		deadline := time.Time{}
		if connection.underWay.Load() == 0 {
			deadline = time.Now().Add(connection.idleTimeout())
		}
		_ = connection.conn.SetReadDeadline(deadline)
		if connection.closing.Load() {
			return errEnded
		}
		_, err := connection.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if connection.closing.Load() || connection.underWay.Load() <= 0 {
			return errEnded
		}
	}
}

func (connection *connection) idleTimeout() time.Duration {
	return connection.server.Handler.Limits().filled().IdleTimeout
}

// discard reads on after the last request, only to notice a caller that
// leaves while its answer is under way.
func (connection *connection) discard() error {
	connection.source.unlimited()
	_ = connection.conn.SetReadDeadline(time.Time{})
	if connection.closing.Load() {
		return errEnded
	}
	_, err := io.Copy(io.Discard, connection.reader)
	if errors.Is(err, os.ErrDeadlineExceeded) || connection.closing.Load() {
		return errEnded
	}
	return io.ErrUnexpectedEOF
}

// mayRunAhead says whether a request may start before earlier ones on its
// connection have been answered.
func mayRunAhead(request *http.Request) bool {
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

// start lets the handler answer a request.
func (connection *connection) start(ctx context.Context, next *pending) {
	task.Start(ctx, func(ctx context.Context) error {
		next.answered <- connection.server.Handler.Handle(ctx, next.request)
		return nil
	})
}

// write answers requests until the reader has ended, or until one answer was
// the last of the connection.
func (connection *connection) write(ctx context.Context, gone func()) error {
	var failed error
	for next := range connection.answers {
		response := <-next.answered
		switch {
		case failed == nil && ctx.Err() == nil && !connection.closing.Load():
			last := next.last || connection.server.leaving.Load()
			failed = connection.answer(next, response, last)
			if failed != nil {
				_ = connection.conn.Close()
				gone()
			} else if last {
				connection.end()
				gone()
			}
		default:
			closeBody(response)
		}
		close(next.done)
		connection.server.underWay.Add(-1)
		if connection.underWay.Add(-1) == 0 && !connection.closing.Load() {
			_ = connection.conn.SetReadDeadline(time.Now().Add(connection.idleTimeout()))
		}
	}
	return failed
}

// end lets the reader take no further request.
func (connection *connection) end() {
	connection.closing.Store(true)
	_ = connection.conn.SetReadDeadline(time.Unix(1, 0))
}

// linger reads what is under way after the last answer, so that unread bytes
// do not reset the connection before the caller has the answer.
func (connection *connection) linger() {
	if half, ok := connection.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = connection.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, connection.conn)
}
