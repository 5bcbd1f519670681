package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/task"
)

// exchange is one request on one connection to a target. It implements the body
// of the response.
type exchange struct {
	context    context.Context
	pool       *connectionPool
	connection *connection
	clock      balsamproxy.Clock
	response   *http.Response
	// release unregisters the cancellation callback of the context.
	release func() bool
	// written receives the result of writing a body concurrently with reading
	// the response; nil if the body has already been written.
	written  <-chan error
	complete bool
	once     sync.Once
}

// send writes a request to the connection and reads the head of the response.
// On error it closes the connection.
func (exchange *exchange) send(request *http.Request) error {
	exchange.release = context.AfterFunc(exchange.context, func() {
		_ = exchange.connection.SetDeadline(time.Unix(1, 0))
	})
	err := exchange.write(request)
	if err == nil {
		err = exchange.readHead(request)
	}
	if err != nil {
		exchange.abandon()
	}
	return err
}

// write writes a request with a buffered body synchronously. A streamed body is
// written in the background because the target may respond before it has read
// all of it.
func (exchange *exchange) write(request *http.Request) error {
	if isBuffered(request.Body) {
		return exchange.connection.sendRequest(request)
	}
	exchange.written = task.Start(exchange.context, func(context.Context) error {
		return exchange.connection.sendRequest(request)
	})
	return nil
}

func isBuffered(body io.ReadCloser) bool {
	reader, ok := body.(callReader)
	if !ok {
		return true
	}
	_, ok = reader.Reader.(*bytes.Reader)
	return ok
}

// readHead reads the head of the final response.
func (exchange *exchange) readHead(request *http.Request) error {
	response, err := exchange.connection.readFinalResponse(request) //nolint:bodyclose // the exchange wraps the body
	if err != nil {
		return unexpectedEOF(err)
	}
	exchange.response = response
	return nil
}

// unexpectedEOF converts io.EOF, so that a closed connection is not taken for
// the end of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read reads from the response body.
func (exchange *exchange) Read(buffer []byte) (int, error) {
	count, err := exchange.response.Body.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if endsWithConnection(exchange.response) && exchange.wasReset() {
		return count, errAnswerReset
	}
	exchange.complete = true
	return count, err
}

// wasReset reports whether the connection was reset while the request was written.
func (exchange *exchange) wasReset() bool {
	if exchange.written == nil {
		return false
	}
	sent, _ := exchange.connection.waitSent(exchange.written)
	if !sent {
		return false
	}
	exchange.written = nil
	return exchange.connection.sawReset()
}

// Close ends the exchange. The connection is returned to the pool if the
// response was read completely and the request was written completely.
func (exchange *exchange) Close() error {
	exchange.once.Do(exchange.finish)
	return nil
}

func (exchange *exchange) finish() {
	if !exchange.complete && exchange.response.ContentLength == 0 {
		exchange.complete = true
	}
	notCancelled := exchange.release()
	if !exchange.complete || !notCancelled || !exchange.bodyWritten() || !exchange.connection.reusable(exchange.response) {
		exchange.abandon()
		return
	}
	exchange.pool.putIdle(exchange.connection, exchange.clock.Now())
}

// bodyWritten reports whether the request was written completely.
func (exchange *exchange) bodyWritten() bool {
	if exchange.written == nil {
		return true
	}
	select {
	case err := <-exchange.written:
		exchange.written = nil
		return err == nil
	default:
		return false
	}
}

// abandon closes the connection and waits for the goroutine that writes the body.
func (exchange *exchange) abandon() {
	exchange.release()
	_ = exchange.connection.Close()
	if exchange.written != nil {
		<-exchange.written //nolint:errcheck // the connection is closed
	}
}
