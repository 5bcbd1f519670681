package limit

import "time"

const (
	// coldStartFraction is the fraction of its slots with which a cold target
	// starts.
	coldStartFraction = 0.1
	// decreaseFactor is applied to the limit after a slow call.
	decreaseFactor = 0.8
	// minDecreaseInterval is the least time between two decreases.
	minDecreaseInterval = 100 * time.Millisecond
	// durationWeight is the weight of one call in the mean duration.
	durationWeight = 0.05
	// slowFactor is the multiple of the mean duration above which a timed-out call
	// counts as slow. A call that spent most of its time in the queue times out
	// through no fault of the target.
	slowFactor = 3
	// growth is the fraction by which the limit grows in each round of responses.
	growth = 0.25
)

// adaptiveLimit is a concurrency limit with multiplicative decrease and
// increase: it shrinks when calls time out after running much longer than the
// mean duration, and grows with each round of timely responses. It never
// exceeds the slots that the target announced.
type adaptiveLimit struct {
	maxSlots     int
	current      float64
	meanDuration time.Duration
	decreasedAt  time.Time
}

// setSlots sets the concurrency that the target announced.
func (adaptive *adaptiveLimit) setSlots(most int, cold bool) {
	first := adaptive.maxSlots == 0
	adaptive.maxSlots = most
	switch {
	case first && cold:
		adaptive.current = max(1, coldStartFraction*float64(most))
	case first:
		adaptive.current = float64(most)
	}
	adaptive.current = min(adaptive.current, float64(most))
}

func (adaptive *adaptiveLimit) limit() int {
	return int(adaptive.current)
}

// observe updates the limit with a completed call and the number of calls in
// flight.
func (adaptive *adaptiveLimit) observe(ended Completion, inFlight int, now time.Time) {
	if ended.TimedOut {
		if ended.Duration > slowFactor*adaptive.meanDuration {
			adaptive.shrink(now)
		}
		return
	}
	if ended.Duration > 0 {
		adaptive.recordDuration(ended.Duration)
	}
	if inFlight >= adaptive.limit() {
		adaptive.grow()
	}
}

func (adaptive *adaptiveLimit) shrink(now time.Time) {
	if now.Sub(adaptive.decreasedAt) < minDecreaseInterval {
		return
	}
	adaptive.decreasedAt = now
	adaptive.current = max(1, decreaseFactor*adaptive.current)
}

// recordDuration updates the mean duration.
func (adaptive *adaptiveLimit) recordDuration(duration time.Duration) {
	if adaptive.meanDuration == 0 {
		adaptive.meanDuration = duration
		return
	}
	adaptive.meanDuration += time.Duration(durationWeight * float64(duration-adaptive.meanDuration))
}

// grow adds one response's share of the growth per round, which is at least
// one call per round.
func (adaptive *adaptiveLimit) grow() {
	step := max(growth, 1/adaptive.current)
	adaptive.current = min(float64(adaptive.maxSlots), adaptive.current+step)
}
