package allowance

import (
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
	// Settled is the cumulative number of prefetched tokens of this account
	// and home that the borrower has spent or discarded.
	Settled uint64 `cbor:"5,keyasint"`
	// Refused is the number of requests that the borrower refused without
	// asking the home.
	Refused int `cbor:"6,keyasint,omitempty"`
	// MaxWait is how long the pending request can wait for a token.
	MaxWait time.Duration `cbor:"7,keyasint,omitempty"`
	// Permits is set by borrowers that use a needed token within the use-by
	// time of its permit, or not at all. Earlier versions may use it until
	// BorrowerLoanTTL, like a prefetched one.
	Permits bool `cbor:"8,keyasint,omitempty"`
	// Again is set for a request that a recovering home has refused before.
	Again bool `cbor:"9,keyasint,omitempty"`
}

// LoanResponse is a home's response to a LoanRequest.
type LoanResponse struct {
	// Granted is the number of tokens granted, including Prefetched.
	Granted int `cbor:"1,keyasint"`
	// RetryAfter is when the home expects to have a token again, if it
	// granted none.
	RetryAfter time.Duration `cbor:"2,keyasint"`
	// Prefetched is the number of granted tokens that are not for a pending
	// request.
	Prefetched int `cbor:"3,keyasint,omitempty"`
	// Wait is how long the borrower has to wait before it uses a needed token.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// UseWithin is how long a needed token can be used after Wait, counted from
	// before the request was sent. Zero means BorrowerLoanTTL.
	UseWithin time.Duration `cbor:"5,keyasint,omitempty"`
	// Recovering is set if a token is missing only because the home has taken
	// over without knowing how many were left.
	Recovering bool `cbor:"6,keyasint,omitempty"`
	// Closed is set if nothing was granted because this home has ended its term. It
	// is not sent: such a daemon does not respond as a home.
	Closed bool `cbor:"-"`
}

// Lender manages the token buckets of the accounts that this host is a home
// of. Its zero value is ready to use.
type Lender struct {
	buckets shard.Map[balsamproxy.ClientAccountID, *bucket]
}

// BecomeHome makes this host a home of an account. It lends nothing until all
// tokens that a previous home lent have expired.
func (lender *Lender) BecomeHome(account balsamproxy.ClientAccountID, now time.Time) {
	lender.buckets.Put(account, &bucket{openedAt: now, refilledAt: now.Add(LenderLoanTTL), loans: map[Borrower]*loan{}})
}

// Open makes this host the only home of an account. It must be called only
// when no other home can grant tokens any more.
func (lender *Lender) Open(account balsamproxy.ClientAccountID, share Share, remainder Remainder, now time.Time) {
	lender.buckets.Put(account, openBucket(share, remainder, now))
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
	now = bucket.advance(share, now)
	bucket.settle(request.Borrower, request.Settled)
	bucket.recordRefused(request.Refused)
	response := bucket.grantPending(request, now)
	if request.Need > 0 && response.Granted == 0 {
		refusal := bucket.refuse(request.Need, request.Again, now)
		return LoanResponse{RetryAfter: refusal.RetryAfter, Recovering: refusal.Recovering, Closed: refusal.Closed}
	}
	response.Prefetched = int(bucket.prefetch(request, now))
	response.Granted += response.Prefetched
	return response
}

// Spend takes one token for a request on this host that is sent at once, and
// reports whether there was one.
func (lender *Lender) Spend(account balsamproxy.ClientAccountID, share Share, now time.Time) bool {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return false
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	_, granted := bucket.reserve(bucket.advance(share, now), 0)
	if !granted {
		bucket.recordRefused(1)
	}
	return granted
}

// Reserve takes one token for a request on this host that can wait for at most
// maxWait. It returns a refusal if there is none in that time. Again is set for a
// request that was refused before because the home was recovering.
func (lender *Lender) Reserve(account balsamproxy.ClientAccountID, share Share, maxWait time.Duration, again bool, now time.Time) (balsamproxy.Permit, *Refusal) {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return balsamproxy.Permit{}, &Refusal{RetryAfter: LenderLoanTTL}
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	handledAt := bucket.advance(share, now)
	wait, granted := bucket.reserve(handledAt, min(maxWait, MaxTokenWait))
	if !granted {
		refusal := bucket.refuse(1, again, handledAt)
		return balsamproxy.Permit{}, &refusal
	}
	ttl := bucket.share.permitTTL()
	bucket.addPermits(1, handledAt.Add(wait+ttl))
	// The permit counts from now, at which the caller knew that it was the home.
	return balsamproxy.Permit{NotBefore: handledAt.Add(wait), UseBy: now.Add(wait + borrowerPermitTTL(ttl))}, nil
}

// Refusal describes why an account's home has no token.
type Refusal struct {
	// RetryAfter is how long it takes until the refused request can expect a
	// token.
	RetryAfter time.Duration
	// Recovering is set if a token is missing only because the home has taken
	// over without knowing how many were left.
	Recovering bool
	// Closed is set if this home has ended its term. The next home decides.
	Closed bool
}

// Level describes a token bucket, for logs.
type Level struct {
	// Tokens is what can be granted at once.
	Tokens float64
	// Lent is the number of tokens granted that may not have been used yet.
	Lent float64
	// Reserved is how far grants reach into the future.
	Reserved time.Duration
	// Age is the time since this host became home of the account.
	Age time.Duration
}

// Level returns the state of an account's bucket.
func (lender *Lender) Level(account balsamproxy.ClientAccountID, now time.Time) Level {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return Level{}
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	return Level{
		Tokens:   float64(bucket.level) / nanosPerToken,
		Lent:     float64(bucket.lent + bucket.permitted),
		Reserved: max(0, bucket.refilledAt.Sub(now)),
		Age:      now.Sub(bucket.openedAt),
	}
}
