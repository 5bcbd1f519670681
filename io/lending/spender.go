// Package lending enforces the rate allowance of client accounts and lends
// tokens between daemons. Accounts are divided into groups, and each group has
// one home, the daemon that holds its tenure in the store.
package lending

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/config"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

const (
	// loanTimeout bounds the wait for a response from a home.
	loanTimeout = 300 * time.Millisecond
	// homeRetryInterval is the time between two attempts to find a home.
	homeRetryInterval = 50 * time.Millisecond
	// homeWaitDivisor sets the fraction of its remaining time that a request
	// waits for a home. A caller that retries once then still has time to be
	// served.
	homeWaitDivisor = 2
	// maxHomeWait bounds that wait for requests without a deadline. A home
	// that has failed permanently is replaced in about this time.
	maxHomeWait = 4 * time.Second
	// noHomeRetryAfter is the retry delay if there is no home. A home is
	// replaced one to two seconds after it has failed.
	noHomeRetryAfter = time.Second

	kindLoan peer.Kind = "allowance-loan"
)

// Homes provides the daemons that are home of the groups of accounts, and the
// persisted floors.
type Homes interface {
	// Home returns the host that is home of a group.
	Home(group allowance.Group) (balsamproxy.HostID, bool)
	// Holds reports whether this daemon is home of a group at an instant, and
	// since when.
	Holds(group allowance.Group, now balsamproxy.BootTime) (since balsamproxy.BootTime, holds bool)
	// Suspect records that the home of a group did not respond.
	Suspect(group allowance.Group)
	// Terms returns the terms that this daemon holds.
	Terms() []allowance.Term
	// RemainingTokens returns how many tokens of an account the previous home
	// left to a term.
	RemainingTokens(term allowance.Term, account balsamproxy.ClientAccountID) int
	// WriteFloors persists the tokens reserved for the home after a term.
	// Lower floors may be applied only after it has returned without an error.
	WriteFloors(ctx context.Context, term allowance.Term, floors allowance.Floors) error
}

// Spender spends allowance for requests on this host and lends tokens of the
// groups that this host is home of. Its exported fields must be set before
// use.
type Spender struct {
	Host    balsamproxy.HostID
	Config  *config.Current
	Homes   Homes
	Pool    *peer.Pool
	Clock   balsamproxy.BootClock
	Metrics tally.Scope
	Log     zerolog.Logger
	Loans   allowance.LoanCache
	// NewFleetUntil is the end of the period in which a tenure is the first
	// one of a new fleet, so that no allowance can have been spent before it.
	NewFleetUntil balsamproxy.BootTime

	lender   allowance.Lender
	mutex    sync.Mutex
	openedAt map[balsamproxy.ClientAccountID]balsamproxy.BootTime
}

// Spend takes the token for one request of an account, or returns a refusal.
func (spender *Spender) Spend(ctx context.Context, account balsamproxy.ClientAccountID) *balsamproxy.Refusal {
	index := spender.Config.Index()
	if index == nil || index.Unlimited(account) {
		return nil
	}
	group := allowance.GroupOf(account)
	start := spender.Clock.Boot()
	waitLimit := homeWaitLimit(ctx)
	for {
		now := spender.Clock.Boot()
		if since, holds := spender.Homes.Holds(group, now); holds {
			return spender.spendAsHome(account, since, now)
		}
		if spender.Loans.Spend(account, now.Time()) {
			return nil
		}
		if wait, empty := spender.Loans.RefuseLocally(account, now.Time()); empty {
			return rateExceeded(wait)
		}
		refusal, asked := spender.borrow(ctx, account, group)
		if asked {
			return refusal
		}
		if now.Sub(start) > waitLimit || !task.Sleep(ctx, homeRetryInterval) {
			refusal := balsamproxy.NotRun(balsamproxy.ReasonAllowanceUnreachable, "no host holds the account's allowance")
			refusal.RetryAfter = noHomeRetryAfter
			return refusal
		}
	}
}

// homeWaitLimit returns how long a request waits for a home.
func homeWaitLimit(ctx context.Context) time.Duration {
	deadline, known := ctx.Deadline()
	if !known {
		return maxHomeWait
	}
	return min(time.Until(deadline)/homeWaitDivisor, maxHomeWait)
}

func rateExceeded(wait time.Duration) *balsamproxy.Refusal {
	refusal := balsamproxy.NotRun(balsamproxy.ReasonRateExceeded, "the client account is over its rate and burst")
	refusal.RetryAfter = max(wait, time.Millisecond)
	return refusal
}

// share returns the full limits of an account. It opens the account's bucket
// if it has not been opened in this tenure.
func (spender *Spender) share(account balsamproxy.ClientAccountID, since balsamproxy.BootTime) allowance.Share {
	limits := spender.Config.Index().Limits(account)
	share := allowance.ShareOf(limits.Rate, limits.Burst, 0, 1)
	spender.mutex.Lock()
	defer spender.mutex.Unlock()
	if at, found := spender.openedAt[account]; found && at == since {
		return share
	}
	if spender.openedAt == nil {
		spender.openedAt = map[balsamproxy.ClientAccountID]balsamproxy.BootTime{}
	}
	spender.openedAt[account] = since
	remainder := allowance.Remainder{Full: since < spender.NewFleetUntil}
	if !remainder.Full {
		term := allowance.Term{Group: allowance.GroupOf(account), Since: since.Time()}
		remainder.Tokens = spender.Homes.RemainingTokens(term, account)
	}
	spender.lender.Open(account, share, remainder, since.Time())
	return share
}

func (spender *Spender) spendAsHome(account balsamproxy.ClientAccountID, since, now balsamproxy.BootTime) *balsamproxy.Refusal {
	share := spender.share(account, since)
	if spender.lender.Spend(account, share, now.Time()) {
		return nil
	}
	return rateExceeded(spender.lender.RetryAfter(account))
}

// borrow requests a token from the home. It returns false if no home
// responded.
func (spender *Spender) borrow(ctx context.Context, account balsamproxy.ClientAccountID, group allowance.Group) (*balsamproxy.Refusal, bool) {
	home, known := spender.Homes.Home(group)
	if !known || home == spender.Host {
		return nil, false
	}
	asking, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	sentAt := spender.Clock.Boot().Time()
	request := spender.Loans.Request(account, home, 1, sentAt)
	answer, err := peer.Ask[allowance.LoanRequest, allowance.LoanResponse](asking, spender.Pool, home, kindLoan, request)
	if err != nil {
		spender.Metrics.Counter("allowance_loans_failed").Inc(1)
		if ctx.Err() == nil {
			spender.Homes.Suspect(group)
		}
		return nil, false
	}
	spender.Metrics.Counter("allowance_loans").Inc(1)
	now := spender.Clock.Boot().Time()
	if spender.Loans.AddGranted(account, home, answer, sentAt, now, 1) == 1 {
		return nil, true
	}
	spender.Loans.MarkEmpty(account, answer.RetryAfter, now)
	return rateExceeded(answer.RetryAfter), true
}

var errNotHome = errors.New("lending: not home of this account")

// Serve registers the handler for loan requests of other daemons.
func (spender *Spender) Serve(server *peer.Server) {
	peer.Handle(server, kindLoan, func(_ context.Context, _ balsamproxy.HostID, request allowance.LoanRequest) (allowance.LoanResponse, error) {
		now := spender.Clock.Boot()
		since, holds := spender.Homes.Holds(allowance.GroupOf(request.Account), now)
		if !holds || spender.Config.Index() == nil {
			return allowance.LoanResponse{}, errNotHome
		}
		share := spender.share(request.Account, since)
		return spender.lender.Lend(request, share, now.Time()), nil
	})
}
