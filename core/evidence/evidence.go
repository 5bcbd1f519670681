// Package evidence determines how long a daemon may rely on the configuration
// that it holds.
//
// A daemon has evidence that its configuration is current if a read of the
// store that it started within a maximum age found no later revision. The
// maximum age is shorter than the time within which a withdrawn key must stop
// working everywhere, so a daemon that is disconnected, suspended or starved of
// CPU stops serving keys in time without being told to.
package evidence

import (
	"sync"
	"time"

	"balsamproxy"
)

// maxAgeNumerator and maxAgeDenominator give the fraction of the withdrawal
// bound for which evidence is valid. The rest allows for watches of the store
// that report a change up to a second late, and for a slow host.
const (
	maxAgeNumerator   = 7
	maxAgeDenominator = 10
)

// MaxAgeFor returns the maximum age of evidence if a withdrawn key must stop
// working within bound.
func MaxAgeFor(bound time.Duration) time.Duration {
	return bound * maxAgeNumerator / maxAgeDenominator
}

// Evidence tracks when the configuration of a daemon was last confirmed. Its
// zero value has no confirmation.
type Evidence struct {
	// MaxAge is how long one confirmation is valid.
	MaxAge time.Duration

	mutex       sync.RWMutex
	confirmedAt balsamproxy.BootTime
	confirmed   bool
	// notBefore is when the store last came back from an older copy. A read that
	// started earlier may have found what the copy has.
	notBefore balsamproxy.BootTime
}

// Confirm records that a read which started at began found no later revision
// than the one in force now.
func (evidence *Evidence) Confirm(began balsamproxy.BootTime) {
	evidence.mutex.Lock()
	defer evidence.mutex.Unlock()
	if began < evidence.notBefore {
		return
	}
	if !evidence.confirmed || began > evidence.confirmedAt {
		evidence.confirmedAt = began
		evidence.confirmed = true
	}
}

// StartOver records that the store has come back from an older copy, as seen at now. Reads
// that started earlier confirm nothing from then on. What they have confirmed before stays
// valid until its age ends it: the store had no later revision then.
func (evidence *Evidence) StartOver(now balsamproxy.BootTime) {
	evidence.mutex.Lock()
	defer evidence.mutex.Unlock()
	evidence.notBefore = max(evidence.notBefore, now)
}

// Age returns the age of the latest confirmation, and false if there is none.
func (evidence *Evidence) Age(now balsamproxy.BootTime) (time.Duration, bool) {
	evidence.mutex.RLock()
	defer evidence.mutex.RUnlock()
	return now.Sub(evidence.confirmedAt), evidence.confirmed
}

// IsFresh reports whether the latest confirmation is younger than MaxAge, so
// that keys may be relied on.
func (evidence *Evidence) IsFresh(now balsamproxy.BootTime) bool {
	age, confirmed := evidence.Age(now)
	return confirmed && age < evidence.MaxAge
}
