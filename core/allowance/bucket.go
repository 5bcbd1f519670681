package allowance

import (
	"math/bits"
	"sync"
	"time"
)

// minRecoveryPoll is the minimum time between two attempts of a request to get a
// token from a home that is recovering.
const minRecoveryPoll = 50 * time.Millisecond

// bucket is the token bucket for this home's share of one account. The level
// and all tokens that have been granted and may not have been used yet never
// exceed the burst.
type bucket struct {
	mutex sync.Mutex
	share Share
	// level is what can be granted, in billionths of a token.
	level uint64
	// refilledAt is the instant that the level is valid for. Granting a token
	// before it exists moves it into the future.
	refilledAt time.Time
	// handledAt is the latest instant at which a request was handled.
	handledAt time.Time
	// permitted is the number of tokens granted to pending requests that may not
	// have been used yet, and permits are these tokens by expiry.
	permitted uint64
	permits   []batch
	// lent is the number of prefetched tokens that borrowers may still spend.
	lent  uint64
	loans map[Borrower]*loan
	// previous is what a previous home may have granted that may not have been
	// used yet.
	previous []previousGrants
	// retryDemand is what refused requests will need when they are retried,
	// in billionths of a token.
	retryDemand uint64
	// closed is set once another home takes over; nothing is granted after that.
	closed   bool
	openedAt time.Time
	// unknown is what may have been left by a previous home that ended without
	// notice, in billionths of a token. An exact bucket would hold at most level
	// and unknown.
	unknown uint64
}

// loan is the state of one borrower of one account.
type loan struct {
	settled uint64
	batches []batch
}

// batch is a number of tokens that expire together.
type batch struct {
	count     uint64
	expiresAt time.Time
}

// previousGrants is what a previous home may have granted, in billionths of a
// token.
type previousGrants struct {
	tokens    uint64
	expiresAt time.Time
}

// advance brings the bucket up to date. It returns the instant at which the request
// is handled: concurrent requests may have read the clock in another order.
func (bucket *bucket) advance(share Share, now time.Time) time.Time {
	if bucket.share == (Share{}) {
		bucket.share = share
	}
	if now.Before(bucket.handledAt) {
		now = bucket.handledAt
	}
	bucket.handledAt = now
	bucket.advanceTo(now)
	bucket.share = share
	bucket.level = min(bucket.level, bucket.maxLevel())
	return now
}

// advanceTo refills the level until an instant. Tokens expire one after another
// on the way, because the level must not rise while they can still be used.
func (bucket *bucket) advanceTo(at time.Time) {
	for {
		next := bucket.nextExpiry(at)
		if next.After(bucket.refilledAt) {
			refilled := refill(bucket.share.rate, next.Sub(bucket.refilledAt))
			bucket.retryDemand -= min(bucket.retryDemand, refilled)
			bucket.level = min(bucket.level+refilled, bucket.maxLevel())
			bucket.unknown = min(bucket.unknown, bucket.share.burst-min(bucket.level, bucket.share.burst))
			bucket.refilledAt = next
		}
		bucket.expire(next)
		if !next.Before(at) {
			return
		}
	}
}

// nextExpiry returns the first instant at which tokens expire, at most at.
func (bucket *bucket) nextExpiry(at time.Time) time.Time {
	if len(bucket.permits) > 0 {
		at = earlier(at, bucket.permits[0].expiresAt)
	}
	for _, loan := range bucket.loans {
		if len(loan.batches) > 0 {
			at = earlier(at, loan.batches[0].expiresAt)
		}
	}
	for _, previous := range bucket.previous {
		at = earlier(at, previous.expiresAt)
	}
	return at
}

func earlier(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

// expire removes the tokens that can no longer be used at an instant.
func (bucket *bucket) expire(at time.Time) {
	for len(bucket.permits) > 0 && !at.Before(bucket.permits[0].expiresAt) {
		bucket.permitted -= bucket.permits[0].count
		bucket.permits = bucket.permits[1:]
	}
	for borrower, loan := range bucket.loans {
		bucket.expireBatches(loan, at)
		if len(loan.batches) == 0 {
			delete(bucket.loans, borrower)
		}
	}
	kept := bucket.previous[:0]
	for _, previous := range bucket.previous {
		if at.Before(previous.expiresAt) {
			kept = append(kept, previous)
		}
	}
	bucket.previous = kept
}

func (bucket *bucket) expireBatches(loan *loan, now time.Time) {
	for len(loan.batches) > 0 && !now.Before(loan.batches[0].expiresAt) {
		bucket.lent -= loan.batches[0].count
		loan.settled += loan.batches[0].count
		loan.batches = loan.batches[1:]
	}
}

// maxLevel returns the burst less the tokens of this and of a previous home that may
// not have been used yet.
func (bucket *bucket) maxLevel() uint64 {
	granted := uint64(0)
	for _, previous := range bucket.previous {
		granted = max(granted, previous.tokens)
	}
	outstanding := granted + (bucket.lent+bucket.permitted)*nanosPerToken
	if outstanding >= bucket.share.burst {
		return 0
	}
	return bucket.share.burst - outstanding
}

// reserve takes one token that exists at most maxWait after now, and returns
// how long it takes until then.
func (bucket *bucket) reserve(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	latest := now.Add(maxWait)
	if bucket.closed || bucket.refilledAt.After(latest) {
		return 0, false
	}
	for bucket.level < nanosPerToken {
		next := bucket.nextChange()
		if next.After(latest) {
			return 0, false
		}
		bucket.advanceTo(next)
	}
	bucket.level -= nanosPerToken
	return max(0, bucket.refilledAt.Sub(now)), true
}

// nextChange returns the next instant at which the level can reach a whole
// token: when the rate has yielded it, or when granted tokens that may not have
// been used yet expire and no longer hold the level down.
func (bucket *bucket) nextChange() time.Time {
	next := bucket.refilledAt.Add(maxRetryAfter)
	if bucket.maxLevel() >= nanosPerToken {
		next = bucket.refilledAt.Add(refillTime(bucket.share.rate, nanosPerToken-min(bucket.level, nanosPerToken)))
	}
	return bucket.nextExpiry(next)
}

// addPermits records tokens that were granted to pending requests.
func (bucket *bucket) addPermits(count uint64, expiresAt time.Time) {
	bucket.permitted += count
	// A lower rate or burst can change the time to live between two grants.
	if last := len(bucket.permits) - 1; last >= 0 && expiresAt.Before(bucket.permits[last].expiresAt) {
		expiresAt = bucket.permits[last].expiresAt
	}
	bucket.permits = append(bucket.permits, batch{count: count, expiresAt: expiresAt})
}

// grantPending grants the tokens for pending requests: those that exist now, or
// one that the first request has to wait for.
func (bucket *bucket) grantPending(request LoanRequest, now time.Time) LoanResponse {
	var response LoanResponse
	for response.Granted < request.Need {
		maxWait := time.Duration(0)
		if response.Granted == 0 && request.Permits {
			maxWait = min(request.MaxWait, MaxTokenWait)
		}
		wait, granted := bucket.reserve(now, maxWait)
		if !granted {
			break
		}
		response.Granted++
		response.Wait += wait
		if wait > 0 {
			break
		}
	}
	if response.Granted == 0 {
		return response
	}
	if !request.Permits {
		bucket.lend(request, uint64(response.Granted), now)
		return response
	}
	ttl := bucket.share.permitTTL()
	response.UseWithin = borrowerPermitTTL(ttl)
	bucket.addPermits(uint64(response.Granted), now.Add(response.Wait+ttl))
	return response
}

// prefetch grants tokens for requests that are expected soon: a fraction of
// what is left, which shrinks with the number of borrowers.
func (bucket *bucket) prefetch(request LoanRequest, now time.Time) uint64 {
	if bucket.closed || bucket.refilledAt.After(now) {
		return 0
	}
	limit := bucket.share.maxPrefetched()
	granted := min(
		uint64(max(request.Prefetch, 0)),
		bucket.level/nanosPerToken/uint64(2*len(bucket.loans)+2),
		limit-min(limit, bucket.lent),
	)
	if granted == 0 {
		return 0
	}
	bucket.level -= granted * nanosPerToken
	bucket.lend(request, granted, now)
	return granted
}

// lend records tokens that a borrower may spend until BorrowerLoanTTL.
func (bucket *bucket) lend(request LoanRequest, count uint64, now time.Time) {
	existing, found := bucket.loans[request.Borrower]
	if !found {
		existing = &loan{settled: request.Settled}
		bucket.loans[request.Borrower] = existing
	}
	bucket.lent += count
	existing.batches = append(existing.batches, batch{count: count, expiresAt: now.Add(LenderLoanTTL)})
}

// settle processes a borrower's cumulative count of prefetched tokens that it
// has spent or discarded.
func (bucket *bucket) settle(borrower Borrower, settled uint64) {
	existing, found := bucket.loans[borrower]
	if !found {
		return
	}
	for len(existing.batches) > 0 && existing.settled < settled {
		returned := min(settled-existing.settled, existing.batches[0].count)
		existing.batches[0].count -= returned
		existing.settled += returned
		bucket.lent -= returned
		if existing.batches[0].count == 0 {
			existing.batches = existing.batches[1:]
		}
	}
	if len(existing.batches) == 0 {
		delete(bucket.loans, borrower)
	}
}

// refuse records refused requests and returns when to try again.
func (bucket *bucket) refuse(requests int, again bool, now time.Time) Refusal {
	if bucket.closed {
		return Refusal{RetryAfter: minRecoveryPoll, Closed: true}
	}
	if again && bucket.unknown > 0 {
		// The request is part of the demand already, and waits at its host.
		wait := max(0, bucket.nextChange().Sub(now))
		return Refusal{RetryAfter: min(max(wait, minRecoveryPoll), maxRetryAfter), Recovering: true}
	}
	bucket.recordRefused(requests)
	return Refusal{RetryAfter: bucket.retryAfter(now), Recovering: bucket.recovering()}
}

// recordRefused adds refused requests to the demand expected from retries.
func (bucket *bucket) recordRefused(requests int) {
	bucket.retryDemand = min(bucket.retryDemand+uint64(max(requests, 0))*nanosPerToken, bucket.share.rate*uint64(maxRetryAfter/time.Second))
}

// retryAfter returns when the request that was refused last can expect a
// token, assuming that all requests refused before it are retried first.
func (bucket *bucket) retryAfter(now time.Time) time.Duration {
	if bucket.share.rate == 0 {
		return LenderLoanTTL
	}
	missing := max(bucket.retryDemand, nanosPerToken) - min(bucket.level, nanosPerToken)
	from := bucket.refilledAt
	if bucket.maxLevel() < nanosPerToken {
		from = bucket.nextExpiry(from.Add(maxRetryAfter))
	}
	return max(0, from.Sub(now)) + refillTime(bucket.share.rate, missing)
}

// recovering reports whether an exact bucket might have had tokens for all
// refused requests, so that they are refused only because the home does not know
// how many were left.
func (bucket *bucket) recovering() bool {
	return bucket.unknown > 0 && bucket.retryDemand <= bucket.level+bucket.unknown
}

// refill returns what a rate yields in the elapsed time, rounded down.
func refill(rate uint64, elapsed time.Duration) uint64 {
	if elapsed <= 0 {
		return 0
	}
	high, low := bits.Mul64(rate, uint64(elapsed))
	if high >= nanosPerSecond {
		return 1 << 62
	}
	quotient, _ := bits.Div64(high, low, nanosPerSecond)
	return quotient
}

// refillTime returns how long a rate takes to yield a part of a token, rounded
// up.
func refillTime(rate, tokens uint64) time.Duration {
	if rate == 0 {
		return LenderLoanTTL
	}
	high, low := bits.Mul64(tokens, nanosPerSecond)
	if high >= rate {
		return LenderLoanTTL
	}
	quotient, rest := bits.Div64(high, low, rate)
	if rest > 0 {
		quotient++
	}
	return time.Duration(quotient)
}
