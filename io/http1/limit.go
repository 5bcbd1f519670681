package http1

import (
	"sync/atomic"
	"time"
)

// counts are the events that limits of memory and connections cause.
type counts struct {
	refusedBodies, abandonedBodies, closedConnections atomic.Int64
}

// Counts are the numbers of such events since the start of a server.
type Counts struct {
	// RefusedBodies could not be held, AbandonedBodies made no progress while there was
	// no memory for others.
	RefusedBodies, AbandonedBodies int64
	// ClosedConnections were closed because there were too many.
	ClosedConnections int64
}

// Counts returns the events since the start of the server.
func (server *Server) Counts() Counts {
	return Counts{
		RefusedBodies:     server.counts.refusedBodies.Load(),
		AbandonedBodies:   server.counts.abandonedBodies.Load(),
		ClosedConnections: server.counts.closedConnections.Load(),
	}
}

// Connections returns the number of open connections.
func (server *Server) Connections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.connections)
}

// makeRoomLocked closes a connection if there are too many for another one. It returns
// false if none could be closed.
func (server *Server) makeRoomLocked() bool {
	limit := server.MaxConnections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	if len(server.connections) < limit {
		return true
	}
	server.counts.closedConnections.Add(1)
	return server.evictLocked(limit, (*connection).idleFor, (*connection).evictIdle) ||
		server.evictLocked(limit, (*connection).stalledFor, (*connection).evictStalled)
}

// evictLocked closes the connection with the longest age, if it is above zero. One that
// goes on meanwhile is passed over in favour of the next one.
func (server *Server) evictLocked(tries int, age func(*connection, time.Time) time.Duration, evict func(*connection) bool) bool {
	now := time.Now()
	passed := connectionSet{}
	for range tries {
		var oldest *connection
		longest := time.Duration(0)
		for candidate := range server.connections {
			if _, skip := passed[candidate]; skip {
				continue
			}
			if candidateAge := age(candidate, now); candidateAge > longest {
				oldest, longest = candidate, candidateAge
			}
		}
		if oldest == nil {
			return false
		}
		if evict(oldest) {
			delete(server.connections, oldest)
			return true
		}
		passed[oldest] = struct{}{}
	}
	return false
}

// receiving is the state of the request that a connection reads.
const (
	notReceiving int32 = iota
	receiving
	evicted
)

// idleFor returns how long no request has been in flight, zero if one is.
func (connection *connection) idleFor(now time.Time) time.Duration {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	if connection.inFlight.Load() != 0 {
		return 0
	}
	return max(now.Sub(connection.idleSince), 1)
}

// evictIdle closes the connection unless a request has begun.
func (connection *connection) evictIdle() bool {
	connection.idleMutex.Lock()
	defer connection.idleMutex.Unlock()
	if !connection.inFlight.CompareAndSwap(0, closedAfterLast) {
		return false
	}
	_ = connection.conn.Close()
	return true
}

// stalledFor returns how long the request that is being received has made no progress,
// zero if there is none, if it is not stalled or if others are in flight.
func (connection *connection) stalledFor(now time.Time) time.Duration {
	if connection.receiving.Load() != receiving || connection.inFlight.Load() != 1 {
		return 0
	}
	stalled := now.Sub(time.Unix(0, connection.limited.progressAt.Load()))
	if stalled < stalledAfter {
		return 0
	}
	return stalled
}

// evictStalled closes the connection unless its request has been received, so that
// nothing of it has reached a target.
func (connection *connection) evictStalled() bool {
	if !connection.receiving.CompareAndSwap(receiving, evicted) {
		return false
	}
	_ = connection.conn.Close()
	return true
}

// endReceiving reports whether the connection is still open after a request has been
// received.
func (connection *connection) endReceiving() bool {
	return connection.receiving.CompareAndSwap(receiving, notReceiving)
}
