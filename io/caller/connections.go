package caller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the state of the connections of an HTTP server, to find out
// when none of them has a request in progress or is waiting for its first one.
type connections struct {
	mutex      sync.Mutex
	states     map[net.Conn]http.ConnState
	lastChange time.Time
}

// track is the ConnState hook of an HTTP server.
func (connections *connections) track(conn net.Conn, state http.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connections.states == nil {
		connections.states = map[net.Conn]http.ConnState{}
	}
	connections.lastChange = time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(connections.states, conn)
		return
	}
	connections.states[conn] = state
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
