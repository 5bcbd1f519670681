// Package eviction gives up what slow peers hold when memory is short.
package eviction

import (
	"time"

	"balsamproxy/core/memory"
)

const (
	// releaseTimeout bounds the wait for the memory of an evicted holder. Its goroutine
	// is woken at once.
	releaseTimeout = 100 * time.Millisecond
	// pollInterval is how often it is looked whether the memory is already enough.
	pollInterval = 5 * time.Millisecond
)

// Reclaim takes memory of a budget with enough, which returns what is short, if anything.
// It evicts holders until there is no shortage, and returns false if no peer that holds
// what is short lags any more.
func Reclaim(budget *memory.Budget, enough func() memory.Shortage) bool {
	if budget.Queue.Empty() && enough() == memory.NoShortage {
		return true
	}
	budget.Queue.Enter()
	defer budget.Queue.Leave()
	passed := map[memory.Holder]bool{}
	for {
		shortage := enough()
		if shortage == memory.NoShortage {
			return true
		}
		slowest := memory.Slowest(budget.Holders.All(), shortage, passed, time.Now())
		if slowest == nil {
			return false
		}
		passed[slowest] = true
		released, ok := slowest.Evict(shortage)
		if ok && awaitRelease(released, enough) {
			return true
		}
	}
}

// awaitRelease waits until an evicted holder has returned its memory, or there is enough.
// It reports the latter.
func awaitRelease(released <-chan struct{}, enough func() memory.Shortage) bool {
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-released:
			return false
		case <-timeout.C:
			return false
		case <-ticker.C:
			if enough() == memory.NoShortage {
				return true
			}
		}
	}
}
