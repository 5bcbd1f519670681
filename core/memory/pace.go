package memory

import "time"

// Pace spaces evictions from a number of places evenly over the time after which a newcomer
// can be evicted itself. Without it all places change hands at once, and none can be had
// until that time is over. The zero value is ready to use.
type Pace struct {
	next time.Time
}

// Allows reports whether an eviction may happen now.
func (pace *Pace) Allows(now time.Time) bool { return !now.Before(pace.next) }

// Evicted records an eviction from one of the places.
func (pace *Pace) Evicted(now time.Time, period time.Duration, places int) {
	pace.next = now.Add(period / time.Duration(max(places, 1)))
}

// Wait returns how long it takes until an eviction may happen, at most the given time.
func (pace *Pace) Wait(now time.Time, most time.Duration) time.Duration {
	return min(max(pace.next.Sub(now), time.Millisecond), most)
}
