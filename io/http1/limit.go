package http1

import (
	"maps"
	"net"
	"sync/atomic"
	"time"

	"balsamproxy/core/memory"
	"balsamproxy/io/eviction"
)

const (
	// acceptTimeout is how long a new connection waits for another one to lag or to
	// become idle if there are too many. Those behind it wait in the kernel meanwhile.
	acceptTimeout = 100 * time.Millisecond
	// acceptPollInterval is how often that is looked at.
	acceptPollInterval = 5 * time.Millisecond
	// longRequest is how long a request must have been coming to be given up for a new
	// connection although it keeps up.
	longRequest = time.Second
	// evictTries bounds how many connections are passed over at a time.
	evictTries = 16
	// requestBytes is the memory of a request in flight for its buffers and stacks.
	requestBytes = 24 << 10
)

// Eviction is what was given up because there was too little room.
type Eviction string

// Evictions.
const (
	// EvictedIdle is a connection without a request in flight.
	EvictedIdle Eviction = "idle"
	// EvictedReceiving is a connection whose request came too slowly.
	EvictedReceiving Eviction = "slow-request"
	// EvictedAnswer is a connection whose caller reads too slowly.
	EvictedAnswer Eviction = "slow-reader"
	// EvictedNew is a new connection, as no other one could be spared.
	EvictedNew Eviction = "no-room"
	// EvictedBody is a request that was refused, as there was no memory for it.
	EvictedBody Eviction = "no-memory"
)

// counts are the events that limits of memory and connections cause.
type counts struct {
	refusedBodies, abandonedBodies, abandonedAnswers, closedConnections atomic.Int64
}

// Counts are the numbers of such events since the start of a server.
type Counts struct {
	// RefusedBodies could not be held, AbandonedBodies came too slowly while there was
	// no memory for others.
	RefusedBodies, AbandonedBodies int64
	// AbandonedAnswers were read too slowly while there was no room for others.
	AbandonedAnswers int64
	// ClosedConnections were closed because there were too many.
	ClosedConnections int64
}

// Counts returns the events since the start of the server.
func (server *Server) Counts() Counts {
	return Counts{
		RefusedBodies:     server.counts.refusedBodies.Load(),
		AbandonedBodies:   server.counts.abandonedBodies.Load(),
		AbandonedAnswers:  server.counts.abandonedAnswers.Load(),
		ClosedConnections: server.counts.closedConnections.Load(),
	}
}

// Connections returns the number of open connections.
func (server *Server) Connections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.connections)
}

// reportEviction tells the owner of the server what was given up.
func (server *Server) reportEviction(reason Eviction, conn net.Conn) {
	if server.OnEvict != nil {
		server.OnEvict(reason, conn.RemoteAddr())
	}
}

// add adds a connection. It waits for room, and returns false if there is none.
func (server *Server) add(connection *connection) bool {
	for end := time.Now().Add(acceptTimeout); ; {
		added, wait := server.tryAdd(connection)
		if added {
			return true
		}
		if server.draining.Load() || time.Now().After(end) {
			server.counts.closedConnections.Add(1)
			server.reportEviction(EvictedNew, connection.conn)
			return false
		}
		time.Sleep(wait)
	}
}

// tryAdd adds a connection, if need be instead of another one. Otherwise it returns how long
// to wait before the next try.
func (server *Server) tryAdd(connection *connection) (bool, time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	now := time.Now()
	limit := server.MaxConnections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	if len(server.connections) >= limit && !server.evictLocked(now) {
		return false, server.pace.Wait(now, acceptPollInterval)
	}
	if server.connections == nil {
		server.connections = connectionSet{}
	}
	server.connections[connection] = struct{}{}
	if !server.closeIdleAt.IsZero() {
		connection.closeIdle(server.closeIdleAt)
	}
	return true, 0
}

// evictLocked closes the connection whose caller lags most or, if none lags, the one whose
// request has been coming for the longest time. One that goes on meanwhile is passed over
// in favour of the next one. It returns false if none can be spared.
func (server *Server) evictLocked(now time.Time) bool {
	if !server.pace.Allows(now) {
		return false
	}
	evict := func(connection *connection) bool {
		_, evicted := connection.Evict(memory.ShortOfConnections)
		return evicted
	}
	if server.evictCostliestLocked(memory.Cost[*connection](memory.ShortOfConnections, now), evict) {
		server.pace.Evicted(now, memory.MinLag, len(server.connections)+1)
		return true
	}
	evicted := server.evictCostliestLocked(
		func(connection *connection) float64 { return connection.receivingFor(now) },
		func(connection *connection) bool {
			_, evicted := connection.evictReceiving(memory.ShortOfConnections)
			return evicted
		})
	if evicted {
		server.pace.Evicted(now, longRequest, len(server.connections)+1)
	}
	return evicted
}

func (server *Server) evictCostliestLocked(cost func(*connection) float64, evict func(*connection) bool) bool {
	passed := map[memory.Holder]bool{}
	for len(passed) < evictTries {
		costliest, found := memory.Costliest(maps.Keys(server.connections), passed, cost)
		if !found {
			return false
		}
		if evict(costliest) {
			server.counts.closedConnections.Add(1)
			delete(server.connections, costliest)
			return true
		}
		passed[costliest] = true
	}
	return false
}

// chargeHead takes memory for a header that is being received, if need be from connections
// that lag.
func (connection *connection) chargeHead(bytes int64) bool {
	return connection.server.reclaim(func() memory.Shortage { return connection.overhead.GrowHead(bytes) })
}

// charge takes the memory that a request needs besides its bodies. A request behind others
// waits until they have been answered, if need be; the first one may take it from connections
// that lag. It returns false if there is too little.
func (connection *connection) charge(next, last *pending) bool {
	budget := connection.server.budget()
	enough := func() memory.Shortage {
		charge, shortage := budget.Charge(requestBytes, 0)
		next.charge = charge
		return shortage
	}
	if last != nil && (connection.queueFull() || !budget.Requesting.Empty() || enough() != memory.NoShortage) {
		<-last.done
	}
	if next.charge == nil && !connection.server.reclaim(enough) {
		return false
	}
	connection.charges.Add(next.charge)
	return true
}

// queueFull reports whether too many requests of the connection are in flight to read another
// one. Long queues leave half of the memory for requests to other callers.
func (connection *connection) queueFull() bool {
	inFlight := connection.inFlight.Load()
	return inFlight > pipelineMax || inFlight > runningMax && connection.server.budget().OverheadHalfUsed()
}

// receiving is the state of the request that a connection reads.
const (
	notReceiving int32 = iota
	receiving
	evicted
)

var _ memory.Holder = (*connection)(nil)

// Lag implements memory.Holder. An idle connection lags from memory.MinIdle on, one that is
// in use from memory.MinLag on.
func (connection *connection) Lag(now time.Time) time.Duration {
	if connection.closed.Load() {
		return 0
	}
	lag := max(connection.receivingLag(now), connection.writing.At(now))
	if lag >= memory.MinLag {
		return lag
	}
	return connection.idleFor(now)
}

// idleFor returns how far the connection lags without a request, zero if one is in flight.
func (connection *connection) idleFor(now time.Time) time.Duration {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	if connection.inFlight.Load() != 0 {
		return 0
	}
	return memory.IdleLag(connection.idleSince, now)
}

// receivingLag returns how far the request that is being received lags, zero if there is
// none or if others are in flight, which may have reached a target.
func (connection *connection) receivingLag(now time.Time) time.Duration {
	if connection.receiving.Load() != receiving || connection.inFlight.Load() != 1 {
		return 0
	}
	if reception := connection.reception.Load(); reception != nil && reception.abandoned.Load() {
		return 0
	}
	return connection.reading.At(now)
}

// receivingFor returns for how many seconds a request has been coming, zero if it is less than
// longRequest, or if others are in flight.
func (connection *connection) receivingFor(now time.Time) float64 {
	if connection.receiving.Load() != receiving || connection.inFlight.Load() != 1 {
		return 0
	}
	since := now.Sub(time.Unix(0, connection.receivingSince.Load()))
	if since < longRequest {
		return 0
	}
	return since.Seconds()
}

// Held implements memory.Holder.
func (connection *connection) Held(shortage memory.Shortage) int64 {
	if shortage == memory.ShortOfConnections {
		return 1
	}
	held := connection.overhead.Held(shortage) + connection.charges.Held(shortage)
	if shortage != memory.ShortOfBodies {
		return held
	}
	if reception := connection.reception.Load(); reception != nil {
		held += reception.body.Held()
	}
	return held + connection.answerBytes.Load()
}

// Evict implements memory.Holder.
func (connection *connection) Evict(shortage memory.Shortage) (<-chan struct{}, bool) {
	now := time.Now()
	switch {
	case connection.writing.At(now) >= memory.MinLag:
		return connection.evictAnswer()
	case connection.receivingLag(now) >= memory.MinLag:
		return connection.evictReceiving(shortage)
	case connection.idleFor(now) > 0:
		return connection.evictIdle()
	default:
		return nil, false
	}
}

// evictIdle closes the connection unless a request has begun.
func (connection *connection) evictIdle() (<-chan struct{}, bool) {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	if eviction.HasReceived(connection.conn) || !connection.inFlight.CompareAndSwap(0, closedAfterLast) {
		return nil, false
	}
	return connection.close(EvictedIdle)
}

// evictReceiving gives up the request that is being received, unless it has been received
// meanwhile, so that nothing of it has reached a target. If its body is to be given up, the
// caller is told so.
func (connection *connection) evictReceiving(shortage memory.Shortage) (<-chan struct{}, bool) {
	if reception := connection.reception.Load(); reception != nil && shortage == memory.ShortOfBodies {
		if reception.abandoned.Swap(true) {
			return nil, false
		}
		_ = connection.conn.SetReadDeadline(time.Unix(1, 0))
		return reception.released, true
	}
	if !connection.receiving.CompareAndSwap(receiving, evicted) {
		return nil, false
	}
	return connection.close(EvictedReceiving)
}

// evictAnswer resets the connection, so that the caller cannot take the part of the
// response that it has read for the whole.
func (connection *connection) evictAnswer() (<-chan struct{}, bool) {
	if tcp, ok := connection.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	ended, closed := connection.close(EvictedAnswer)
	if closed {
		connection.server.counts.abandonedAnswers.Add(1)
	}
	return ended, closed
}

// close closes the connection. It returns false if it has been closed already.
func (connection *connection) close(reason Eviction) (<-chan struct{}, bool) {
	if connection.closed.Swap(true) {
		return nil, false
	}
	_ = connection.conn.Close()
	connection.server.reportEviction(reason, connection.conn)
	return connection.ended, true
}

// endReceiving reports whether the connection is still open after a request has been
// received.
func (connection *connection) endReceiving() bool {
	return connection.receiving.CompareAndSwap(receiving, notReceiving)
}
