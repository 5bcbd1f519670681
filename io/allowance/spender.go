// Package allowance enforces the rate allowance of client accounts and lends
// tokens between daemons.
package allowance

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	core "balsamproxy/core/allowance"
	"balsamproxy/core/config"
	"balsamproxy/core/membership"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

const (
	// loanTimeout bounds the wait for a response from one home.
	loanTimeout = 150 * time.Millisecond
	// borrowRounds is how often all homes are asked for one token.
	borrowRounds = 3
	// reportInterval is the time between two reports of spent tokens to the
	// homes.
	reportInterval = 50 * time.Millisecond

	kindLoan peer.Kind = "allowance-loan"
)

// Spender spends the allowance of client accounts for requests on this host,
// and lends tokens of the accounts that this host is a home of. Its exported
// fields must be set before use.
type Spender struct {
	Host     balsamproxy.HostID
	Config   *config.Current
	Members  *membership.Table
	Standing balsamproxy.Standing
	Pool     *peer.Pool
	Clock    balsamproxy.Clock
	Metrics  tally.Scope
	Loans    core.LoanCache

	lender  core.Lender
	tracker core.HomesTracker
	// mutex serializes UpdateHomes and becomeHome, so that an account is opened
	// only while this host is still one of its homes.
	mutex sync.Mutex
}

// UpdateHomes applies the shared document that assigns the homes.
func (spender *Spender) UpdateHomes(value []byte, revision balsamproxy.Revision) error {
	var homes core.Homes
	if err := json.Unmarshal(value, &homes); err != nil {
		return err
	}
	spender.mutex.Lock()
	defer spender.mutex.Unlock()
	spender.tracker.Update(homes, revision, spender.Clock.Now())
	spender.lender.Retain(func(account balsamproxy.ClientAccountID) bool {
		return slices.Contains(homes.Of(account), spender.Host)
	})
	return nil
}

// MarkHomesInForce records that a revision of the homes is in force on all
// daemons.
func (spender *Spender) MarkHomesInForce(revision balsamproxy.Revision, now time.Time) {
	spender.tracker.MarkInForce(revision, now)
}

// Homes returns the homes, their revision and whether they are in force.
func (spender *Spender) Homes() (core.Homes, balsamproxy.Revision, bool) {
	return spender.tracker.Homes()
}

func (spender *Spender) limits(account balsamproxy.ClientAccountID) core.Limits {
	index := spender.Config.Index()
	if index == nil {
		return core.Limits{}
	}
	return index.Limits(account)
}

// share returns this host's share of an account, and whether the host may act
// as one of its homes.
func (spender *Spender) share(account balsamproxy.ClientAccountID, now time.Time) (core.Share, bool) {
	share, home := spender.tracker.Share(account, spender.Host, spender.limits(account), now)
	if !home || (!spender.lender.IsHome(account) && !spender.becomeHome(account)) {
		return core.Share{}, false
	}
	return share, true
}

// becomeHome opens an account on this host if the homes are in force and
// assign the account to it.
func (spender *Spender) becomeHome(account balsamproxy.ClientAccountID) bool {
	spender.mutex.Lock()
	defer spender.mutex.Unlock()
	homes, _, inForce := spender.tracker.Homes()
	if !inForce || !slices.Contains(homes.Of(account), spender.Host) {
		return false
	}
	if !spender.lender.IsHome(account) {
		spender.lender.BecomeHome(account, spender.tracker.InForceSince())
	}
	return true
}

// Spend takes the token for one request of an account, or returns a refusal.
func (spender *Spender) Spend(ctx context.Context, account balsamproxy.ClientAccountID) (balsamproxy.Permit, *balsamproxy.Refusal) {
	now := spender.Clock.Now()
	if share, home := spender.share(account, now); home && spender.Standing.Has(now) {
		if permit, refusal := spender.lender.Reserve(account, share, 0, false, now); refusal == nil {
			return permit, nil
		}
	}
	if permit, found := spender.Loans.Spend(account, now); found {
		return permit, nil
	}
	if wait, empty := spender.Loans.RefuseLocally(account, now); empty {
		return balsamproxy.Permit{}, rateExceeded(wait)
	}
	return spender.borrow(ctx, account)
}

func rateExceeded(wait time.Duration) *balsamproxy.Refusal {
	refusal := balsamproxy.NotRun(balsamproxy.ReasonRateExceeded, "the client account is over its rate and burst")
	refusal.RetryAfter = max(wait, time.Millisecond)
	return refusal
}

// borrow requests a token from the other homes, one after another. It asks them again
// while none of them responds in time, since a home that stops or a process that is
// delayed is no reason to refuse a request.
func (spender *Spender) borrow(ctx context.Context, account balsamproxy.ClientAccountID) (balsamproxy.Permit, *balsamproxy.Refusal) {
	wait := core.LenderLoanTTL
	for round := 0; round < borrowRounds && ctx.Err() == nil; round++ {
		answered := false
		for _, home := range spender.homeOrder(account) {
			answer, permit, err := spender.requestLoan(ctx, account, home, 1)
			if permit != nil {
				return *permit, nil
			}
			if err == nil && answer.Granted == 0 {
				answered = true
				wait = min(wait, answer.RetryAfter)
			}
		}
		if answered {
			spender.Loans.MarkEmpty(account, wait, spender.Clock.Now())
			return balsamproxy.Permit{}, rateExceeded(wait)
		}
	}
	return balsamproxy.Permit{}, balsamproxy.NotRun(balsamproxy.ReasonAllowanceUnreachable, "no host that holds this account's allowance answered")
}

// homeOrder returns the other homes of an account, with those in this host's
// data centre first. The order otherwise starts at a random home.
func (spender *Spender) homeOrder(account balsamproxy.ClientAccountID) []balsamproxy.HostID {
	limits := spender.limits(account)
	current, _, _ := spender.tracker.Homes()
	homes := current.Of(account)
	if limits.Rate == 0 || len(homes) == 0 {
		return nil
	}
	used := homes[:core.HomesInUse(len(homes), limits.Burst)]
	start := rand.IntN(len(used))
	homeOrder := append(slices.Clone(used[start:]), used[:start]...)
	own, _ := spender.Members.Member(spender.Host)
	slices.SortStableFunc(homeOrder, func(left, right balsamproxy.HostID) int {
		return spender.distance(own.DataCentre, left) - spender.distance(own.DataCentre, right)
	})
	return slices.DeleteFunc(homeOrder, func(host balsamproxy.HostID) bool { return host == spender.Host })
}

func (spender *Spender) distance(own balsamproxy.DataCentreID, host balsamproxy.HostID) int {
	member, known := spender.Members.Member(host)
	if known && member.DataCentre == own {
		return 0
	}
	return 1
}

// requestLoan requests need tokens from one home. It returns a permit if one was
// granted and has not expired on the way.
func (spender *Spender) requestLoan(ctx context.Context, account balsamproxy.ClientAccountID, home balsamproxy.HostID, need int) (core.LoanResponse, *balsamproxy.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	sentAt := spender.Clock.Now()
	request := spender.Loans.Request(account, home, need, 0, sentAt)
	spender.Metrics.Counter("allowance_loans_asked").Inc(1)
	answer, err := peer.Ask[core.LoanRequest, core.LoanResponse](ctx, spender.Pool, home, kindLoan, request)
	if err != nil {
		return answer, nil, err
	}
	permit, granted := spender.Loans.AddGranted(account, home, answer, sentAt, spender.Clock.Now())
	if !granted {
		return answer, nil, nil
	}
	return answer, &permit, nil
}

// errNotHome is returned to borrowers if this daemon cannot lend an account's
// allowance.
var errNotHome = errors.New("not a home of this account, or without standing")

// Serve registers the handler for loan requests of other daemons.
func (spender *Spender) Serve(server *peer.Server) {
	peer.Handle(server, kindLoan, func(_ context.Context, _ balsamproxy.HostID, request core.LoanRequest) (core.LoanResponse, error) {
		now := spender.Clock.Now()
		share, home := spender.share(request.Account, now)
		if !home || !spender.Standing.Has(now) {
			return core.LoanResponse{}, errNotHome
		}
		return spender.lender.Lend(request, share, now), nil
	})
}

// Run reports spent tokens to the homes until ctx is done.
func (spender *Spender) Run(ctx context.Context) error {
	return task.Every(ctx, reportInterval, func(ctx context.Context, now time.Time) {
		for _, report := range spender.Loans.PendingReports(now) {
			_, _, _ = spender.requestLoan(ctx, report.Account, report.Home, 0)
		}
	})
}
