// Package evidence decides how long a daemon may rely on the configuration
// that it holds.
//
// A daemon holds evidence while a read of the store that it began less than a
// limit ago found no later configuration. The limit lies below the time
// within which a withdrawn key must stop working everywhere, so a daemon that
// is cut off, suspended or starved stops serving keys in time on its own.
package evidence

import (
	"sync"
	"time"

	"balsamproxy"
)

// limitParts and limitDivisor give the part of the withdrawal bound for which
// evidence holds. The rest covers a store whose watches hear of a change up to
// a second late, and a slow host.
const (
	limitParts   = 7
	limitDivisor = 10
)

// MaxAgeFor returns how long evidence holds if a withdrawn key must stop
// working within a bound.
func MaxAgeFor(bound time.Duration) time.Duration {
	return bound * limitParts / limitDivisor
}

// Evidence is what one daemon knows of the age of its configuration. Its zero
// value holds none.
type Evidence struct {
	// MaxAge is how long one confirmation holds.
	MaxAge time.Duration

	mutex sync.RWMutex
	since balsamproxy.BootTime
	known bool
}

// Confirm notes that a read that began at an instant found nothing later than
// what is in force now.
func (evidence *Evidence) Confirm(began balsamproxy.BootTime) {
	evidence.mutex.Lock()
	defer evidence.mutex.Unlock()
	if !evidence.known || began > evidence.since {
		evidence.since = began
		evidence.known = true
	}
}

// Age returns the age of the newest confirmation, and false without one.
func (evidence *Evidence) Age(now balsamproxy.BootTime) (time.Duration, bool) {
	evidence.mutex.RLock()
	defer evidence.mutex.RUnlock()
	return now.Sub(evidence.since), evidence.known
}

// IsFresh says whether keys may be relied on at an instant.
func (evidence *Evidence) IsFresh(now balsamproxy.BootTime) bool {
	age, known := evidence.Age(now)
	return known && age < evidence.MaxAge
}
