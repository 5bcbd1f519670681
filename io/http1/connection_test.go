package http1

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseIdleOrBegin guards against losing a request that arrives while the
// daemon closes idle connections: either the connection stays open for the
// response, or the request is not read.
func TestCloseIdleOrBegin(t *testing.T) {
	cases := map[string]struct {
		closeFirst, closed, begun bool
	}{
		"request first": {false, false, true},
		"close first":   {true, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			serverConn, clientConn := net.Pipe()
			defer func() { assert.NilError(t, clientConn.Close()) }()
			connection := newConnection(&Server{}, serverConn)
			var closed, begun bool
			if test.closeFirst {
				closed = connection.closeIdle()
				begun = connection.beginRequest()
			} else {
				begun = connection.beginRequest()
				closed = connection.closeIdle()
			}
			assert.Equal(t, closed, test.closed)
			assert.Equal(t, begun, test.begun)
			assert.Equal(t, connection.closing.Load(), test.closed)
		})
	}
}
