package allowance

import (
	"time"

	"balsamproxy"
)

const (
	// floorFraction is the fraction of a burst that a home reserves for the
	// next home while the account does not need it. Together with the refill
	// rate it covers the requests that queue up during a change of homes.
	floorFraction = 0.4
	// raiseThreshold is the fraction of the burst at or above which a floor is
	// set. Prefetched loans take about a quarter of a burst.
	raiseThreshold = 0.6
	// lowerThreshold is the fraction of the burst below which a floor is
	// withdrawn, before it causes requests to be refused.
	lowerThreshold = 0.5
)

// Floors maps accounts to the tokens that a home reserves for the next home,
// even if it fails without notice. Floors are persisted in the store: a home
// applies a raised floor before it writes it, and spends below a floor only
// after the store holds a lower one.
type Floors map[balsamproxy.ClientAccountID]int

// Remainder is the state of an account that a new home starts from.
type Remainder struct {
	// Full is set if no earlier home can have lent tokens.
	Full bool
	// Tokens is the number of tokens that the previous home left.
	Tokens int
}

// available returns what may be lent or spent, in billionths of a token.
func (bucket *bucket) available() uint64 {
	if bucket.closed || bucket.level < bucket.floor {
		return 0
	}
	return bucket.level - bucket.floor
}

// wantedFloor returns the floor for the current level, in tokens.
func (bucket *bucket) wantedFloor() int {
	burst := float64(bucket.share.burst)
	level := float64(bucket.level)
	switch {
	case bucket.floor == 0 && level >= raiseThreshold*burst:
		return int(floorFraction * burst / nanosPerToken)
	case bucket.floor > 0 && level < lowerThreshold*burst:
		return 0
	}
	return int(bucket.floor / nanosPerToken)
}

// Term identifies one period in which a host is the home of a group.
type Term struct {
	Group Group
	// Since is when the accounts were opened.
	Since time.Time
}

// FloorChange describes how the wanted floors differ from the current ones.
type FloorChange int

const (
	// FloorsUnchanged means that all floors are the same.
	FloorsUnchanged FloorChange = iota
	// FloorsRaised means that some floors are higher and none is lower.
	FloorsRaised
	// FloorsLowered means that some floors are lower, to free tokens for
	// requests.
	FloorsLowered
)

// WantedFloors returns the floors for the current levels of a term's accounts,
// and how they differ from the floors in force.
func (lender *Lender) WantedFloors(term Term, now time.Time) (Floors, FloorChange) {
	floors := Floors{}
	change := FloorsUnchanged
	lender.eachInTerm(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
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

// RaiseFloors applies the floors that are higher than the current ones.
func (lender *Lender) RaiseFloors(term Term, floors Floors) {
	lender.eachInTerm(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.floor = max(bucket.floor, uint64(floors[account])*nanosPerToken)
	})
}

// SetFloors applies floors that have been written to the store.
func (lender *Lender) SetFloors(term Term, floors Floors) {
	lender.eachInTerm(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.floor = uint64(floors[account]) * nanosPerToken
	})
}

// Close permanently stops lending for a term and returns the remaining tokens.
func (lender *Lender) Close(term Term, now time.Time) Floors {
	floors := Floors{}
	lender.eachInTerm(term, func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.advance(bucket.share, now)
		bucket.closed = true
		if remaining := int(bucket.level / nanosPerToken); remaining > 0 {
			floors[account] = remaining
		}
	})
	return floors
}

// eachInTerm calls visit with each account that was opened in a term, with its
// bucket locked.
func (lender *Lender) eachInTerm(term Term, visit func(balsamproxy.ClientAccountID, *bucket)) {
	lender.buckets.Each(func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.mutex.Lock()
		defer bucket.mutex.Unlock()
		if GroupOf(account) == term.Group && bucket.openedAt.Equal(term.Since) {
			visit(account, bucket)
		}
	})
}
