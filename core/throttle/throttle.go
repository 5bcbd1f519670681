// Package throttle sheds requests at the entry of the call graph while the
// calls that they cause deeper down are rejected or time out.
//
// A request that needs several calls fails if one of them does, but its other
// calls have used capacity by then. Beyond some load most of the work belongs to
// requests that fail, which keeps the goodput low even after the load is back to
// normal. Shedding whole requests before any work is spent on them avoids that.
// Each daemon adapts the fraction that it admits to the results of its own
// requests, without coordination.
package throttle

import (
	"sync"
	"time"

	"balsamproxy"
)

// Outcome is the result of an admitted request.
type Outcome int

// Outcomes of admitted requests. Results that say nothing about congestion are
// not recorded.
const (
	// Served is a response of the target.
	Served Outcome = iota
	// Rejected is a request that failed because a call that it caused was
	// rejected for lack of capacity.
	Rejected
	// TimedOut is a request that a target accepted and did not finish in time.
	TimedOut
)

// Class groups the requests that are throttled together.
type Class struct {
	Route    balsamproxy.RouteID
	Priority balsamproxy.Priority
}

const (
	// minRound is the minimum duration of a round. It is longer than most
	// requests take, since failures are reported sooner than successes.
	minRound = time.Second
	// minOutcomes is the number of outcomes after which a round with failures
	// ends.
	minOutcomes = 6
	// maxRejected is the fraction of rejected requests above which fewer are
	// admitted. It is higher for a class while a less urgent one is in use, so
	// that the less urgent one is shed first.
	maxRejected       = 0.15
	maxUrgentRejected = 0.4
	// maxTimedOut is the fraction of requests that time out above which fewer
	// are admitted. A few slow targets cause time-outs that shedding does not
	// prevent.
	maxTimedOut = 0.5
	// minFraction is the minimum admitted fraction; its results show when the
	// congestion has ended.
	minFraction = 0.1
	// maxDecrease and the increase factors bound the change of one round.
	maxDecrease  = 0.3
	increase     = 2.0
	slowIncrease = 1.15
	// idleTimeout is how long a class without requests is kept. Its results say
	// nothing about the present after that.
	idleTimeout = 10 * time.Second
)

// Throttle decides which requests are admitted. The zero value admits all
// requests until outcomes are recorded.
type Throttle struct {
	mutex   sync.Mutex
	classes map[Class]*classState
}

type classState struct {
	// fraction is the admitted fraction.
	fraction float64
	// outcomes counts the outcomes of the requests admitted in this round.
	outcomes   [TimedOut + 1]int
	roundStart time.Time
	usedAt     time.Time
}

// Admit reports whether to admit a request. The random number is uniformly
// distributed in [0, 1).
func (throttle *Throttle) Admit(class Class, random float64, now time.Time) bool {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	state := throttle.state(class, now)
	if now.Sub(state.usedAt) > idleTimeout {
		*state = classState{fraction: 1, roundStart: now}
	}
	state.usedAt = now
	return random < state.fraction
}

// Record records the outcome of a request that was admitted at the given time.
// A request that was admitted before the fraction last changed is ignored.
func (throttle *Throttle) Record(class Class, outcome Outcome, admittedAt, now time.Time) {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	state := throttle.state(class, now)
	if admittedAt.Before(state.roundStart) {
		return
	}
	state.outcomes[outcome]++
	if now.Sub(state.roundStart) < minRound {
		return
	}
	limit := maxRejected
	if throttle.isUrgent(class, now) {
		limit = maxUrgentRejected
	}
	if state.adapt(limit) {
		state.outcomes = [TimedOut + 1]int{}
		state.roundStart = now
	}
}

func (throttle *Throttle) state(class Class, now time.Time) *classState {
	state, found := throttle.classes[class]
	if !found {
		throttle.evictIdle(now)
		if throttle.classes == nil {
			throttle.classes = map[Class]*classState{}
		}
		state = &classState{fraction: 1, roundStart: now, usedAt: now}
		throttle.classes[class] = state
	}
	return state
}

func (throttle *Throttle) evictIdle(now time.Time) {
	for class, state := range throttle.classes {
		if now.Sub(state.usedAt) > idleTimeout {
			delete(throttle.classes, class)
		}
	}
}

// isUrgent reports whether a less urgent class is in use.
func (throttle *Throttle) isUrgent(class Class, now time.Time) bool {
	for other, state := range throttle.classes {
		if other.Priority < class.Priority && now.Sub(state.usedAt) <= idleTimeout {
			return true
		}
	}
	return false
}

// adapt changes the fraction by the outcomes of a round. It returns false if
// there are too few of them.
func (state *classState) adapt(limit float64) bool {
	total := 0
	for _, count := range state.outcomes {
		total += count
	}
	served := state.outcomes[Served]
	if served < total && total < minOutcomes {
		return false
	}
	rejected := float64(state.outcomes[Rejected]) / float64(total)
	timedOut := float64(state.outcomes[TimedOut]) / float64(total)
	switch {
	case rejected > limit || timedOut > maxTimedOut:
		state.fraction *= max(float64(served)/float64(total), maxDecrease)
	case served == total:
		state.fraction *= increase
	case rejected < limit/2:
		state.fraction *= slowIncrease
	}
	state.fraction = min(max(state.fraction, minFraction), 1)
	return true
}
