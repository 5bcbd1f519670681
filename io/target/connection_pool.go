package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"balsamproxy"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the keep-alive timeout of common servers, so
	// that a call is rarely sent on a connection that the target is closing.
	idleTimeout = 3 * time.Second
	bufferBytes = 8 << 10
	// failedMax is the number of failed attempts after which a connection is not
	// reused.
	failedMax = 64
)

// connectionPool keeps idle connections to the targets of this host. It never
// retries a request on another connection. The zero value is ready to use.
type connectionPool struct {
	mutex sync.Mutex
	// idle holds the connections per address, most recently used last.
	idle map[string][]*connection
	// dialer connects to an address; if nil, a net.Dialer with dialTimeout does.
	dialer func(ctx context.Context, address string) (net.Conn, error)
}

// connection is one connection to a target.
type connection struct {
	net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	sender  *sender
	writer  *bufio.Writer
	address string
	usedAt  time.Time
	// failed contains the requests that the target refused or failed on this
	// connection. They may be sent again, and a response to the earlier attempt that
	// the target repeats could not be told from the one to the later attempt.
	failed []balsamproxy.RequestID
}

// get returns an idle connection or dials a new one.
func (pool *connectionPool) get(ctx context.Context, address string, now time.Time) (*connection, error) {
	return pool.getFresh(ctx, address, "", now, idleTimeout)
}

// getFresh returns an idle connection that was used less than idleMax ago and on
// which the request has not failed before, or dials a new one.
func (pool *connectionPool) getFresh(
	ctx context.Context,
	address string,
	request balsamproxy.RequestID,
	now time.Time,
	idleMax time.Duration,
) (*connection, error) {
	for {
		candidate := pool.pop(address, request)
		if candidate == nil {
			return pool.dial(ctx, address)
		}
		if now.Sub(candidate.usedAt) >= idleMax && idleMax < idleTimeout {
			// Other calls may still use it. The remaining ones are older.
			pool.put(candidate)
			return pool.dial(ctx, address)
		}
		if now.Sub(candidate.usedAt) < idleTimeout && candidate.usable() {
			return candidate, nil
		}
		_ = candidate.Close()
	}
}

// pop removes and returns the connection that was used last among those on which
// the request has not failed, or nil.
func (pool *connectionPool) pop(address string, request balsamproxy.RequestID) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for index := len(idle) - 1; index >= 0; index-- {
		if candidate := idle[index]; !slices.Contains(candidate.failed, request) {
			pool.idle[address] = slices.Delete(idle, index, index+1)
			return candidate
		}
	}
	return nil
}

func (pool *connectionPool) dial(ctx context.Context, address string) (*connection, error) {
	connect := pool.dialer
	if connect == nil {
		connect = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		}
	}
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	limited := &limitedReader{Reader: conn}
	sender := &sender{conn: conn}
	return &connection{
		Conn:    conn,
		limited: limited,
		reader:  bufio.NewReaderSize(limited, bufferBytes),
		sender:  sender,
		writer:  bufio.NewWriterSize(sender, bufferBytes),
		address: address,
	}, nil
}

// usable reports whether an idle connection is open and has no unread data.
func (connection *connection) usable() bool {
	socket, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// putIdle returns a connection to the pool after use.
func (pool *connectionPool) putIdle(used *connection, now time.Time) {
	used.usedAt = now
	pool.put(used)
}

func (pool *connectionPool) put(used *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.idle == nil {
		pool.idle = map[string][]*connection{}
	}
	pool.idle[used.address] = append(pool.idle[used.address], used)
}

// closeExpired closes the connections that reached the idle timeout.
func (pool *connectionPool) closeExpired(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, idle := range pool.idle {
		first := 0
		for first < len(idle) && now.Sub(idle[first].usedAt) >= idleTimeout {
			_ = idle[first].Close()
			first++
		}
		pool.idle[address] = idle[first:]
		if len(pool.idle[address]) == 0 {
			delete(pool.idle, address)
		}
	}
}

// reusable reports whether a connection can carry another request after its
// response was read completely.
func (connection *connection) reusable(response *http.Response) bool {
	return !response.Close && connection.reader.Buffered() == 0 && len(connection.failed) < failedMax
}
