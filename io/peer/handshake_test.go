package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

// handshakeMemoryMax is what a dial may read. Most of it is what the kernel buffers.
const handshakeMemoryMax = 16 << 20

// TestEndlessHandshake guards against an address of a former host at which another
// server sends a head without end: the daemon would keep all of it until the dial times
// out.
func TestEndlessHandshake(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	cases := map[string]struct{ start, part string }{
		"status line":  {"HTTP/1.1 101 ", long},
		"header line":  {"HTTP/1.1 101 Switching Protocols\r\nX-Long: ", long},
		"header lines": {"HTTP/1.1 101 Switching Protocols\r\n", "X-Long: " + strings.Repeat("x", 1000) + "\r\n"},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", long},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { assert.Check(t, listener.Close()) }()
			var written atomic.Int64
			served := task.Start(t.Context(), func(context.Context) error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = conn.Close() }()
				for _, err = io.WriteString(conn, test.start); err == nil; {
					var count int
					count, err = io.WriteString(conn, test.part)
					written.Add(int64(count))
				}
				return nil
			})
			pool := &peer.Pool{Host: "here", Directory: directory{
				"there": {Host: "there", PeerAddress: listener.Addr().String()},
			}}
			ctx, cancel := context.WithCancel(t.Context())
			running := task.Start(ctx, pool.Run)
			pool.WaitRunning()
			assert.ErrorIs(t, pool.Dial(ctx, balsamproxy.HostID("there")), peer.ErrUnreachable)
			assert.NilError(t, <-served)
			assert.Assert(t, written.Load() <= handshakeMemoryMax, "%d bytes were read", written.Load())
			cancel()
			assert.Assert(t, errors.Is(<-running, context.Canceled))
		})
	}
}
