package limit

import "time"

const (
	// coldShare is the part of its slots that a cold target starts with.
	coldShare = 0.1
	// decrease is what is left of the limit after a late answer.
	decrease = 0.8
	// decreasePause is the least time between two decreases.
	decreasePause = 100 * time.Millisecond
	// smoothing is the weight of one more duration.
	smoothing = 0.05
	// stuckFactor is how many times the usual duration a late call must have
	// taken for the target to be slow: a call that waited long is late for no
	// fault of the target.
	stuckFactor = 3
	// growth is the part by which the limit grows in each round of answers.
	growth = 0.25
)

// adaptive is a concurrency limit that shrinks by a part when a target works on
// calls for much longer than usual without an answer, and grows by a part for
// each round of answers in time. It never exceeds what the target announced.
type adaptive struct {
	most        int
	current     float64
	usual       time.Duration
	decreasedAt time.Time
}

// announce takes what the target says that it can work on.
func (adaptive *adaptive) announce(most int, cold bool) {
	first := adaptive.most == 0
	adaptive.most = most
	switch {
	case first && cold:
		adaptive.current = max(1, coldShare*float64(most))
	case first:
		adaptive.current = float64(most)
	}
	adaptive.current = min(adaptive.current, float64(most))
}

func (adaptive *adaptive) limit() int {
	return int(adaptive.current)
}

// observe takes the end of a call, with the calls that were under way.
func (adaptive *adaptive) observe(ended Completion, inFlight int, now time.Time) {
	if ended.TimedOut {
		if ended.Duration > stuckFactor*adaptive.usual {
			adaptive.shrink(now)
		}
		return
	}
	if ended.Duration > 0 {
		adaptive.learn(ended.Duration)
	}
	if inFlight >= adaptive.limit() {
		adaptive.grow()
	}
}

func (adaptive *adaptive) shrink(now time.Time) {
	if now.Sub(adaptive.decreasedAt) < decreasePause {
		return
	}
	adaptive.decreasedAt = now
	adaptive.current = max(1, decrease*adaptive.current)
}

// learn takes the duration of one more answer.
func (adaptive *adaptive) learn(duration time.Duration) {
	if adaptive.usual == 0 {
		adaptive.usual = duration
		return
	}
	adaptive.usual += time.Duration(smoothing * float64(duration-adaptive.usual))
}

// grow adds one answer's part of a round's growth, at least of one call.
func (adaptive *adaptive) grow() {
	step := max(growth, 1/adaptive.current)
	adaptive.current = min(float64(adaptive.most), adaptive.current+step)
}
