package lending

import (
	"context"
	"time"

	"balsamproxy/core/allowance"
	"balsamproxy/task"
)

const (
	// floorsInterval is the time between two looks at the levels: in it, an
	// account at several times its rate uses less than what lies between the
	// level at which a floor is dropped and the floor.
	floorsInterval = 40 * time.Millisecond
	// floorsIdle is that time while this daemon is home of no account.
	floorsIdleInterval = 250 * time.Millisecond
	// raisePause is the least time between two writes for one group that drop
	// no floor, so that an account near its rate costs few calls.
	minRaiseInterval = 3 * time.Second
	// floorsTimeout bounds one write, so that a lost answer does not hold up
	// the floors of other groups; a slow store answers in about 250 ms.
	floorsTimeout = 400 * time.Millisecond
)

// floorsKeeper writes down what this home leaves to the next one.
type floorsWriter struct {
	spender   *Spender
	lastWrite map[allowance.Group]time.Time
	// unwritten are the groups whose last write failed.
	failed map[allowance.Group]bool
}

// RunFloors keeps the floors in the store in line with the levels until ctx
// ends.
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

// mayRaise says whether floors that drop none should be written now.
func (writer *floorsWriter) raiseDue(group allowance.Group, change allowance.FloorChange, now time.Time) bool {
	wanted := change == allowance.FloorsRaised || writer.failed[group]
	return wanted && now.Sub(writer.lastWrite[group]) >= minRaiseInterval
}

// Close ends the lending of a term and returns what is left of it.
func (spender *Spender) Close(term allowance.Term) allowance.Floors {
	return spender.lender.Close(term, spender.Clock.Boot().Time())
}
