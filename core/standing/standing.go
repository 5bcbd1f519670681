// Package standing decides whether a daemon has standing: the right to admit
// keyed requests and to spend rate allowance. A daemon has it while it knows
// that it holds the latest of the shared documents: because it read their
// revisions in the store, or because more than half of the roster told it so.
package standing

import (
	"slices"
	"sync"
	"time"

	"balsamproxy"
)

// Validity is how long one confirmation holds, counted from before the
// question was sent.
const Validity = 2500 * time.Millisecond

// Basis is what a daemon's standing rests on.
type Basis string

// Kinds of basis.
const (
	BasisNone  Basis = "none"
	BasisStore Basis = "store"
	BasisPeers Basis = "peers"
)

// Standing is the state of one daemon. Its zero value has no standing.
type Standing struct {
	// Host is this host.
	Host balsamproxy.HostID

	mutex   sync.RWMutex
	held    balsamproxy.Revisions
	known   balsamproxy.Revisions
	roster  balsamproxy.Roster
	storeAt time.Time
	peersAt map[balsamproxy.HostID]time.Time
}

// SetHeld takes the revisions of the documents that the daemon has put in force,
// with the roster among them. Lower revisions change nothing.
func (standing *Standing) SetHeld(held balsamproxy.Revisions, roster balsamproxy.Roster) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	if held.Roster > standing.held.Roster {
		standing.roster = roster
	}
	standing.held = standing.held.Latest(held)
	standing.known = standing.known.Latest(standing.held)
}

// RecordStoreRead takes the revisions that a read found in the store, and the
// instant before it was sent. A read that finds less than the daemon holds
// confirms nothing: it was overtaken, or the store has lost its past.
func (standing *Standing) RecordStoreRead(sentAt time.Time, found balsamproxy.Revisions) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	standing.known = standing.known.Latest(found)
	if found.Covers(standing.held) && sentAt.After(standing.storeAt) {
		standing.storeAt = sentAt
	}
}

// RecordPeerRevisions takes the revisions that a peer holds, and the instant before it
// was asked.
func (standing *Standing) RecordPeerRevisions(sentAt time.Time, peer balsamproxy.HostID, theirs balsamproxy.Revisions) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	standing.known = standing.known.Latest(theirs)
	if standing.peersAt == nil {
		standing.peersAt = map[balsamproxy.HostID]time.Time{}
	}
	if sentAt.After(standing.peersAt[peer]) {
		standing.peersAt[peer] = sentAt
	}
}

// Basis returns what the daemon's standing rests on at an instant.
func (standing *Standing) Basis(now time.Time) Basis {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	switch {
	case !standing.held.Covers(standing.known), !slices.Contains(standing.roster.Hosts, standing.Host):
		return BasisNone
	case fresh(standing.storeAt, now):
		return BasisStore
	case Majority(standing.roster.Hosts, standing.confirmedAt(now)):
		return BasisPeers
	default:
		return BasisNone
	}
}

func fresh(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= Validity
}

func (standing *Standing) confirmedAt(now time.Time) func(balsamproxy.HostID) bool {
	return func(host balsamproxy.HostID) bool {
		return host == standing.Host || fresh(standing.peersAt[host], now)
	}
}

// Has says whether the daemon has standing at an instant.
func (standing *Standing) Has(now time.Time) bool {
	return standing.Basis(now) != BasisNone
}

// SinceStoreRead returns how long ago the last good read of the store was sent.
func (standing *Standing) SinceStoreRead(now time.Time) time.Duration {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	return now.Sub(standing.storeAt)
}

// Held returns the revisions that the daemon holds.
func (standing *Standing) Held() balsamproxy.Revisions {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	return standing.held
}

// Behind says whether the daemon knows of a later document than it holds.
func (standing *Standing) Behind() bool {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	return !standing.held.Covers(standing.known)
}

// Roster returns the roster that the daemon holds; it must not be changed.
func (standing *Standing) Roster() balsamproxy.Roster {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	return standing.roster
}
