package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the time for which usual servers keep idle
	// connections, so that a call rarely meets one that is being closed.
	idleTimeout = 3 * time.Second
	bufferBytes = 8 << 10
)

// connections keeps open connections to the targets of this host. A request is
// written to one connection once and never repeated here. Its zero value works.
type connections struct {
	mutex sync.Mutex
	// idle holds the connections of each address, the last used one last.
	idle map[string][]*connection
}

// connection is one connection to a target.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	address string
	usedAt  time.Time
}

// take returns an open connection, or dials one.
func (connections *connections) take(ctx context.Context, address string, now time.Time) (*connection, error) {
	return connections.takeFresh(ctx, address, now, idleTimeout)
}

// takeFresh returns an open connection that was used less than a time ago, or
// dials one.
func (connections *connections) takeFresh(
	ctx context.Context,
	address string,
	now time.Time,
	idleMax time.Duration,
) (*connection, error) {
	for {
		kept := connections.pop(address)
		if kept == nil {
			return dial(ctx, address)
		}
		if now.Sub(kept.usedAt) >= idleMax && idleMax < idleTimeout {
			// Others may still use it; all older ones are further below.
			connections.put(kept)
			return dial(ctx, address)
		}
		if now.Sub(kept.usedAt) < idleTimeout && kept.open() {
			return kept, nil
		}
		_ = kept.Close()
	}
}

func (connections *connections) pop(address string) *connection {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	idle := connections.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	connections.idle[address] = idle[:last]
	return idle[last]
}

func dial(ctx context.Context, address string) (*connection, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:    conn,
		reader:  bufio.NewReaderSize(conn, bufferBytes),
		writer:  bufio.NewWriterSize(conn, bufferBytes),
		address: address,
	}, nil
}

// open says whether the target has neither closed an idle connection nor sent
// anything on it.
func (connection *connection) open() bool {
	socket, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keep gives a connection back for further requests.
func (connections *connections) keep(used *connection, now time.Time) {
	used.usedAt = now
	connections.put(used)
}

func (connections *connections) put(used *connection) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connections.idle == nil {
		connections.idle = map[string][]*connection{}
	}
	connections.idle[used.address] = append(connections.idle[used.address], used)
}

// expire closes the connections that have been idle for long.
func (connections *connections) expire(now time.Time) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for address, idle := range connections.idle {
		young := 0
		for young < len(idle) && now.Sub(idle[young].usedAt) >= idleTimeout {
			_ = idle[young].Close()
			young++
		}
		connections.idle[address] = idle[young:]
		if len(connections.idle[address]) == 0 {
			delete(connections.idle, address)
		}
	}
}

// reusable says whether a connection can carry another request after an answer
// that was read to its end.
func (connection *connection) reusable(response *http.Response) bool {
	return !response.Close && connection.reader.Buffered() == 0
}
