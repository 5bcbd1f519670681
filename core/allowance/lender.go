package allowance

import (
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/shard"
)

// maxRetryAfter bounds the retry delay given to refused requests. Callers
// rarely wait longer than this.
const maxRetryAfter = 4 * time.Second

// Borrower identifies one run of a borrowing daemon.
type Borrower struct {
	Host        balsamproxy.HostID `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
}

// LoanRequest asks a home for tokens.
type LoanRequest struct {
	Account  balsamproxy.ClientAccountID `cbor:"1,keyasint"`
	Borrower Borrower                    `cbor:"2,keyasint"`
	// Need is the number of tokens for pending requests.
	Need int `cbor:"3,keyasint"`
	// Prefetch is the number of tokens for requests that are expected soon.
	Prefetch int `cbor:"4,keyasint"`
	// Settled is the cumulative number of tokens of this account and home
	// that the borrower has spent or discarded.
	Settled uint64 `cbor:"5,keyasint"`
	// Refused is the number of requests that the borrower refused without
	// asking the home.
	Refused int `cbor:"6,keyasint,omitempty"`
}

// LoanResponse is a home's response to a LoanRequest.
type LoanResponse struct {
	Granted int `cbor:"1,keyasint"`
	// RetryAfter is when the home expects to have a token again, if it
	// granted none.
	RetryAfter time.Duration `cbor:"2,keyasint"`
}

// Lender manages the token buckets of the accounts that this host is a home
// of. Its zero value is ready to use.
type Lender struct {
	buckets shard.Map[balsamproxy.ClientAccountID, *bucket]
}

// bucket is the token bucket for this home's share of one account.
type bucket struct {
	mutex sync.Mutex
	share Share
	// level is what can be lent, in billionths of a token.
	level uint64
	// lent is the number of tokens that borrowers may still spend.
	lent uint64
	// previousLent is what a previous home may have lent that can be spent
	// until previousUntil, in billionths of a token.
	previousLent  uint64
	previousUntil time.Time
	// floor is what is reserved for the next home, in billionths of a token.
	floor uint64
	// retryDemand is what refused requests will need when they are retried,
	// in billionths of a token.
	retryDemand uint64
	// closed is set once another home takes over; nothing is lent after that.
	closed    bool
	updatedAt time.Time
	openedAt  time.Time
	loans     map[Borrower]*loan
}

// loan is the state of one borrower of one account.
type loan struct {
	settled uint64
	batches []batch
}

// batch is a number of tokens that were lent together.
type batch struct {
	count     uint64
	expiresAt time.Time
}

// BecomeHome makes this host a home of an account. It lends nothing until all
// tokens that a previous home lent have expired.
func (lender *Lender) BecomeHome(account balsamproxy.ClientAccountID, now time.Time) {
	lender.buckets.Put(account, &bucket{openedAt: now.Add(LenderLoanTTL), loans: map[Borrower]*loan{}})
}

// Open makes this host the only home of an account. It must be called only
// when no other home can lend any more. Without a previous home the bucket
// starts full. Otherwise it starts with the tokens that the previous home left,
// and does not rise above them until the loans of that home have expired.
func (lender *Lender) Open(account balsamproxy.ClientAccountID, share Share, remainder Remainder, now time.Time) {
	opened := &bucket{openedAt: now, updatedAt: now, share: share, loans: map[Borrower]*loan{}}
	opened.level = share.burst
	if !remainder.Full {
		opened.level = min(uint64(max(remainder.Tokens, 0))*nanosPerToken, share.burst)
		opened.previousLent = share.burst - opened.level
		opened.previousUntil = now.Add(BorrowerLoanTTL)
	}
	lender.buckets.Put(account, opened)
}

// Retain deletes the buckets of all accounts for which keep returns false.
func (lender *Lender) Retain(keep func(balsamproxy.ClientAccountID) bool) {
	removed := []balsamproxy.ClientAccountID{}
	lender.buckets.Each(func(account balsamproxy.ClientAccountID, _ *bucket) {
		if !keep(account) {
			removed = append(removed, account)
		}
	})
	for _, account := range removed {
		lender.buckets.Delete(account)
	}
}

// IsHome reports whether this host has a bucket for an account.
func (lender *Lender) IsHome(account balsamproxy.ClientAccountID) bool {
	_, found := lender.buckets.Get(account)
	return found
}

// Lend grants tokens to another host.
func (lender *Lender) Lend(request LoanRequest, share Share, now time.Time) LoanResponse {
	bucket, found := lender.buckets.Get(request.Account)
	if !found {
		return LoanResponse{}
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	bucket.advance(share, now)
	bucket.settle(request.Borrower, request.Settled)
	bucket.recordRefused(request.Refused)
	granted := bucket.grantable(request.Need, request.Prefetch)
	if granted == 0 {
		bucket.recordRefused(request.Need)
		return LoanResponse{RetryAfter: bucket.retryAfter()}
	}
	bucket.level -= granted * nanosPerToken
	bucket.lent += granted
	loan := bucket.loans[request.Borrower]
	loan.batches = append(loan.batches, batch{count: granted, expiresAt: now.Add(LenderLoanTTL)})
	return LoanResponse{Granted: int(granted)}
}

// Spend takes one token for a request on this host and reports whether there
// was one.
func (lender *Lender) Spend(account balsamproxy.ClientAccountID, share Share, now time.Time) bool {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return false
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	bucket.advance(share, now)
	if bucket.available() < nanosPerToken {
		bucket.recordRefused(1)
		return false
	}
	bucket.level -= nanosPerToken
	return true
}

// RetryAfter returns how long it takes until a refused request of an account
// can expect a token.
func (lender *Lender) RetryAfter(account balsamproxy.ClientAccountID) time.Duration {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return LenderLoanTTL
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	return bucket.retryAfter()
}

// advance brings the bucket up to date: it expires old loans and refills the
// level, up to what the share and the outstanding loans permit.
func (bucket *bucket) advance(share Share, now time.Time) {
	if bucket.updatedAt.IsZero() {
		bucket.updatedAt = bucket.openedAt
		bucket.share = share
	}
	for borrower, loan := range bucket.loans {
		bucket.expireBatches(loan, now)
		if len(loan.batches) == 0 && now.Sub(bucket.updatedAt) > LenderLoanTTL {
			delete(bucket.loans, borrower)
		}
	}
	if !now.Before(bucket.previousUntil) {
		bucket.previousLent = 0
	}
	if now.After(bucket.updatedAt) {
		refilled := refill(bucket.share.rate, now.Sub(bucket.updatedAt))
		bucket.level += refilled
		bucket.retryDemand -= min(bucket.retryDemand, refilled)
		bucket.updatedAt = now
	}
	bucket.level = min(bucket.level, bucket.maxLevel())
	bucket.share = share
	bucket.level = min(bucket.level, bucket.maxLevel())
}

// maxLevel returns the burst less the tokens on loan.
func (bucket *bucket) maxLevel() uint64 {
	lent := max(bucket.lent*nanosPerToken, bucket.previousLent)
	if lent >= bucket.share.burst {
		return 0
	}
	return bucket.share.burst - lent
}

func (bucket *bucket) expireBatches(loan *loan, now time.Time) {
	for len(loan.batches) > 0 && !now.Before(loan.batches[0].expiresAt) {
		bucket.lent -= loan.batches[0].count
		loan.settled += loan.batches[0].count
		loan.batches = loan.batches[1:]
	}
}

// settle processes a borrower's cumulative count of tokens that it has spent
// or discarded.
func (bucket *bucket) settle(borrower Borrower, settled uint64) {
	existing, found := bucket.loans[borrower]
	if !found {
		existing = &loan{settled: settled}
		bucket.loans[borrower] = existing
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
}

// grantable returns how many tokens to lend: as many of the needed ones as are
// available, and for prefetching at most a fraction of the rest, which shrinks
// with the number of borrowers.
func (bucket *bucket) grantable(need, prefetch int) uint64 {
	tokens := bucket.available() / nanosPerToken
	needed := min(uint64(max(need, 0)), tokens)
	prefetched := min(uint64(max(prefetch, 0)), (tokens-needed)/uint64(2*len(bucket.loans)+2))
	return needed + prefetched
}

// recordRefused adds refused requests to the demand expected from retries.
func (bucket *bucket) recordRefused(requests int) {
	bucket.retryDemand = min(bucket.retryDemand+uint64(max(requests, 0))*nanosPerToken, bucket.share.rate*uint64(maxRetryAfter/time.Second))
}

// retryAfter returns when the request that was refused last can expect a
// token, assuming that all requests refused before it are retried first.
func (bucket *bucket) retryAfter() time.Duration {
	if bucket.share.rate == 0 {
		return LenderLoanTTL
	}
	missing := max(bucket.retryDemand, nanosPerToken) - min(bucket.available(), nanosPerToken)
	return time.Duration(float64(missing) / float64(bucket.share.rate) * float64(time.Second))
}
