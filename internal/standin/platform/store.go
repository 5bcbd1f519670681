// Package platform is an in-memory fake of the platform's store for tests and
// the demo. It implements the part of the etcd v3 JSON protocol that Balsamproxy
// uses, and can inject faults.
package platform

import (
	"sort"
	"strings"
	"sync"
	"time"
)

type entry struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	lease       int64
}

type event struct {
	Type  string `json:"type,omitempty"`
	Entry entry  `json:"kv"`
}

type lease struct {
	seconds int64
	expires time.Time
}

// state is the content of the store. It is safe for concurrent use.
type state struct {
	mutex     sync.Mutex
	revision  int64
	nextLease int64
	entries   map[string]entry
	leases    map[int64]lease
	events    []event
	changed   chan struct{}
}

func newState() *state {
	return &state{
		revision: 1,
		entries:  map[string]entry{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
	}
}

// rangeOf returns the entries in [key, end), or only that of key if end is
// empty, and the current revision.
func (state *state) rangeOf(key, end string) ([]entry, int64) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.rangeLocked(key, end), state.revision
}

func (state *state) rangeLocked(key, end string) []entry {
	matching := []entry{}
	for name, entry := range state.entries {
		if name == key || (end != "" && name >= key && name < end) {
			matching = append(matching, entry)
		}
	}
	sort.Slice(matching, func(i, j int) bool { return string(matching[i].Key) < string(matching[j].Key) })
	return matching
}

// swap stores a value if the key has the expected modification revision, zero
// for a key that does not exist. Otherwise it returns the current entry.
// leaseKnown is false if the lease does not exist.
func (state *state) swap(key, value string, expected, leaseID int64) (succeeded bool, current []entry, revision int64, leaseKnown bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if _, known := state.leases[leaseID]; leaseID != 0 && !known {
		return false, nil, state.revision, false
	}
	if state.entries[key].ModRevision != expected {
		return false, state.rangeLocked(key, ""), state.revision, true
	}
	state.revision++
	changed := entry{Key: []byte(key), Value: []byte(value), ModRevision: state.revision, lease: leaseID}
	state.entries[key] = changed
	state.publish(event{Entry: changed})
	return true, nil, state.revision, true
}

func (state *state) publish(event event) {
	state.events = append(state.events, event)
	close(state.changed)
	state.changed = make(chan struct{})
}

func (state *state) remove(key string) {
	state.revision++
	delete(state.entries, key)
	state.publish(event{Type: "DELETE", Entry: entry{Key: []byte(key), ModRevision: state.revision}})
}

func (state *state) grant(seconds int64, now time.Time) int64 {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.nextLease++
	state.leases[state.nextLease] = lease{seconds: seconds, expires: now.Add(time.Duration(seconds) * time.Second)}
	return state.nextLease
}

// keepAlive renews a lease and returns its time to live in seconds, zero if the
// lease does not exist.
func (state *state) keepAlive(id int64, now time.Time) int64 {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	renewed, known := state.leases[id]
	if !known {
		return 0
	}
	renewed.expires = now.Add(time.Duration(renewed.seconds) * time.Second)
	state.leases[id] = renewed
	return renewed.seconds
}

func (state *state) revoke(id int64) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.revokeLocked(id)
}

func (state *state) revokeLocked(id int64) {
	delete(state.leases, id)
	for key, entry := range state.entries {
		if entry.lease == id {
			state.remove(key)
		}
	}
}

// expire ends the leases that have expired.
func (state *state) expire(now time.Time) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	for id, lease := range state.leases {
		if now.After(lease.expires) {
			state.revokeLocked(id)
		}
	}
}

// eventsSince returns the events of a key range from a revision on, the revision
// to continue from, and a channel that is closed at the next change.
func (state *state) eventsSince(key, end string, revision int64) ([]event, int64, <-chan struct{}) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	matching := []event{}
	for _, event := range state.events {
		name := string(event.Entry.Key)
		inRange := name == key || (end != "" && strings.Compare(name, key) >= 0 && name < end)
		if inRange && event.Entry.ModRevision >= revision {
			matching = append(matching, event)
		}
	}
	return matching, state.revision + 1, state.changed
}
