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
	// responsePatience is how long a response waits for memory. Peers that do not take what
	// they hold lag by then.
	responsePatience = 2 * memory.MinLag
	// pollInterval is how often it is looked whether the memory is already enough.
	pollInterval = 5 * time.Millisecond
)

// Reclaim takes memory of a budget for a request with enough, which returns what is short, if
// anything. It evicts holders until there is no shortage, and returns false if no peer that
// holds what is short lags any more.
func Reclaim(budget *memory.Budget, enough func() memory.Shortage) bool {
	return reclaim(budget, &budget.Requesting, 0, enough)
}

// ReclaimForResponse is like Reclaim for a response that has begun to come. It waits for a
// peer to lag, since the request has run.
func ReclaimForResponse(budget *memory.Budget, enough func() memory.Shortage) bool {
	return reclaim(budget, &budget.Responding, responsePatience, enough)
}

func reclaim(budget *memory.Budget, queue *memory.Queue, patience time.Duration, enough func() memory.Shortage) bool {
	if queue.Empty() && enough() == memory.NoShortage {
		return true
	}
	queue.Enter()
	defer queue.Leave()
	end := time.Now().Add(patience)
	passed := map[memory.Holder]bool{}
	for {
		shortage := enough()
		if shortage == memory.NoShortage {
			return true
		}
		now := time.Now()
		costliest, found := memory.Costliest(budget.Holders.All(), passed, memory.Cost[memory.Holder](shortage, now))
		if !found {
			if now.After(end) {
				return false
			}
			time.Sleep(pollInterval)
			continue
		}
		passed[costliest] = true
		released, ok := costliest.Evict(shortage)
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
