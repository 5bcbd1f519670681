package allowance

import (
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/shard"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 500 * time.Millisecond
	// prefetchTime is the period for which tokens are borrowed in advance.
	prefetchTime = 400 * time.Millisecond
	// minPrefetchDemand is the demand, in requests within demandWindow, from
	// which tokens are borrowed in advance.
	minPrefetchDemand = 4
	// maxEmptyTime bounds how long an account is considered empty before its
	// homes are asked again.
	maxEmptyTime = 50 * time.Millisecond
)

// LoanCache holds the tokens that this host has borrowed. Its zero value is
// ready to use.
type LoanCache struct {
	// Borrower identifies this run of this daemon.
	Borrower Borrower

	accounts shard.Map[balsamproxy.ClientAccountID, *accountLoans]
}

// accountLoans is what this host has borrowed for one account.
type accountLoans struct {
	mutex      sync.Mutex
	homes      map[balsamproxy.HostID]*credit
	demand     float64
	demandAt   time.Time
	emptyUntil time.Time
	// retryAfter is when a home expected to have a token, and refused counts
	// the requests that have been refused since without asking it.
	retryAfter time.Duration
	refused    int
}

// credit is what is borrowed from one home.
type credit struct {
	batches []batch
	settled uint64
	// reported is the part of settled that was sent to the home.
	reported uint64
}

func (cache *LoanCache) accountLoans(account balsamproxy.ClientAccountID) *accountLoans {
	var found *accountLoans
	cache.accounts.Update(account, func(existing *accountLoans) *accountLoans {
		if existing == nil {
			existing = &accountLoans{homes: map[balsamproxy.HostID]*credit{}}
		}
		found = existing
		return existing
	})
	return found
}

// Spend takes one token that was borrowed in advance and has not expired. It returns
// false if there is none.
func (cache *LoanCache) Spend(account balsamproxy.ClientAccountID, now time.Time) (balsamproxy.Permit, bool) {
	accountLoans := cache.accountLoans(account)
	accountLoans.mutex.Lock()
	defer accountLoans.mutex.Unlock()
	accountLoans.recordDemand(now)
	return accountLoans.spend(now)
}

// recordDemand counts one request towards the demand.
func (accountLoans *accountLoans) recordDemand(now time.Time) {
	elapsed := now.Sub(accountLoans.demandAt)
	accountLoans.demandAt = now
	decay := max(0, 1-float64(elapsed)/float64(demandWindow))
	accountLoans.demand = accountLoans.demand*decay + 1
}

func (accountLoans *accountLoans) spend(now time.Time) (balsamproxy.Permit, bool) {
	for _, credit := range accountLoans.homes {
		credit.discardExpired(now)
		if len(credit.batches) > 0 {
			permit := balsamproxy.Permit{NotBefore: now, UseBy: credit.batches[0].expiresAt}
			credit.takeToken()
			return permit, true
		}
	}
	return balsamproxy.Permit{}, false
}

func (credit *credit) discardExpired(now time.Time) {
	for len(credit.batches) > 0 && !now.Before(credit.batches[0].expiresAt) {
		credit.settled += credit.batches[0].count
		credit.batches = credit.batches[1:]
	}
}

func (credit *credit) takeToken() {
	credit.settled++
	credit.batches[0].count--
	if credit.batches[0].count == 0 {
		credit.batches = credit.batches[1:]
	}
}

// Request returns the request to send to a home for need tokens for pending
// requests, which can wait for at most maxWait. It counts as reported what the
// request says was settled.
func (cache *LoanCache) Request(account balsamproxy.ClientAccountID, home balsamproxy.HostID, need int, maxWait time.Duration, now time.Time) LoanRequest {
	accountLoans := cache.accountLoans(account)
	accountLoans.mutex.Lock()
	defer accountLoans.mutex.Unlock()
	credit := accountLoans.credit(home)
	credit.discardExpired(now)
	credit.reported = credit.settled
	refused := accountLoans.refused
	accountLoans.refused = 0
	return LoanRequest{
		Account:  account,
		Borrower: cache.Borrower,
		Need:     need,
		Prefetch: accountLoans.prefetch(),
		Settled:  credit.settled,
		Refused:  refused,
		MaxWait:  maxWait,
		Permits:  true,
	}
}

func (accountLoans *accountLoans) credit(home balsamproxy.HostID) *credit {
	existing, found := accountLoans.homes[home]
	if !found {
		existing = &credit{}
		accountLoans.homes[home] = existing
	}
	return existing
}

// prefetch returns how many tokens the current demand uses in prefetchTime, or
// none if most of them would expire unused.
func (accountLoans *accountLoans) prefetch() int {
	if accountLoans.demand < minPrefetchDemand {
		return 0
	}
	return int(accountLoans.demand * float64(prefetchTime) / float64(demandWindow))
}

// AddGranted adds the tokens that a home granted in advance to a request sent
// at sentAt. It returns the permit for the pending request, or false if there is
// none or it has expired on the way.
func (cache *LoanCache) AddGranted(account balsamproxy.ClientAccountID, home balsamproxy.HostID, response LoanResponse, sentAt, now time.Time) (balsamproxy.Permit, bool) {
	accountLoans := cache.accountLoans(account)
	accountLoans.mutex.Lock()
	defer accountLoans.mutex.Unlock()
	if response.Prefetched > 0 {
		credit := accountLoans.credit(home)
		credit.batches = append(credit.batches, batch{count: uint64(response.Prefetched), expiresAt: sentAt.Add(BorrowerLoanTTL)})
	}
	if response.Granted <= response.Prefetched {
		return balsamproxy.Permit{}, false
	}
	ttl := response.UseWithin
	if ttl == 0 {
		ttl = BorrowerLoanTTL
	}
	permit := balsamproxy.Permit{NotBefore: now.Add(response.Wait), UseBy: sentAt.Add(response.Wait + ttl)}
	return permit, !permit.Expired(permit.NotBefore)
}

// MarkEmpty records that no home has a token for an account and when one is
// expected.
func (cache *LoanCache) MarkEmpty(account balsamproxy.ClientAccountID, retryAfter time.Duration, now time.Time) {
	accountLoans := cache.accountLoans(account)
	accountLoans.mutex.Lock()
	defer accountLoans.mutex.Unlock()
	accountLoans.emptyUntil = now.Add(min(retryAfter, maxEmptyTime))
	accountLoans.retryAfter = retryAfter
}

// RefuseLocally reports whether to refuse a request without asking a home,
// because none is expected to have a token, and after how long to retry it.
func (cache *LoanCache) RefuseLocally(account balsamproxy.ClientAccountID, now time.Time) (time.Duration, bool) {
	accountLoans := cache.accountLoans(account)
	accountLoans.mutex.Lock()
	defer accountLoans.mutex.Unlock()
	if !now.Before(accountLoans.emptyUntil) {
		return 0, false
	}
	accountLoans.refused++
	return max(accountLoans.retryAfter, accountLoans.emptyUntil.Sub(now)), true
}

// Report names a home to which the settled tokens of an account have to be
// reported.
type Report struct {
	Account balsamproxy.ClientAccountID
	Home    balsamproxy.HostID
}

// PendingReports returns the homes to which settled tokens have not been
// reported yet.
func (cache *LoanCache) PendingReports(now time.Time) []Report {
	reports := []Report{}
	cache.accounts.Each(func(account balsamproxy.ClientAccountID, accountLoans *accountLoans) {
		accountLoans.mutex.Lock()
		defer accountLoans.mutex.Unlock()
		for home, credit := range accountLoans.homes {
			credit.discardExpired(now)
			if credit.reported != credit.settled {
				reports = append(reports, Report{Account: account, Home: home})
			}
		}
	})
	return reports
}
