package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"iter"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"balsamproxy/core/memory"
	"balsamproxy/io/decoding"
	"balsamproxy/task"
)

// connection is one connection of a caller. One goroutine reads and starts
// requests, another writes the responses in request order.
type connection struct {
	server  *Server
	conn    net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// first receives the first request. Each request has a channel that receives the next
	// one, so that the reader never waits for the writer. It is closed after the last one.
	first chan *pending
	// running holds an element for each request that runs.
	running  chan struct{}
	inFlight atomic.Int64
	// receiving tells whether a request is being received.
	receiving atomic.Int32
	// receivingSince is when the first byte of that request came, in Unix nanoseconds.
	receivingSince atomic.Int64
	// closing is set once no further request will be served.
	closing atomic.Bool
	// idleMutex guards the read deadline while no request is in flight.
	idleMutex sync.Mutex
	// closeIdleAt is when the connection closes if it is idle, zero if only the idle
	// timeout closes it.
	closeIdleAt time.Time
	// idleSince is when the last request in flight ended or the connection began.
	idleSince time.Time

	// reading and writing are how far the caller lags with the request that is being
	// received and with reading responses.
	reading, writing memory.Lag
	// overhead is the memory of the connection itself, charges that of the requests in
	// flight.
	overhead *memory.Charge
	charges  memory.Charges
	// reception is the body that is being received, nil if there is none.
	reception atomic.Pointer[reception]
	// answerBytes is the memory that the body of the response being written holds.
	answerBytes atomic.Int64
	// closed is set when the connection is given up, ended is closed when it has ended.
	closed atomic.Bool
	ended  chan struct{}
}

// pending is one request whose response has not been written yet.
type pending struct {
	request *Request
	// charge is the memory for the request and its response on their way.
	charge *memory.Charge
	// position is that of the request among those of the connection.
	position *Position
	// response receives the response, and next the request behind this one.
	response chan Response
	next     chan *pending
	// closeAfter reports whether the connection closes after the response.
	closeAfter bool
	// done is closed when the response has been written or dropped.
	done chan struct{}
}

func newConnection(server *Server, conn net.Conn) *connection {
	connection := &connection{
		server:  server,
		conn:    conn,
		first:   make(chan *pending, 1),
		running: make(chan struct{}, runningMax),

		idleSince: time.Now(),
		ended:     make(chan struct{}),
	}
	connection.limited = &limitedReader{
		reader: conn, lag: &connection.reading, charge: connection.chargeHead, turn: decoding.Turn{Turns: &server.turns},
	}
	connection.reader = bufio.NewReaderSize(connection.limited, bufferBytes)
	connection.writer = bufio.NewWriterSize(&lagWriter{writer: conn, lag: &connection.writing}, bufferBytes)
	return connection
}

// lagWriter measures how far the reader of what it writes lags.
type lagWriter struct {
	writer io.Writer
	lag    *memory.Lag
}

// Write implements io.Writer.
func (writer *lagWriter) Write(data []byte) (int, error) {
	writer.lag.Begin(time.Now())
	count, err := writer.writer.Write(data)
	writer.lag.End(time.Now(), count)
	return count, err
}

// errClosing means that the daemon closes the connection.
var errClosing = errors.New("http1: the connection is closing")

// serve serves the connection until it is closed.
func (connection *connection) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := task.Start(ctx, func(ctx context.Context) error { return connection.writeResponses(ctx, cancel) })
	err := connection.readRequests(ctx)
	if !errors.Is(err, errClosing) {
		cancel()
	}
	writeErr := <-written
	if writeErr == nil && errors.Is(err, errClosing) {
		connection.linger()
	}
	_ = connection.conn.Close()
	return writeErr
}

// readRequests reads and starts requests until the caller disconnects or the
// connection is closing. It reads on while requests run or wait, so that the timeout of each
// one counts from its arrival, and a caller that leaves is noticed.
func (connection *connection) readRequests(ctx context.Context) error {
	var last *pending
	queue := connection.first
	defer func() { close(queue) }()
	for {
		if err := connection.awaitRequest(); err != nil {
			return err
		}
		if !connection.beginRequest() {
			return errClosing
		}
		connection.server.inFlight.Add(1)
		now := time.Now()
		connection.reading.Reset(now)
		connection.receivingSince.Store(now.UnixNano())
		connection.receiving.Store(receiving)
		next := connection.receive(last)
		if next.request != nil && last != nil && next.request.Body.Len() > memory.SmallBytes {
			// Long uploads that wait would use the memory and the time of requests that can run.
			<-last.done
		}
		if next.request != nil && !connection.charge(next, last) {
			next.request.Body.Release()
			connection.refuse(next, connection.refuseBody())
		}
		if next.request != nil {
			connection.start(ctx, next)
		}
		if connection.server.draining.Load() {
			next.closeAfter = true
		}
		queue <- next
		queue, last = next.next, next
		if next.closeAfter {
			return connection.discard()
		}
	}
}

// closedAfterLast is the inFlight count of a connection whose last response has been
// chosen. It is negative, so that no request can begin afterwards.
const closedAfterLast = -1 << 32

// beginRequest counts one more request in flight. It returns false if the response
// being written is the last one; the request must then not be read.
func (connection *connection) beginRequest() bool {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	return connection.inFlight.Add(1) > 0
}

// endRequest counts one request less in flight.
func (connection *connection) endRequest() {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	if connection.inFlight.Add(-1) != 0 {
		return
	}
	connection.idleSince = time.Now()
	if !connection.closing.Load() {
		connection.setIdleDeadline()
	}
}

// endAfterLast prevents further requests from beginning if only one is in flight, whose
// response is then the last one. Requests in flight behind it may have reached a target,
// so the connection must not close before they are answered.
func (connection *connection) endAfterLast() bool {
	return connection.inFlight.CompareAndSwap(1, closedAfterLast+1)
}

// closeIdle closes the connection at the given time unless a request has arrived by
// then.
func (connection *connection) closeIdle(at time.Time) {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	connection.closeIdleAt = at
	if connection.inFlight.Load() == 0 {
		connection.setIdleDeadline()
	}
}

// setIdleDeadline limits the wait for the next request of an idle connection.
func (connection *connection) setIdleDeadline() {
	deadline := time.Now().Add(connection.idleTimeout())
	if closeAt := connection.closeIdleAt; !closeAt.IsZero() && closeAt.Before(deadline) {
		deadline = closeAt
	}
	_ = connection.conn.SetReadDeadline(deadline)
}

// awaitRequest waits for the first byte of the next request.
func (connection *connection) awaitRequest() error {
	connection.limited.removeLimit()
	for {
		connection.setAwaitDeadline()
		if connection.closing.Load() {
			return errClosing
		}
		_, err := connection.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if connection.closing.Load() {
			return errClosing
		}
		if connection.inFlight.Load() <= 0 {
			return connection.peekReceived()
		}
	}
}

// setAwaitDeadline limits the wait for the next request unless requests are in flight.
func (connection *connection) setAwaitDeadline() {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	if connection.inFlight.Load() == 0 {
		connection.setIdleDeadline()
		return
	}
	_ = connection.conn.SetReadDeadline(time.Time{})
}

// peekReceived returns errClosing unless the first byte of a request has been received.
// A daemon that lacks processor time may notice the deadline before the request.
func (connection *connection) peekReceived() error {
	_ = connection.conn.SetReadDeadline(time.Now().Add(receivedTimeout))
	if _, err := connection.reader.Peek(1); err != nil {
		return errClosing
	}
	return nil
}

func (connection *connection) idleTimeout() time.Duration {
	return connection.server.Handler.Limits().withDefaults().IdleTimeout
}

// discard reads and discards input after the last request, to detect a caller
// that disconnects before its response is written.
func (connection *connection) discard() error {
	connection.limited.removeLimit()
	connection.limited.turn.Enable()
	defer connection.limited.turn.Disable()
	_ = connection.conn.SetReadDeadline(time.Time{})
	if connection.closing.Load() {
		return errClosing
	}
	_, err := io.Copy(io.Discard, connection.reader)
	if errors.Is(err, os.ErrDeadlineExceeded) || connection.closing.Load() {
		return errClosing
	}
	return io.ErrUnexpectedEOF
}

// start runs the handler in a new goroutine.
func (connection *connection) start(ctx context.Context, next *pending) {
	task.Start(ctx, func(ctx context.Context) error {
		response := connection.server.Handler.Handle(ctx, next.request)
		next.request.Body.Release()
		next.charge.ShrinkWindow(windowOf(response))
		next.position.end()
		next.response <- response
		return nil
	})
}

// windowOf returns how much of a response may be held on its way to the caller.
func windowOf(response Response) int64 {
	switch {
	case response.Body == nil:
		return 0
	case response.ContentLength < 0:
		return memory.WindowBytes
	}
	return min(response.ContentLength, memory.WindowBytes)
}

// writeResponses writes responses in request order until the reader has ended.
// After a failed write or a final response it drops the remaining ones.
func (connection *connection) writeResponses(ctx context.Context, cancel func()) error {
	var writeErr error
	for next := range requestsFrom(connection.first) {
		response := <-next.response
		switch {
		case writeErr == nil && ctx.Err() == nil && !connection.closing.Load():
			closeAfter := next.closeAfter || connection.server.draining.Load() && connection.endAfterLast()
			writeErr = connection.writeResponse(next, response, closeAfter)
			if writeErr != nil {
				_ = connection.conn.Close()
				cancel()
			} else if closeAfter {
				connection.stopReading()
				cancel()
			}
		default:
			closeBody(response)
		}
		connection.charges.Release(next.charge)
		close(next.done)
		connection.server.inFlight.Add(-1)
		connection.endRequest()
	}
	return writeErr
}

// requestsFrom yields the requests of a connection in order, from the one that a channel
// receives on.
func requestsFrom(queue <-chan *pending) iter.Seq[*pending] {
	return func(yield func(*pending) bool) {
		for next, found := <-queue; found && yield(next); next, found = <-next.next {
			continue
		}
	}
}

// stopReading makes the reader accept no further request.
func (connection *connection) stopReading() {
	connection.closing.Store(true)
	_ = connection.conn.SetReadDeadline(time.Unix(1, 0))
}

// linger reads and discards input after the last response. Unread data would
// reset the connection, possibly before the caller has read the response.
func (connection *connection) linger() {
	if halfCloser, ok := connection.conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = connection.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, connection.conn)
}
