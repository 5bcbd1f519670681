// Package crowd plays callers that do not behave: they hold connections, memory or processor
// time of a daemon without ending a request.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"balsamproxy/task"
)

const (
	// DribbleInterval is the time between two bytes of a caller that dribbles.
	DribbleInterval = 100 * time.Millisecond
	reconnectPause  = 20 * time.Millisecond
	// segmentBytes is the segment size of a usual network. With that of the loopback
	// network, the system buffers megabytes for each connection.
	segmentBytes  = 1460
	receiveBuffer = 4096
	// tinyChunks is how many chunks of a byte are written at once.
	tinyChunks = 1 << 16
)

// Play is what a caller does on one connection. It returns when the connection has ended,
// or is to be closed.
type Play func(ctx context.Context, conn net.Conn)

// Run plays on one connection after another, with a number of connections at a time, until
// ctx ends.
func Run(ctx context.Context, address string, size int, play Play) error {
	dialer := net.Dialer{Control: limitBuffers}
	var callers task.Group
	for range size {
		callers.Start(ctx, func(ctx context.Context) error {
			for {
				if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					play(ctx, conn)
					stop()
					_ = conn.Close()
				}
				if !task.Sleep(ctx, reconnectPause) {
					return nil
				}
			}
		}, nil)
	}
	<-callers.Ended()
	return nil
}

// limitBuffers keeps the system from holding much of what a caller does not read.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}

// Chunks returns chunks of a body.
func Chunks(count, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), count)
}

// Dribble sends a text and then more of it now and then, until the connection is closed.
func Dribble(begin, more string) Play {
	return func(ctx context.Context, conn net.Conn) {
		_, err := io.WriteString(conn, begin)
		for err == nil && task.Sleep(ctx, DribbleInterval) {
			_, err = io.WriteString(conn, more)
		}
	}
}

// Reconnect sends a text and closes the connection soon afterwards.
func Reconnect(begin string) Play {
	return func(ctx context.Context, conn net.Conn) {
		_, _ = io.WriteString(conn, begin)
		task.Sleep(ctx, DribbleInterval)
	}
}

// TinyChunks sends the head of a request with a chunked body, and then chunks of a byte as
// fast as the daemon takes them.
func TinyChunks(head string) Play {
	tiny := Chunks(tinyChunks, 1)
	return func(_ context.Context, conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for err == nil {
			_, err = io.WriteString(conn, tiny)
		}
	}
}

// Unread sends requests and reads nothing.
func Unread(requests func() []string) Play {
	return func(ctx context.Context, conn net.Conn) {
		for _, request := range requests() {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
}

// Unended sends the beginning of a request and then nothing.
func Unended(begin string) Play {
	return func(ctx context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, begin); err == nil {
			<-ctx.Done()
		}
	}
}
