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
	// aheadTime is for how long tokens are borrowed ahead of need.
	aheadTime = 400 * time.Millisecond
	// emptyMax bounds how long an account is taken for empty without asking.
	emptyMax = 50 * time.Millisecond
)

// LoanCache holds the tokens that this host borrowed. Its zero value works.
type LoanCache struct {
	// Borrower names this run of this daemon.
	Borrower Borrower

	accounts shard.Map[balsamproxy.ClientAccountID, *purse]
}

// purse is what this host borrowed for one account.
type purse struct {
	mutex      sync.Mutex
	homes      map[balsamproxy.HostID]*credit
	demand     float64
	demandAt   time.Time
	emptyUntil time.Time
	// wait is when a home expected to have a token, and refused counts the
	// requests that were refused since without asking it.
	wait    time.Duration
	refused int
}

// credit is what is borrowed from one home.
type credit struct {
	lots []lot
	done uint64
	// told is the part of done that the home knows.
	told uint64
}

func (holder *LoanCache) purse(account balsamproxy.ClientAccountID) *purse {
	var found *purse
	holder.accounts.Update(account, func(held *purse) *purse {
		if held == nil {
			held = &purse{homes: map[balsamproxy.HostID]*credit{}}
		}
		found = held
		return held
	})
	return found
}

// Spend takes one borrowed token, if there is one that may still be spent.
func (holder *LoanCache) Spend(account balsamproxy.ClientAccountID, now time.Time) bool {
	purse := holder.purse(account)
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.note(now)
	return purse.spend(now)
}

// note counts one request towards the demand.
func (purse *purse) note(now time.Time) {
	elapsed := now.Sub(purse.demandAt)
	purse.demandAt = now
	keep := max(0, 1-float64(elapsed)/float64(demandWindow))
	purse.demand = purse.demand*keep + 1
}

func (purse *purse) spend(now time.Time) bool {
	for _, credit := range purse.homes {
		credit.drop(now)
		if len(credit.lots) > 0 {
			credit.take()
			return true
		}
	}
	return false
}

// drop gives up tokens that may no longer be spent.
func (credit *credit) drop(now time.Time) {
	for len(credit.lots) > 0 && !now.Before(credit.lots[0].until) {
		credit.done += credit.lots[0].count
		credit.lots = credit.lots[1:]
	}
}

func (credit *credit) take() {
	credit.done++
	credit.lots[0].count--
	if credit.lots[0].count == 0 {
		credit.lots = credit.lots[1:]
	}
}

// Request returns the request to a home for a number of tokens needed now.
func (holder *LoanCache) Request(account balsamproxy.ClientAccountID, home balsamproxy.HostID, need int, now time.Time) LoanRequest {
	purse := holder.purse(account)
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	credit := purse.credit(home)
	credit.drop(now)
	credit.told = credit.done
	refused := purse.refused
	purse.refused = 0
	return LoanRequest{
		Account:  account,
		Borrower: holder.Borrower,
		Need:     need,
		Prefetch: purse.ahead(),
		Settled:  credit.done,
		Refused:  refused,
	}
}

func (purse *purse) credit(home balsamproxy.HostID) *credit {
	held, found := purse.homes[home]
	if !found {
		held = &credit{}
		purse.homes[home] = held
	}
	return held
}

// ahead returns how many tokens the demand of a short time takes.
func (purse *purse) ahead() int {
	return int(purse.demand * float64(aheadTime) / float64(demandWindow))
}

// AddGranted adds what a home granted to a request that was sent at an instant, and
// spends need of it at once. It returns how many it could spend.
func (holder *LoanCache) AddGranted(account balsamproxy.ClientAccountID, home balsamproxy.HostID, answer LoanResponse, sentAt, now time.Time, need int) int {
	purse := holder.purse(account)
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	credit := purse.credit(home)
	if answer.Granted > 0 {
		credit.lots = append(credit.lots, lot{count: uint64(answer.Granted), until: sentAt.Add(BorrowerLoanTTL)})
	}
	spent := 0
	for spent < need && purse.spend(now) {
		spent++
	}
	return spent
}

// MarkEmpty notes that all homes answered that they have no token for some time.
func (holder *LoanCache) MarkEmpty(account balsamproxy.ClientAccountID, wait time.Duration, now time.Time) {
	purse := holder.purse(account)
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.emptyUntil = now.Add(min(wait, emptyMax))
	purse.wait = wait
}

// RefuseLocally says whether a request should be refused without asking, since no home
// is expected to have a token, and when it should come back.
func (holder *LoanCache) RefuseLocally(account balsamproxy.ClientAccountID, now time.Time) (time.Duration, bool) {
	purse := holder.purse(account)
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	if !now.Before(purse.emptyUntil) {
		return 0, false
	}
	purse.refused++
	return max(purse.wait, purse.emptyUntil.Sub(now)), true
}

// Report is something that a home should be told.
type Report struct {
	Account balsamproxy.ClientAccountID
	Home    balsamproxy.HostID
}

// PendingReports returns the homes that do not know yet what was spent.
func (holder *LoanCache) PendingReports(now time.Time) []Report {
	reports := []Report{}
	holder.accounts.Each(func(account balsamproxy.ClientAccountID, purse *purse) {
		purse.mutex.Lock()
		defer purse.mutex.Unlock()
		for home, credit := range purse.homes {
			credit.drop(now)
			if credit.told != credit.done {
				reports = append(reports, Report{Account: account, Home: home})
			}
		}
	})
	return reports
}
