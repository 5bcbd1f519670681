package allowance

import (
	"time"

	"balsamproxy"
)

// Remainders maps accounts to the number of tokens that a home left when it
// ended its term.
type Remainders map[balsamproxy.ClientAccountID]int

// Remainder is the state of an account that a new home starts from.
type Remainder struct {
	// Full is set if no earlier home can have granted tokens.
	Full bool
	// Tokens is the number of tokens that the previous home left. It is zero
	// if that home ended without notice.
	Tokens int
	// EndedFor is how long the previous home cannot have granted tokens at
	// least.
	EndedFor time.Duration
}

// Term identifies one period in which a host is the home of a group.
type Term struct {
	Group Group
	// Since is when the accounts were opened.
	Since time.Time
}

// openBucket returns the bucket of a new home. Without a previous home it
// starts full. After a planned change it starts with the tokens that were left.
// After a home that ended without notice it is empty at the instant for which
// this home may have granted its last token.
func openBucket(share Share, remainder Remainder, now time.Time) *bucket {
	opened := &bucket{share: share, openedAt: now, refilledAt: now, loans: map[Borrower]*loan{}}
	prefetched := min(share.maxPrefetched()*nanosPerToken, share.burst)
	switch {
	case remainder.Full:
		opened.level = share.burst
	case remainder.Tokens > 0:
		opened.level = min(uint64(remainder.Tokens)*nanosPerToken, share.burst)
		opened.previous = []previousGrants{
			{tokens: share.burst - opened.level, expiresAt: now.Add(maxPermitTTL)},
			{tokens: min(prefetched, share.burst-opened.level), expiresAt: now.Add(LenderLoanTTL)},
		}
	default:
		ended := now.Add(-remainder.EndedFor)
		opened.refilledAt = ended.Add(MaxTokenWait)
		opened.unknown = share.burst
		reserved := refill(share.rate, MaxTokenWait) + nanosPerToken
		opened.previous = []previousGrants{
			{tokens: share.burst, expiresAt: ended.Add(maxPermitTTL)},
			{tokens: min(reserved+prefetched, share.burst), expiresAt: ended.Add(MaxTokenWait + maxPermitTTL)},
			{tokens: prefetched, expiresAt: ended.Add(LenderLoanTTL)},
		}
	}
	return opened
}

// Close permanently stops granting tokens for a term and returns what is left.
func (lender *Lender) Close(term Term, now time.Time) Remainders {
	remainders := Remainders{}
	lender.buckets.Each(func(account balsamproxy.ClientAccountID, bucket *bucket) {
		bucket.mutex.Lock()
		defer bucket.mutex.Unlock()
		if GroupOf(account) != term.Group || !bucket.openedAt.Equal(term.Since) {
			return
		}
		bucket.advance(bucket.share, now)
		bucket.closed = true
		reserved := bucket.refilledAt.After(now)
		if remaining := int(bucket.level / nanosPerToken); remaining > 0 && !reserved {
			remainders[account] = remaining
		}
	})
	return remainders
}
