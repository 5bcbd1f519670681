package allowance

import (
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/shard"
)

// waitMax bounds the time after which a refused request is told to come back:
// callers that wait for longer are rare.
const waitMax = 4 * time.Second

// Borrower names one run of a borrowing daemon.
type Borrower struct {
	Host        balsamproxy.HostID `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
}

// LoanRequest asks a home for tokens.
type LoanRequest struct {
	Account  balsamproxy.ClientAccountID `cbor:"1,keyasint"`
	Borrower Borrower                    `cbor:"2,keyasint"`
	// Need is the number of tokens for requests in hand.
	Need int `cbor:"3,keyasint"`
	// Prefetch is the number of tokens that will soon be needed.
	Prefetch int `cbor:"4,keyasint"`
	// Settled is the number of tokens of all former loans of this account and
	// home that were spent or dropped.
	Settled uint64 `cbor:"5,keyasint"`
	// Refused is the number of requests that were refused without asking.
	Refused int `cbor:"6,keyasint,omitempty"`
}

// LoanResponse is a home's answer.
type LoanResponse struct {
	Granted int `cbor:"1,keyasint"`
	// RetryAfter is when the home expects to have a token again, if it granted
	// none.
	RetryAfter time.Duration `cbor:"2,keyasint"`
}

// Lender holds the shares that this host is home of. Its zero value works.
type Lender struct {
	buckets shard.Map[balsamproxy.ClientAccountID, *bucket]
}

// bucket is this home's share of one account.
type bucket struct {
	mutex sync.Mutex
	share Share
	// level is what can be lent, in billionths of a token.
	level uint64
	// lent is the number of tokens that may still be spent elsewhere.
	lent uint64
	// formerLent is what a former home may have lent, until formerUntil, in
	// billionths of a token.
	formerLent  uint64
	formerUntil time.Time
	// floor is what is left to the next home, in billionths of a token.
	floor uint64
	// debt is what refused requests will ask for when they come back, in
	// billionths of a token.
	debt uint64
	// closed says that another home follows: nothing is lent any more.
	closed  bool
	at      time.Time
	startAt time.Time
	loans   map[Borrower]*loan
}

// loan is what one borrower has of one account.
type loan struct {
	done uint64
	lots []lot
}

// lot is a number of tokens lent together.
type lot struct {
	count uint64
	until time.Time
}

// BecomeHome makes this host a home of an account from an instant on. It lends
// nothing for the time in which tokens of a former home may still be spent.
func (lender *Lender) BecomeHome(account balsamproxy.ClientAccountID, now time.Time) {
	lender.buckets.Put(account, &bucket{startAt: now.Add(LenderLoanTTL), loans: map[Borrower]*loan{}})
}

// Open makes this host the only home of an account from an instant on, when no
// other home can lend any more. A new fleet begins with the whole burst; after
// another home it begins with what that one left, and until the former loans
// have ended the level does not rise above that.
func (lender *Lender) Open(account balsamproxy.ClientAccountID, share Share, left Remainder, now time.Time) {
	opened := &bucket{startAt: now, at: now, share: share, loans: map[Borrower]*loan{}}
	opened.level = share.burst
	if !left.Full {
		opened.level = min(uint64(max(left.Tokens, 0))*nanosPerToken, share.burst)
		opened.formerLent = share.burst - opened.level
		opened.formerUntil = now.Add(BorrowerLoanTTL)
	}
	lender.buckets.Put(account, opened)
}

// Retain ends this host's share of all accounts that fail a test.
func (lender *Lender) Retain(keep func(balsamproxy.ClientAccountID) bool) {
	resigned := []balsamproxy.ClientAccountID{}
	lender.buckets.Each(func(account balsamproxy.ClientAccountID, _ *bucket) {
		if !keep(account) {
			resigned = append(resigned, account)
		}
	})
	for _, account := range resigned {
		lender.buckets.Delete(account)
	}
}

// IsHome says whether Become was called for an account.
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
	bucket.refuse(request.Refused)
	granted := bucket.grant(request.Need, request.Prefetch)
	if granted == 0 {
		bucket.refuse(request.Need)
		return LoanResponse{RetryAfter: bucket.wait()}
	}
	bucket.level -= granted * nanosPerToken
	bucket.lent += granted
	loan := bucket.loans[request.Borrower]
	loan.lots = append(loan.lots, lot{count: granted, until: now.Add(LenderLoanTTL)})
	return LoanResponse{Granted: int(granted)}
}

// Spend takes one token for a request on this host.
func (lender *Lender) Spend(account balsamproxy.ClientAccountID, share Share, now time.Time) bool {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return false
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	bucket.advance(share, now)
	if bucket.free() < nanosPerToken {
		bucket.refuse(1)
		return false
	}
	bucket.level -= nanosPerToken
	return true
}

// RetryAfter returns when a home expects to have a token of an account again.
func (lender *Lender) RetryAfter(account balsamproxy.ClientAccountID) time.Duration {
	bucket, found := lender.buckets.Get(account)
	if !found {
		return LenderLoanTTL
	}
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	return bucket.wait()
}

// advance lets time pass: old loans end and the level rises to what the share
// and the loans leave room for.
func (bucket *bucket) advance(share Share, now time.Time) {
	if bucket.at.IsZero() {
		bucket.at = bucket.startAt
		bucket.share = share
	}
	for borrower, loan := range bucket.loans {
		bucket.expire(loan, now)
		if len(loan.lots) == 0 && now.Sub(bucket.at) > LenderLoanTTL {
			delete(bucket.loans, borrower)
		}
	}
	if !now.Before(bucket.formerUntil) {
		bucket.formerLent = 0
	}
	if now.After(bucket.at) {
		refilled := refill(bucket.share.rate, now.Sub(bucket.at))
		bucket.level += refilled
		bucket.debt -= min(bucket.debt, refilled)
		bucket.at = now
	}
	bucket.level = min(bucket.level, bucket.room())
	bucket.share = share
	bucket.level = min(bucket.level, bucket.room())
}

// room returns how high the level may be while tokens are lent.
func (bucket *bucket) room() uint64 {
	lent := max(bucket.lent*nanosPerToken, bucket.formerLent)
	if lent >= bucket.share.burst {
		return 0
	}
	return bucket.share.burst - lent
}

func (bucket *bucket) expire(loan *loan, now time.Time) {
	for len(loan.lots) > 0 && !now.Before(loan.lots[0].until) {
		bucket.lent -= loan.lots[0].count
		loan.done += loan.lots[0].count
		loan.lots = loan.lots[1:]
	}
}

// settle takes a borrower's count of tokens that it will not spend any more.
func (bucket *bucket) settle(borrower Borrower, done uint64) {
	held, found := bucket.loans[borrower]
	if !found {
		held = &loan{done: done}
		bucket.loans[borrower] = held
		return
	}
	for len(held.lots) > 0 && held.done < done {
		ended := min(done-held.done, held.lots[0].count)
		held.lots[0].count -= ended
		held.done += ended
		bucket.lent -= ended
		if held.lots[0].count == 0 {
			held.lots = held.lots[1:]
		}
	}
}

// grant returns how many tokens to lend: what is needed now if it is there,
// and of what is needed soon no more than a part of the rest.
func (bucket *bucket) grant(need, ahead int) uint64 {
	whole := bucket.free() / nanosPerToken
	now := min(uint64(max(need, 0)), whole)
	soon := min(uint64(max(ahead, 0)), (whole-now)/uint64(2*len(bucket.loans)+2))
	return now + soon
}

// refuse notes requests that were refused and will come back.
func (bucket *bucket) refuse(requests int) {
	bucket.debt = min(bucket.debt+uint64(max(requests, 0))*nanosPerToken, bucket.share.rate*uint64(waitMax/time.Second))
}

// wait returns when the last request that was refused may find a token, if all
// that were refused before it come back first.
func (bucket *bucket) wait() time.Duration {
	if bucket.share.rate == 0 {
		return LenderLoanTTL
	}
	missing := max(bucket.debt, nanosPerToken) - min(bucket.free(), nanosPerToken)
	return time.Duration(float64(missing) / float64(bucket.share.rate) * float64(time.Second))
}
