package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/inflight"
	"balsamproxy/core/memory"
)

// script is what a target and the kernel do.
type script struct {
	// response is what the target sends.
	response string
	// accepted is the number of bytes that can be written before writes fail with reason,
	// or block if that is nil.
	accepted int
	reason   error
	// endsFirst makes the failed write return only after a read has returned io.EOF.
	endsFirst bool
}

// scriptedConn is a connection to a target. As with the kernel, a reset that a write has
// reported makes reads return what has been received and then io.EOF.
type scriptedConn struct {
	net.Conn
	script
	failOnce, endOnce, closeOnce sync.Once
	failed, ended, closed        chan struct{}
	mutex                        sync.Mutex
	read                         int
}

func newScriptedConn(script script) *scriptedConn {
	return &scriptedConn{script: script, failed: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{})}
}

func (conn *scriptedConn) Write(data []byte) (int, error) {
	conn.accepted -= len(data)
	if conn.accepted >= 0 {
		return len(data), nil
	}
	if conn.reason == nil {
		<-conn.closed
		return 0, net.ErrClosed
	}
	conn.failOnce.Do(func() { close(conn.failed) })
	if conn.endsFirst {
		<-conn.ended
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", conn.reason)}
}

func (conn *scriptedConn) Read(buffer []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.read < len(conn.response) {
		count := copy(buffer, conn.response[conn.read:])
		conn.read += count
		return count, nil
	}
	if conn.reason != nil {
		<-conn.failed
	}
	conn.endOnce.Do(func() { close(conn.ended) })
	return 0, io.EOF
}

func (conn *scriptedConn) Close() error {
	conn.closeOnce.Do(func() { close(conn.closed) })
	return nil
}

func (*scriptedConn) SetDeadline(time.Time) error { return nil }

// streamedBody is an upload that is not in memory.
type streamedBody struct{ io.Reader }

// TestResetWhileSending guards against an answer without a length that breaks off by a reset
// and looks complete, because the kernel has reported the reset to the write of the request.
func TestResetWhileSending(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		upload  = 1 << 20
		plenty  = 2 * upload
		written = 64 << 10
	)
	cases := map[string]struct {
		script script
		whole  bool
	}{
		"no length, reset":                  {script{response: head + "\r\npart", accepted: written, reason: syscall.ECONNRESET}, false},
		"no length, reset, seen late":       {script{response: head + "\r\npart", accepted: written, reason: syscall.ECONNRESET, endsFirst: true}, false},
		"no length, connection timed out":   {script{response: head + "\r\npart", accepted: written, reason: syscall.ETIMEDOUT}, false},
		"no length, ended in good order":    {script{response: head + "\r\npart", accepted: written, reason: syscall.EPIPE}, true},
		"no length, ended, seen late":       {script{response: head + "\r\npart", accepted: written, reason: syscall.EPIPE, endsFirst: true}, true},
		"no length, target does not read":   {script{response: head + "\r\npart", accepted: written}, true},
		"no length, whole request sent":     {script{response: head + "\r\npart", accepted: plenty}, true},
		"no length, reset in the head":      {script{response: head, accepted: written, reason: syscall.ECONNRESET}, false},
		"whole length, reset":               {script{response: head + "Content-Length: 4\r\n\r\npart", accepted: written, reason: syscall.ECONNRESET}, true},
		"part of a length, reset":           {script{response: head + "Content-Length: 5\r\n\r\npart", accepted: written, reason: syscall.ECONNRESET}, false},
		"all chunks, reset":                 {script{response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", accepted: written, reason: syscall.ECONNRESET}, true},
		"chunks without the end, reset":     {script{response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", accepted: written, reason: syscall.ECONNRESET}, false},
		"chunks without the end, no length": {script{response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", accepted: written, reason: syscall.EPIPE}, false},
	}
	for name, test := range cases {
		for program, send := range map[string]func(*testing.T, *connectionPool, balsamproxy.Call) (*balsamproxy.Response, error){
			"mesh": sendByLocal, "daemon": sendByForwarder,
		} {
			t.Run(name+", "+program, func(t *testing.T) {
				conn := newScriptedConn(test.script)
				pool := &connectionPool{dialer: func(context.Context, string) (net.Conn, error) { return conn, nil }}
				call := balsamproxy.Call{
					Head: balsamproxy.CallHead{
						RequestID: "1", Target: "i-1", Service: "s1", Method: "POST", Path: "/", Timeout: time.Minute,
						ContentLength: upload,
					},
					Body: streamedBody{strings.NewReader(strings.Repeat("x", upload))},
				}
				response, err := send(t, pool, call)
				body := []byte{}
				if err == nil {
					body, err = io.ReadAll(response.Body)
					assert.NilError(t, response.Body.Close())
				}
				if test.whole {
					assert.NilError(t, err)
					assert.Equal(t, string(body), "part")
					return
				}
				assert.Assert(t, err != nil, "%q looks complete", body)
				var refusal *balsamproxy.Refusal
				if errors.As(err, &refusal) {
					assert.Equal(t, refusal.Outcome, balsamproxy.OutcomeMayHaveRun)
					assert.Assert(t, refusal.Reason != balsamproxy.ReasonCancelled, refusal.Detail)
				}
			})
		}
	}
}

// stubDialect reads the id of a request from the field Id.
type stubDialect struct{ balsamproxy.Dialect }

func (stubDialect) SetTargetHead(http.Header, balsamproxy.TargetHead) {}

func (stubDialect) RemoveResponseID(http.Header) {}

func (stubDialect) ParseResponseMetadata(_ int, header http.Header) balsamproxy.ResponseMetadata {
	return balsamproxy.ResponseMetadata{RequestID: balsamproxy.RequestID(header.Get("Id"))}
}

var scriptedTarget = balsamproxy.Target{
	ID: "i-1", Service: "s1", Address: "127.0.0.1:1", Slots: 4, Connections: 4, State: balsamproxy.TargetReady,
}

func sendByLocal(t *testing.T, pool *connectionPool, call balsamproxy.Call) (*balsamproxy.Response, error) {
	t.Helper()
	local := &Local{
		Clock: balsamproxy.SystemClock{}, Dialect: stubDialect{}, Log: zerolog.Nop(), Changed: func() {}, Record: func() {},
		Bodies: memory.NewBudget(1<<20, 1<<20), connections: connectionPool{dialer: pool.dialer},
	}
	assert.NilError(t, local.Announce(balsamproxy.Announcement{Target: scriptedTarget, Born: 1, Sequence: 1}))
	return local.Forward(t.Context(), call)
}

func sendByForwarder(t *testing.T, pool *connectionPool, call balsamproxy.Call) (*balsamproxy.Response, error) {
	t.Helper()
	forwarder := &Forwarder{
		Clock: balsamproxy.SystemClock{}, Parents: &inflight.Table{}, NewSpan: func() balsamproxy.SpanID { return "span" },
		Changed: func() {}, connections: connectionPool{dialer: pool.dialer},
	}
	forwarder.Announce(scriptedTarget)
	return forwarder.Forward(t.Context(), call)
}
