package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"balsamproxy/core/memory"
	"balsamproxy/io/decoding"
	"balsamproxy/io/eviction"
)

// writeTimeout is the time limit for one write to a caller that does not read.
const writeTimeout = 10 * time.Second

// conn is a connection of a caller that may be evicted.
type conn struct {
	net.Conn
	connections *connections
	overhead    *memory.Charge
	// charges are the memory of the requests in progress.
	charges memory.Charges
	// receiving is the number of bodies that are being read. reading and writing are how
	// far the caller lags with them and with reading what was written.
	receiving atomic.Int32
	// receivingSince is when the last body began, in Unix nanoseconds.
	receivingSince   atomic.Int64
	reading, writing memory.Lag
	turn             decoding.Turn

	mutex sync.Mutex
	state http.ConnState
	// since is when the state began.
	since time.Time
	// closed is set when the connection is evicted, ended is closed when it has ended.
	closed bool
	ended  chan struct{}
}

var _ memory.Holder = (*conn)(nil)

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	conn.turn.End()
	conn.reading.Begin(time.Now())
	count, err := conn.Conn.Read(buffer)
	conn.reading.End(time.Now(), 0)
	if err == nil {
		conn.turn.Begin(count)
	}
	return count, err
}

// Write implements net.Conn.
func (conn *conn) Write(data []byte) (int, error) {
	now := time.Now()
	_ = conn.SetWriteDeadline(now.Add(writeTimeout))
	conn.writing.Begin(now)
	count, err := conn.Conn.Write(data)
	conn.writing.End(time.Now(), count)
	return count, err
}

// CloseWrite closes the sending side, so that the caller gets a last response although it
// still sends.
func (conn *conn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return conn.Close()
}

// enter begins a state of the connection.
func (conn *conn) enter(state http.ConnState, now time.Time) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.state = state
	conn.since = now
}

// Lag implements memory.Holder. Between requests, which includes the time in which a head is
// received, a connection lags from memory.MinIdle on; in a request from memory.MinLag on.
func (conn *conn) Lag(now time.Time) time.Duration {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closed {
		return 0
	}
	if conn.state != http.StateActive {
		return memory.IdleLag(conn.since, now)
	}
	lag := conn.writing.At(now)
	if conn.receiving.Load() > 0 {
		lag = max(lag, conn.reading.At(now))
	}
	if lag < memory.MinLag {
		return 0
	}
	return lag
}

// receivingFor returns for how many seconds a body has been coming, zero if it is less than
// longBody or none is being read.
func (conn *conn) receivingFor(now time.Time) float64 {
	since := now.Sub(time.Unix(0, conn.receivingSince.Load()))
	if conn.receiving.Load() == 0 || since < longBody {
		return 0
	}
	return since.Seconds()
}

// Held implements memory.Holder.
func (conn *conn) Held(shortage memory.Shortage) int64 {
	if shortage == memory.ShortOfConnections {
		return 1
	}
	return conn.overhead.Held(shortage) + conn.charges.Held(shortage)
}

// Evict implements memory.Holder. It resets the connection, so that the caller cannot take a
// part of a response for the whole.
func (conn *conn) Evict(memory.Shortage) (<-chan struct{}, bool) {
	if now := time.Now(); conn.Lag(now) == 0 && conn.receivingFor(now) == 0 {
		return nil, false
	}
	conn.mutex.Lock()
	idle := conn.state != http.StateActive
	spared := conn.closed || idle && eviction.HasReceived(conn.Conn)
	conn.closed = conn.closed || !spared
	conn.mutex.Unlock()
	if spared {
		return nil, false
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && !idle {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	conn.connections.report("slow", conn)
	return conn.ended, true
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn returns a context with the connection of a request.
func withConn(ctx context.Context, accepted net.Conn) context.Context {
	if conn := connOf(accepted); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// connOf returns the connection below TLS, nil if it is not limited.
func connOf(accepted net.Conn) *conn {
	if wrapped, ok := accepted.(interface{ NetConn() net.Conn }); ok {
		accepted = wrapped.NetConn()
	}
	limited, _ := accepted.(*conn)
	return limited
}
