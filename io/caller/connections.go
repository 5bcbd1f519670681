package caller

import (
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"balsamproxy/core/memory"
	"balsamproxy/io/decoding"
)

const (
	// acceptTimeout is how long a new connection waits for another one to lag if there
	// are too many.
	acceptTimeout      = 100 * time.Millisecond
	acceptPollInterval = 5 * time.Millisecond
	// longBody is how long a body must have been coming to be given up for a new connection
	// although it keeps up.
	longBody = time.Second
	// evictTries bounds how many connections are passed over at a time.
	evictTries = 16
)

// connections are the connections of an HTTP server.
type connections struct {
	// memory, most and onEvict are set before the first connection.
	memory  *memory.Budget
	most    int
	onEvict func(reason string, caller net.Addr)
	turns   decoding.Turns

	mutex sync.Mutex
	// states are the states of all connections, to find out when none of them has a
	// request in progress or is waiting for its first one.
	states     map[net.Conn]http.ConnState
	lastChange time.Time
	pace       memory.Pace
	// open are the connections below TLS.
	open map[*conn]struct{}
}

// track is the ConnState hook of an HTTP server.
func (connections *connections) track(accepted net.Conn, state http.ConnState) {
	now := time.Now()
	limited := connOf(accepted)
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connections.states == nil {
		connections.states = map[net.Conn]http.ConnState{}
	}
	connections.lastChange = now
	if state == http.StateClosed || state == http.StateHijacked {
		delete(connections.states, accepted)
		if limited != nil {
			connections.removeLocked(limited)
		}
		return
	}
	connections.states[accepted] = state
	if limited != nil {
		limited.enter(state, now)
	}
}

// idle reports whether no connection is new or active and none has changed its
// state for a period.
func (connections *connections) idle(now time.Time, period time.Duration) bool {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, state := range connections.states {
		if state != http.StateIdle {
			return false
		}
	}
	return now.Sub(connections.lastChange) >= period
}

func (connections *connections) removeLocked(removed *conn) {
	delete(connections.open, removed)
	connections.memory.Holders.Remove(removed)
	removed.overhead.Release()
	close(removed.ended)
}

// report tells the owner of the handler which caller was evicted or refused.
func (connections *connections) report(reason string, caller net.Conn) {
	if connections.onEvict != nil {
		connections.onEvict(reason, caller.RemoteAddr())
	}
}

// limitedListener is a listener whose connections are bounded.
type limitedListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (listener limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, err := listener.connections.add(accepted); err == nil {
			return conn, nil
		}
		_ = accepted.Close()
	}
}

var errNoRoom = errors.New("caller: too many connections")

// add adds a connection. It waits for room and fails if there is none.
func (connections *connections) add(accepted net.Conn) (*conn, error) {
	added := &conn{Conn: accepted, connections: connections, ended: make(chan struct{})}
	added.turn.Turns = &connections.turns
	for end := time.Now().Add(acceptTimeout); ; {
		done, wait := connections.tryAdd(added)
		if done {
			return added, nil
		}
		if time.Now().After(end) {
			connections.report("no-room", accepted)
			return nil, errNoRoom
		}
		time.Sleep(wait)
	}
}

// tryAdd adds a connection, if need be instead of another one. Otherwise it returns how long
// to wait before the next try.
func (connections *connections) tryAdd(added *conn) (bool, time.Duration) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	now := time.Now()
	if len(connections.open) >= connections.most && !connections.evictLocked(now) {
		return false, connections.pace.Wait(now, acceptPollInterval)
	}
	if connections.open == nil {
		connections.open = map[*conn]struct{}{}
	}
	added.enter(http.StateNew, now)
	added.overhead = connections.memory.ChargeConnection(memory.ConnectionBytes)
	connections.memory.Holders.Add(added)
	connections.open[added] = struct{}{}
	return true, 0
}

// evictLocked closes the connection whose caller lags most or, if none lags, the one whose
// body has been coming for the longest time. One that goes on meanwhile is passed over in
// favour of the next one. It returns false if none can be spared.
func (connections *connections) evictLocked(now time.Time) bool {
	if !connections.pace.Allows(now) {
		return false
	}
	if connections.evictCostliestLocked(memory.Cost[*conn](memory.ShortOfConnections, now)) {
		connections.pace.Evicted(now, memory.MinLag, connections.most)
		return true
	}
	evicted := connections.evictCostliestLocked(func(conn *conn) float64 { return conn.receivingFor(now) })
	if evicted {
		connections.pace.Evicted(now, longBody, connections.most)
	}
	return evicted
}

func (connections *connections) evictCostliestLocked(cost func(*conn) float64) bool {
	passed := map[memory.Holder]bool{}
	for len(passed) < evictTries {
		costliest, found := memory.Costliest(maps.Keys(connections.open), passed, cost)
		if !found {
			return false
		}
		if _, evicted := costliest.Evict(memory.ShortOfConnections); evicted {
			delete(connections.open, costliest)
			return true
		}
		passed[costliest] = true
	}
	return false
}

// count returns the number of open connections.
func (connections *connections) count() int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return len(connections.open)
}
