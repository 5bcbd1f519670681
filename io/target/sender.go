package target

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// requestWriteTimeout is how long a target that responded early may take to read the rest of
// the request before its connection is closed.
const requestWriteTimeout = 500 * time.Millisecond

var _ io.Writer = (*sender)(nil)

var (
	// errBodyBroken means that the body of the call ended early on its way to this
	// host.
	errBodyBroken = errors.New("target: the body of the call ended early")
	// errAnswerReset means that the target reset the connection in its answer.
	errAnswerReset = errors.New("target: the connection was reset in the answer")
)

// sender writes to a connection and keeps the first error of the connection itself, which
// the error of writing a request does not tell from one of its body. The goroutine that
// writes may use it, and others after that has ended.
type sender struct {
	conn net.Conn
	err  error
	// bodyBroken is set when the body of a request has failed, before the connection is
	// closed for that. It may be read at any time.
	bodyBroken atomic.Bool
}

// Write implements io.Writer.
func (sender *sender) Write(data []byte) (int, error) {
	count, err := sender.conn.Write(data)
	if err != nil && sender.err == nil {
		sender.err = err
	}
	return count, err
}

// sendRequest writes a request. It closes the connection if the body fails, since the target
// would wait for the rest. If the connection fails, it stays open: the target may have
// responded before, and its response is read nevertheless.
func (connection *connection) sendRequest(request *http.Request) error {
	err := request.Write(connection.writer)
	if err == nil {
		err = connection.writer.Flush()
	}
	if err != nil && connection.sender.err == nil {
		connection.sender.bodyBroken.Store(true)
		_ = connection.Close()
	}
	return err
}

// waitSent waits until a request has been sent, in case the target responded early, and
// returns the error of sending it. If it returns false, the goroutine that sends the request
// may still wait for a part of the body, and the connection is closed.
func (connection *connection) waitSent(written <-chan error) (bool, error) {
	timer := time.NewTimer(requestWriteTimeout)
	defer timer.Stop()
	select {
	case err := <-written:
		return true, err
	case <-timer.C:
	}
	_ = connection.Close()
	select {
	case err := <-written:
		return true, err
	default:
		return false, nil
	}
}

// sawReset reports whether the target reset the connection while it was written to. The
// kernel reports a reset once, to a read or to a write: after a write has failed, a read
// returns what has been received and then io.EOF. A write to a connection that the target had
// closed in good order before fails with EPIPE.
func (connection *connection) sawReset() bool {
	var reason syscall.Errno
	return errors.As(connection.sender.err, &reason) && reason != syscall.EPIPE
}

// endsWithConnection reports whether the body of a response has no other end than that of its
// connection.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
