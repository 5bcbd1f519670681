package http1

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/memory"
)

// TestCloseIdleOrBegin guards against losing a request that arrives while the
// daemon closes idle connections: either the connection stays open for the
// response, or the request is not read.
func TestCloseIdleOrBegin(t *testing.T) {
	cases := map[string]struct {
		received, closeFirst bool
		want                 error
	}{
		"request begun first":    {received: true},
		"request received first": {received: true, closeFirst: true},
		"close first":            {closeFirst: true, want: errClosing},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			serverConn, clientConn := pipe(t)
			connection := newConnection(&Server{Handler: stubHandler{}}, serverConn)
			if test.received {
				_, err := io.WriteString(clientConn, "G")
				assert.NilError(t, err)
			}
			if test.closeFirst {
				connection.closeIdle(time.Now().Add(-time.Second))
			} else {
				assert.Assert(t, connection.beginRequest())
				connection.closeIdle(time.Now().Add(-time.Second))
			}
			if !test.closeFirst {
				// A deadline of the idle connection would cut the request off.
				_, err := connection.reader.Peek(1)
				assert.NilError(t, err)
			}
			err := connection.awaitRequest()
			assert.Equal(t, err, test.want)
			assert.Assert(t, !connection.closing.Load())
			if err == nil {
				assert.Assert(t, connection.beginRequest())
			}
		})
	}
}

// TestNoRequestAfterTheLastResponse guards against reading a request behind the response
// that closes its connection: the caller would get no response to it.
func TestNoRequestAfterTheLastResponse(t *testing.T) {
	serverConn, _ := pipe(t)
	connection := newConnection(&Server{Handler: stubHandler{}}, serverConn)
	assert.Assert(t, connection.beginRequest())
	assert.Assert(t, connection.endAfterLast())
	assert.Assert(t, !connection.beginRequest())
}

// pipe returns the two ends of a connection whose kernel buffers what is written.
func pipe(t *testing.T) (server, client net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	client, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, client.Close())
		assert.NilError(t, server.Close())
	})
	return server, client
}

// stubHandler is a Handler that only has limits.
type stubHandler struct{ Handler }

func (stubHandler) Limits() Limits { return Limits{} }

// TestNewConnectionIsSpared guards against giving up a connection before its first request,
// or the next one, could come.
func TestNewConnectionIsSpared(t *testing.T) {
	serverConn, _ := pipe(t)
	connection := newConnection(&Server{Handler: stubHandler{}}, serverConn)
	checkSpared := func() {
		t.Helper()
		since := connection.idleSince
		assert.Equal(t, connection.Lag(since.Add(memory.MinIdle-1)), time.Duration(0))
		assert.Equal(t, connection.Lag(since.Add(memory.MinIdle)), memory.MinIdle)
	}
	checkSpared()
	assert.Assert(t, connection.beginRequest())
	assert.Equal(t, connection.Lag(time.Now().Add(time.Second)), time.Duration(0))
	connection.endRequest()
	checkSpared()
}

// TestNoStartAfterTheEnd guards against a request that begins after its caller has left, when the
// requests in front give up their positions for the same reason.
func TestNoStartAfterTheEnd(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		serverConn, _ := pipe(t)
		connection := newConnection(&Server{Handler: stubHandler{}}, serverConn)
		front := &pending{done: make(chan struct{})}
		front.position = &Position{connection: connection, own: front, passed: make(chan struct{})}
		front.position.pass()
		charge, _ := connection.server.budget().Charge(requestBytes, 0)
		next := &pending{charge: charge}
		next.position = &Position{connection: connection, own: next, ahead: front, passed: make(chan struct{})}
		refusal := next.position.Wait(ended, true)
		assert.Assert(t, refusal != nil && refusal.Outcome == balsamproxy.OutcomeNotRun)
	}
}
