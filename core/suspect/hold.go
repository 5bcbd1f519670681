package suspect

import (
	"slices"
	"time"
)

const (
	// crashesToHold is the number of unexplained crashes after which a request is held.
	crashesToHold = 2
	// runsPerCrash is how many runs that ended well explain one crash: a request that
	// crashes its target in less than one of five runs is a bystander, which was in flight
	// when something else crashed the target.
	runsPerCrash = 4
	// minHold is how long a request is held the first time, and holdGrowth the factor of
	// each further hold.
	minHold    = 5 * time.Minute
	holdGrowth = 2
	// minProvenHold and provenHoldGrowth replace them for a request whose runs have
	// explained a crash. If it is a bystander after all, it runs well again at the end of a
	// short hold; if it crashes targets now, three more show that within minutes.
	minProvenHold    = 2 * time.Second
	provenHoldGrowth = 8
	maxHold          = time.Hour
	// maxRetryAfter bounds the Retry-After of a held request: runs elsewhere may show that
	// it is a bystander long before its hold ends.
	maxRetryAfter = 30 * time.Second
)

// HeldUntil returns until when a request is held that was in flight at crashes which
// nothing else explains, or the zero time if it is not held. It answers requests that
// crash each target that runs them and come again, often or rarely, and pages that many
// ask for while targets crash one after another. After a hold has ended, one more crash
// begins the next, which is longer. Proven says that runs have explained another crash.
func HeldUntil(unexplained []time.Time, proven bool) time.Time {
	if len(unexplained) < crashesToHold {
		return time.Time{}
	}
	length, growth := minHold, time.Duration(holdGrowth)
	if proven {
		length, growth = minProvenHold, provenHoldGrowth
	}
	ordered := slices.SortedFunc(slices.Values(unexplained), time.Time.Compare)
	until := ordered[crashesToHold-1].Add(length)
	for _, crash := range ordered[crashesToHold:] {
		if !crash.Before(until) {
			length = min(growth*length, maxHold)
		}
		until = crash.Add(length)
	}
	return until
}

// RetryAfter returns when the caller of a held request may send it again.
func RetryAfter(until, now time.Time) time.Duration {
	return min(until.Sub(now), maxRetryAfter)
}
