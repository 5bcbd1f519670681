package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/memory"
	"balsamproxy/io/http1"
)

// limitedHandler allows longer bodies than handler.
type limitedHandler struct{ *handler }

func (limitedHandler) Limits() http1.Limits {
	return http1.Limits{BodyBytes: 1 << 20, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
}

// serveLimited starts a server with a memory of 1 MiB for bodies.
func serveLimited(t *testing.T, release map[string]chan struct{}) (*http1.Server, *handler, net.Listener) {
	t.Helper()
	listener := listen(t)
	server, handler := prepare(release)
	server.Bodies = memory.NewBudget(1<<20, 1<<20)
	server.Handler = limitedHandler{handler}
	run(t, server, listener)
	return server, handler, listener
}

// post sends a request with a declared length and a part of its body.
func post(t *testing.T, conn net.Conn, path string, length, sent int) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent))
	assert.NilError(t, err)
}

// await waits until a condition holds.
func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timeout")
	}
}

// TestBodiesAreHeldUntilTheResponse guards against bodies that are no longer counted
// once they have been received, and against memory that stays counted.
func TestBodiesAreHeldUntilTheResponse(t *testing.T) {
	release := make(chan struct{})
	server, handler, listener := serveLimited(t, map[string]chan struct{}{"/held": release})
	held := dial(t, listener)
	post(t, held, "/held", 700_000, 700_000)
	<-handler.started
	refused := dial(t, listener)
	post(t, refused, "/large", 400_000, 0)
	assert.Equal(t, read(t, bufio.NewReader(refused)).status, 503)
	small := dial(t, listener)
	post(t, small, "/small", 1000, 1000)
	assert.Equal(t, read(t, bufio.NewReader(small)).status, 200)
	close(release)
	assert.Equal(t, read(t, bufio.NewReader(held)).status, 200)
	assert.Equal(t, server.Bodies.Usage(), memory.Usage{})
	assert.Equal(t, server.Counts(), http1.Counts{RefusedBodies: 1})
}

// TestStalledBodyGivesWay guards against bodies without progress that keep others from
// being received for as long as they may take.
func TestStalledBodyGivesWay(t *testing.T) {
	server, _, listener := serveLimited(t, nil)
	stalled := dial(t, listener)
	post(t, stalled, "/stalled", 700_000, 600_000)
	await(t, func() bool { return server.Bodies.Usage().Requests > 600_000 })
	time.Sleep(1100 * time.Millisecond)
	other := dial(t, listener)
	post(t, other, "/other", 700_000, 700_000)
	assert.Equal(t, read(t, bufio.NewReader(other)).status, 200)
	got := read(t, bufio.NewReader(stalled))
	assert.Equal(t, got.status, 408)
	assert.Assert(t, got.last)
	assert.Equal(t, server.Counts(), http1.Counts{AbandonedBodies: 1})
}

// TestTooManyConnections guards against connections without bound, and against closing
// one that is in use while another one can be spared.
func TestTooManyConnections(t *testing.T) {
	const partialHead = "GET /a HT"
	cases := map[string]struct {
		// sent is what each connection sends before the one too many.
		sent  []string
		pause time.Duration
		// closed is the index of the connection that is closed.
		closed int
	}{
		"longest idle":       {[]string{partialHead, "", ""}, 0, 1},
		"stalled":            {[]string{partialHead, partialHead, partialHead}, 1100 * time.Millisecond, 0},
		"none can be spared": {[]string{partialHead, partialHead, partialHead}, 0, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			server, _ := prepare(nil)
			server.MaxConnections = len(test.sent)
			run(t, server, listener)
			conns := []net.Conn{}
			for index, sent := range append(test.sent, "") {
				if index == len(test.sent) {
					time.Sleep(test.pause)
				}
				conn := dial(t, listener)
				_, err := io.WriteString(conn, sent)
				assert.NilError(t, err)
				conns = append(conns, conn)
				await(t, func() bool { return server.Connections() == min(index+1, len(test.sent)) })
				// The server reads what was sent.
				time.Sleep(20 * time.Millisecond)
			}
			for index, conn := range conns {
				_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				timeout, open := err.(net.Error) //nolint:errorlint // the connection returns it directly
				open = open && timeout.Timeout()
				assert.Equal(t, open, index != test.closed, "connection %d: %v", index, err)
			}
			assert.Equal(t, server.Counts(), http1.Counts{ClosedConnections: 1})
		})
	}
}
