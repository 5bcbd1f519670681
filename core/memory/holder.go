package memory

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// MinLag is the least lag for which a peer is given up. Peers that keep up with MinRate
// pause for less.
const MinLag = 400 * time.Millisecond

// MinIdle is the least time without a request after which a connection is given up. A caller
// that has just connected, or that sends the next request at once, pauses for less.
const MinIdle = 50 * time.Millisecond

// IdleLag returns how far a connection lags that has been without a request since a time.
func IdleLag(since, now time.Time) time.Duration {
	if idle := now.Sub(since); idle >= MinIdle {
		return idle
	}
	return 0
}

// Shortage is what there is too little of.
type Shortage int

// Shortages.
const (
	NoShortage Shortage = iota
	// ShortOfConnections means that the process may not open more connections.
	ShortOfConnections
	// ShortOfBodies means that the memory for bodies and windows is exhausted.
	ShortOfBodies
	// ShortOfOverhead means that the memory for connections and calls is exhausted.
	ShortOfOverhead
	// ShortOfHeads means that the part of it for heads is exhausted.
	ShortOfHeads
)

// Holder holds a connection, memory of a budget, or both, for a peer that may be slow.
type Holder interface {
	// Lag returns how far the peer lags, zero if the holder cannot be evicted now.
	Lag(now time.Time) time.Duration
	// Held returns how much an eviction returns of what is short: bytes, or the number
	// of connections.
	Held(shortage Shortage) int64
	// Evict gives up what is in progress with the peer. It returns a channel that is
	// closed when everything has been returned, and false if the holder has gone on
	// meanwhile.
	Evict(shortage Shortage) (<-chan struct{}, bool)
}

// Cost returns what a holder costs others while it lags: the product of its lag and of what
// it holds of what is short.
func Cost[H Holder](shortage Shortage, now time.Time) func(H) float64 {
	return func(holder H) float64 {
		lag := holder.Lag(now)
		if lag <= 0 {
			return 0
		}
		return lag.Seconds() * float64(holder.Held(shortage))
	}
}

// Costliest returns the holder with the highest cost, which is the one to evict. Those in
// passed are not considered. It returns false if no cost is above zero.
func Costliest[H Holder](holders iter.Seq[H], passed map[Holder]bool, cost func(H) float64) (H, bool) {
	var costliest H
	most := 0.0
	for holder := range holders {
		if passed[holder] {
			continue
		}
		if costs := cost(holder); costs > most {
			costliest, most = holder, costs
		}
	}
	return costliest, most > 0
}

// Holders are the holders of a budget. The zero value is ready to use.
type Holders struct {
	mutex   sync.Mutex
	holders map[Holder]struct{}
}

// Add adds a holder.
func (holders *Holders) Add(holder Holder) {
	holders.mutex.Lock()
	defer holders.mutex.Unlock()
	if holders.holders == nil {
		holders.holders = map[Holder]struct{}{}
	}
	holders.holders[holder] = struct{}{}
}

// Remove removes a holder.
func (holders *Holders) Remove(holder Holder) {
	holders.mutex.Lock()
	defer holders.mutex.Unlock()
	delete(holders.holders, holder)
}

// All returns the present holders.
func (holders *Holders) All() iter.Seq[Holder] {
	holders.mutex.Lock()
	defer holders.mutex.Unlock()
	return slices.Values(slices.Collect(maps.Keys(holders.holders)))
}

// Queue orders those who wait for memory, so that none overtakes another. The zero value is
// ready to use.
type Queue struct {
	turn    sync.Mutex
	waiting atomic.Int64
}

// Empty reports whether nobody waits.
func (queue *Queue) Empty() bool { return queue.waiting.Load() == 0 }

// Enter waits for the turn of the caller, who calls Leave afterwards.
func (queue *Queue) Enter() {
	queue.waiting.Add(1)
	queue.turn.Lock()
}

// Leave ends the turn.
func (queue *Queue) Leave() {
	queue.waiting.Add(-1)
	queue.turn.Unlock()
}
