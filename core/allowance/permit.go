package allowance

import "time"

const (
	// MaxTokenWait is how long a request waits at most for a token that does
	// not exist yet. Waiting costs a caller less than being refused and coming
	// back.
	MaxTokenWait = 200 * time.Millisecond
	// maxPermitTTL is how long a home counts a token as unused after it has
	// granted it to a pending request.
	maxPermitTTL = 120 * time.Millisecond
	// minPermitTTL is a few round trips between data centres.
	minPermitTTL = 40 * time.Millisecond
	// permitTTLDivisor limits the time to live of permits to a fraction of the
	// time in which the rate fills the burst. The tokens that may not have been
	// used yet are not missed then.
	permitTTLDivisor = 4
	// maxPrefetchedDivisor limits prefetched tokens to a fraction of the burst.
	maxPrefetchedDivisor = 8
)

// permitTTL is how long the home counts a permit as unused.
func (share Share) permitTTL() time.Duration {
	if share.rate == 0 {
		return minPermitTTL
	}
	fillTime := refillTime(share.rate, share.burst)
	return min(max(fillTime/permitTTLDivisor, minPermitTTL), maxPermitTTL)
}

// borrowerPermitTTL is how long a borrower may use a permit that the home counts
// as unused for ttl. It is shorter to allow for the time from the last check of
// the permit until the request is sent, and for different clock rates.
func borrowerPermitTTL(ttl time.Duration) time.Duration { return ttl * 3 / 4 }

// maxPrefetched is the number of prefetched tokens that may be lent at a time.
func (share Share) maxPrefetched() uint64 {
	return share.burst / nanosPerToken / maxPrefetchedDivisor
}
