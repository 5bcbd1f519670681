// Package standing determines whether a daemon has standing: the right to
// admit keyed requests and to spend rate allowance. A daemon has standing while
// it is known to hold the latest revisions of the shared documents, either
// because it read the revisions from the store or because it heard them from
// more than half of the hosts of the roster, itself included.
package standing

import (
	"slices"
	"sync"
	"time"

	"balsamproxy"
)

// Validity is how long one confirmation is valid, counted from before the
// request for it was sent.
const Validity = 2500 * time.Millisecond

// Basis is the source of the confirmations for a daemon's standing.
type Basis string

// Sources of confirmations.
const (
	BasisNone  Basis = "none"
	BasisStore Basis = "store"
	BasisPeers Basis = "peers"
)

// Standing tracks the standing of one daemon. Its zero value has no standing.
type Standing struct {
	// Host is the host of this daemon.
	Host balsamproxy.HostID

	mutex   sync.RWMutex
	held    balsamproxy.Revisions
	known   balsamproxy.Revisions
	roster  balsamproxy.Roster
	storeAt time.Time
	peersAt map[balsamproxy.HostID]time.Time
}

// SetHeld records the revisions of the documents that the daemon has put in
// force, and the roster among them. Lower revisions are ignored.
func (standing *Standing) SetHeld(held balsamproxy.Revisions, roster balsamproxy.Roster) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	if held.Roster > standing.held.Roster {
		standing.roster = roster
	}
	standing.held = standing.held.Latest(held)
	standing.known = standing.known.Latest(standing.held)
}

// RecordStoreRead records the revisions that a read of the store returned, and
// the instant before it was sent. A read that returns lower revisions than the
// daemon holds is not a confirmation: either a later read finished first, or
// the store has lost data.
func (standing *Standing) RecordStoreRead(sentAt time.Time, found balsamproxy.Revisions) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	standing.known = standing.known.Latest(found)
	if found.Covers(standing.held) && sentAt.After(standing.storeAt) {
		standing.storeAt = sentAt
	}
}

// RecordPeerRevisions records the revisions that a peer holds, and the instant
// before it was asked.
func (standing *Standing) RecordPeerRevisions(sentAt time.Time, peer balsamproxy.HostID, revisions balsamproxy.Revisions) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	standing.known = standing.known.Latest(revisions)
	if standing.peersAt == nil {
		standing.peersAt = map[balsamproxy.HostID]time.Time{}
	}
	if sentAt.After(standing.peersAt[peer]) {
		standing.peersAt[peer] = sentAt
	}
}

// Basis returns the source that confirms the daemon's standing at an instant.
func (standing *Standing) Basis(now time.Time) Basis {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	switch {
	case !standing.held.Covers(standing.known), !slices.Contains(standing.roster.Hosts, standing.Host):
		return BasisNone
	case valid(standing.storeAt, now):
		return BasisStore
	case Majority(standing.roster.Hosts, standing.confirmedAt(now)):
		return BasisPeers
	default:
		return BasisNone
	}
}

func valid(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= Validity
}

func (standing *Standing) confirmedAt(now time.Time) func(balsamproxy.HostID) bool {
	return func(host balsamproxy.HostID) bool {
		return host == standing.Host || valid(standing.peersAt[host], now)
	}
}

// Has reports whether the daemon has standing at an instant.
func (standing *Standing) Has(now time.Time) bool {
	return standing.Basis(now) != BasisNone
}

// SinceStoreRead returns the time since the last confirming read of the store
// was sent.
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

// Behind reports whether the daemon knows of a later revision of a document
// than it holds.
func (standing *Standing) Behind() bool {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	return !standing.held.Covers(standing.known)
}

// Roster returns the roster that the daemon holds. The caller must not modify
// it.
func (standing *Standing) Roster() balsamproxy.Roster {
	standing.mutex.RLock()
	defer standing.mutex.RUnlock()
	return standing.roster
}
