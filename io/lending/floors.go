package lending

import (
	"context"
	"time"

	"balsamproxy/core/allowance"
	"balsamproxy/task"
)

const (
	// floorsInterval is the time between two checks of the token levels. In
	// this time, an account at several times its rate uses fewer tokens than
	// the difference between a floor and the level at which the floor is
	// lowered.
	floorsInterval = 40 * time.Millisecond
	// floorsIdleInterval replaces floorsInterval while this daemon is home of
	// no group.
	floorsIdleInterval = 250 * time.Millisecond
	// minRaiseInterval is the minimum time between two writes for a group that
	// lower no floor, so that an account near its rate causes few writes.
	minRaiseInterval = 3 * time.Second
	// floorsTimeout bounds one write, so that a lost response does not delay
	// the floors of other groups. A slow store responds in about 250 ms.
	floorsTimeout = 400 * time.Millisecond
)

// floorsWriter persists the tokens that this home reserves for the next home.
type floorsWriter struct {
	spender   *Spender
	lastWrite map[allowance.Group]time.Time
	// failed contains the groups whose last write failed.
	failed map[allowance.Group]bool
}

// RunFloors keeps the floors in the store up to date with the token levels
// until ctx is done.
func (spender *Spender) RunFloors(ctx context.Context) error {
	writer := floorsWriter{
		spender:   spender,
		lastWrite: map[allowance.Group]time.Time{},
		failed:    map[allowance.Group]bool{},
	}
	interval := floorsIdleInterval
	for task.Sleep(ctx, interval) {
		terms := spender.Homes.Terms()
		for _, term := range terms {
			writer.step(ctx, term)
		}
		interval = floorsInterval
		if len(terms) == 0 {
			interval = floorsIdleInterval
		}
	}
	return ctx.Err()
}

func (writer *floorsWriter) step(ctx context.Context, term allowance.Term) {
	spender := writer.spender
	now := spender.Clock.Boot().Time()
	floors, change := spender.lender.WantedFloors(term, now)
	if change != allowance.FloorsLowered && !writer.raiseDue(term.Group, change, now) {
		return
	}
	spender.lender.RaiseFloors(term, floors)
	writer.lastWrite[term.Group] = now
	ctx, cancel := context.WithTimeout(ctx, floorsTimeout)
	defer cancel()
	err := spender.Homes.WriteFloors(ctx, term, floors)
	writer.failed[term.Group] = err != nil
	if err != nil {
		spender.Metrics.Counter("allowance_floors_failed").Inc(1)
		spender.Log.Warn().Str("event", "floors-not-written").Int("group", int(term.Group)).Err(err).Send()
		return
	}
	spender.Metrics.Counter("allowance_floors").Inc(1)
	spender.lender.SetFloors(term, floors)
}

// raiseDue reports whether a change that lowers no floor should be written
// now.
func (writer *floorsWriter) raiseDue(group allowance.Group, change allowance.FloorChange, now time.Time) bool {
	wanted := change == allowance.FloorsRaised || writer.failed[group]
	return wanted && now.Sub(writer.lastWrite[group]) >= minRaiseInterval
}

// Close stops lending for a term and returns the remaining tokens.
func (spender *Spender) Close(term allowance.Term) allowance.Floors {
	return spender.lender.Close(term, spender.Clock.Boot().Time())
}
