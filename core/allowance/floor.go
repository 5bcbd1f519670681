package allowance

import (
	"time"

	"balsamproxy"
)

const (
	// floorPart is the part of a burst that a home leaves to the next one
	// while the account does not need it: together with the rate it serves
	// the requests that waited for the next home.
	floorPart = 0.4
	// raisePart is the part of the burst above which a floor is given. Tokens
	// that are lent ahead of need take about a quarter of a burst.
	raisePart = 0.6
	// dropPart is the part of the burst below which a floor is taken back,
	// before it keeps anyone from being served.
	dropPart = 0.5
)

// Floors are the tokens that a home leaves to the next home of its accounts,
// whenever it ends. They stand in the store, so a home raises one before it
// writes it there, and spends below one only after the store has a lower one.
type Floors map[balsamproxy.ClientAccountID]int

// Remainder is what a home finds of an account.
type Remainder struct {
	// Full says that no home can have lent before.
	Full bool
	// Tokens is what the former home left.
	Tokens int
}

// free returns what may be lent or spent.
func (bucket *bucket) free() uint64 {
	if bucket.closed || bucket.level < bucket.floor {
		return 0
	}
	return bucket.level - bucket.floor
}

// wantedFloor returns the floor that suits the level, in tokens.
func (bucket *bucket) wantedFloor() int {
	burst := float64(bucket.share.burst)
	level := float64(bucket.level)
	switch {
	case bucket.floor == 0 && level >= raisePart*burst:
		return int(floorPart * burst / nanosPerToken)
	case bucket.floor > 0 && level < dropPart*burst:
		return 0
	}
	return int(bucket.floor / nanosPerToken)
}

// Term is the time of a group of accounts at one home.
type Term struct {
	Group Group
	// Since is the instant at which the accounts were opened.
	Since time.Time
}

// FloorChange says how wanted floors differ from those that hold.
type FloorChange int

// Changes of floors.
const (
	// FloorsUnchanged says that they are the same.
	FloorsUnchanged FloorChange = iota
	// FloorsRaised says that some are higher and none is lower.
	FloorsRaised
	// FloorsLowered says that some are lower: tokens are needed.
	FloorsLowered
)

// WantedFloors returns the floors of the accounts of a term that suit their
// levels at an instant, and how they differ from those that hold.
func (lender *Lender) WantedFloors(term Term, now time.Time) (Floors, FloorChange) {
	floors := Floors{}
	change := FloorsUnchanged
	lender.each(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.advance(bucket.share, now)
		wanted := bucket.wantedFloor()
		switch tokens := uint64(wanted) * nanosPerToken; {
		case tokens < bucket.floor:
			change = FloorsLowered
		case tokens > bucket.floor:
			change = max(change, FloorsRaised)
		}
		if wanted > 0 {
			floors[account] = wanted
		}
	})
	return floors, change
}

// RaiseFloors puts floors in force where they are higher than those that hold.
func (lender *Lender) RaiseFloors(term Term, floors Floors) {
	lender.each(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.floor = max(bucket.floor, uint64(floors[account])*nanosPerToken)
	})
}

// SetFloors puts floors in force that stand in the store.
func (lender *Lender) SetFloors(term Term, floors Floors) {
	lender.each(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.floor = uint64(floors[account]) * nanosPerToken
	})
}

// Close ends the lending of a term for good and returns what is left.
func (lender *Lender) Close(term Term, now time.Time) Floors {
	floors := Floors{}
	lender.each(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.advance(bucket.share, now)
		bucket.closed = true
		if left := int(bucket.level / nanosPerToken); left > 0 {
			floors[account] = left
		}
	})
	return floors
}

// each visits the accounts that were opened in a term.
func (lender *Lender) each(term Term, visit func(balsamproxy.ClientAccountID, *bucket)) {
	lender.buckets.Each(func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.mutex.Lock()
		defer bucket.mutex.Unlock()
		if GroupOf(account) == term.Group && bucket.startAt.Equal(term.Since) {
			visit(account, bucket)
		}
	})
}
