package memory

import (
	"sync"
	"time"
)

// MinRate is the rate in bytes per second below which a peer lags.
const MinRate = 16 << 10

// Lag measures how far a peer is behind MinRate: for how long it was waited for, less the
// time that the bytes it moved take at MinRate. It is never below zero, so that many
// bytes do not make up for a later pause, and few bytes do not make up for a long one.
// The zero value is ready to use and safe for concurrent use.
type Lag struct {
	mutex  sync.Mutex
	behind time.Duration
	// since is the beginning of the present wait, zero if there is none.
	since time.Time
}

// Begin begins a wait for the peer.
func (lag *Lag) Begin(now time.Time) {
	lag.mutex.Lock()
	defer lag.mutex.Unlock()
	lag.since = now
}

// End ends a wait in which the peer moved a number of bytes.
func (lag *Lag) End(now time.Time, bytes int) {
	lag.mutex.Lock()
	defer lag.mutex.Unlock()
	if !lag.since.IsZero() {
		lag.behind += now.Sub(lag.since)
	}
	lag.since = time.Time{}
	lag.creditLocked(bytes)
}

// Credit counts bytes that the peer moved.
func (lag *Lag) Credit(bytes int) {
	lag.mutex.Lock()
	defer lag.mutex.Unlock()
	lag.creditLocked(bytes)
}

func (lag *Lag) creditLocked(bytes int) {
	lag.behind = max(0, lag.behind-time.Duration(bytes)*time.Second/MinRate)
}

// Reset forgets what was measured. A wait in progress goes on from now.
func (lag *Lag) Reset(now time.Time) {
	lag.mutex.Lock()
	defer lag.mutex.Unlock()
	lag.behind = 0
	if !lag.since.IsZero() {
		lag.since = now
	}
}

// At returns the lag while the peer is waited for, and zero otherwise.
func (lag *Lag) At(now time.Time) time.Duration {
	lag.mutex.Lock()
	defer lag.mutex.Unlock()
	if lag.since.IsZero() {
		return 0
	}
	return max(0, lag.behind+now.Sub(lag.since))
}
