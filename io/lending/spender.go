// Package lending enforces the rate allowance of client accounts and lends
// tokens between daemons. Accounts are divided into groups, and each group has
// one home, the daemon that holds its tenure in the store.
package lending

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/config"
	"balsamproxy/io/events"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

const (
	// loanTimeout bounds the wait for a response from a home.
	loanTimeout = 300 * time.Millisecond
	// homeRetryInterval is the time between two attempts to find a home.
	homeRetryInterval = 50 * time.Millisecond
	// homeWaitFraction is the fraction of its remaining time that a request
	// waits for a home, or for a token of one that is recovering. A caller that
	// retries once then still has time to be served.
	homeWaitFraction = 0.6
	// tokenWaitDivisor limits the wait for a token to a fraction of the time
	// that the request has left.
	tokenWaitDivisor = 10
	// maxHomeWait bounds that wait for requests without a deadline. A home
	// that has failed permanently is replaced in about this time.
	maxHomeWait = 4 * time.Second
	// noHomeRetryAfter is the retry delay if there is no home. A home is
	// replaced one to two seconds after it has failed.
	noHomeRetryAfter = time.Second

	kindLoan peer.Kind = "allowance-loan"
)

// Homes provides the daemons that are home of the groups of accounts.
type Homes interface {
	// Home returns the host that is home of a group.
	Home(group allowance.Group) (balsamproxy.HostID, bool)
	// Holds reports whether this daemon is home of a group at an instant, and
	// since when.
	Holds(group allowance.Group, now balsamproxy.BootTime) (since balsamproxy.BootTime, holds bool)
	// Suspect records that the home of a group did not respond.
	Suspect(group allowance.Group)
	// Remainder returns what the previous home of an account left to a term.
	Remainder(term allowance.Term, account balsamproxy.ClientAccountID) allowance.Remainder
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
	Events  *events.Log
	Loans   allowance.LoanCache
	// NewFleetUntil is the end of the period in which a tenure is the first
	// one of a new fleet, so that no allowance can have been spent before it.
	NewFleetUntil balsamproxy.BootTime

	lender   allowance.Lender
	mutex    sync.Mutex
	openedAt map[balsamproxy.ClientAccountID]balsamproxy.BootTime
	// fleetNotNew is set once the end of NewFleetUntil no longer matters.
	fleetNotNew bool
}

// EndNewFleet ends the period of NewFleetUntil: allowance may have been spent in a tenure
// whose record the store has lost.
func (spender *Spender) EndNewFleet() {
	spender.mutex.Lock()
	defer spender.mutex.Unlock()
	spender.fleetNotNew = true
}

// Spend takes the token for one request of an account, or returns a refusal. It
// waits for a home, and a short time for a token.
func (spender *Spender) Spend(ctx context.Context, account balsamproxy.ClientAccountID) (balsamproxy.Permit, *balsamproxy.Refusal) {
	index := spender.Config.Index()
	if index == nil || index.Unlimited(account) {
		return balsamproxy.Permit{}, nil
	}
	group := allowance.GroupOf(account)
	start := spender.Clock.Boot()
	waitLimit := homeWaitLimit(ctx)
	again := false
	for {
		result := spender.try(ctx, account, group, again)
		again = result.recovering
		if result.refusal == nil && result.granted {
			return result.permit, nil
		}
		waited := spender.Clock.Boot().Sub(start)
		retryIn := homeRetryInterval
		if result.refusal != nil {
			if retryIn = result.refusal.RetryAfter; !result.recovering || waited+retryIn > waitLimit {
				return balsamproxy.Permit{}, result.refusal
			}
		}
		if waited > waitLimit || !task.Sleep(ctx, retryIn) {
			refusal := balsamproxy.NotRun(balsamproxy.ReasonAllowanceUnreachable, "no host holds the account's allowance")
			refusal.RetryAfter = noHomeRetryAfter
			return balsamproxy.Permit{}, refusal
		}
	}
}

// result is the result of one attempt to get a token: a permit, a refusal, or
// neither if no home responded in time.
type result struct {
	permit  balsamproxy.Permit
	granted bool
	refusal *balsamproxy.Refusal
	// recovering reports whether the refusal is due to a change of homes.
	recovering bool
}

// try attempts once to get a token, and waits until it exists.
func (spender *Spender) try(ctx context.Context, account balsamproxy.ClientAccountID, group allowance.Group, again bool) result {
	now := spender.Clock.Boot()
	var result result
	if since, holds := spender.Homes.Holds(group, now); holds {
		result = spender.spendAsHome(ctx, account, since, now, again)
	} else if permit, found := spender.Loans.Spend(account, now.Time()); found {
		result.permit, result.granted = permit, true
	} else if wait, empty := spender.Loans.RefuseLocally(account, now.Time()); empty {
		result.refusal = rateExceeded(wait)
	} else {
		result = spender.borrow(ctx, account, group, again)
	}
	if !result.granted {
		return result
	}
	if wait := result.permit.NotBefore.Sub(spender.Clock.Boot().Time()); wait > 0 {
		spender.Metrics.Counter("allowance_waits").Inc(1)
		result.granted = task.Sleep(ctx, wait)
	}
	if result.permit.Expired(spender.Clock.Boot().Time()) {
		// This process was delayed. The home no longer counts the token.
		spender.Metrics.Counter("allowance_permits_expired").Inc(1)
		result.granted = false
	}
	return result
}

// homeWaitLimit returns how long a request waits for a home.
func homeWaitLimit(ctx context.Context) time.Duration {
	deadline, known := ctx.Deadline()
	if !known {
		return maxHomeWait
	}
	return min(time.Duration(homeWaitFraction*float64(time.Until(deadline))), maxHomeWait)
}

// maxTokenWait returns how long a request waits for a token that does not exist
// yet.
func maxTokenWait(ctx context.Context) time.Duration {
	deadline, known := ctx.Deadline()
	if !known {
		return allowance.MaxTokenWait
	}
	return min(max(time.Until(deadline)/tokenWaitDivisor, 0), allowance.MaxTokenWait)
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
	remainder := allowance.Remainder{Full: since < spender.NewFleetUntil && !spender.fleetNotNew}
	if !remainder.Full {
		term := allowance.Term{Group: allowance.GroupOf(account), Since: since.Time()}
		remainder = spender.Homes.Remainder(term, account)
	}
	spender.lender.Open(account, share, remainder, since.Time())
	return share
}

// spendAsHome takes a token from the account's bucket. This daemon held the tenure at
// now, from which the permit counts.
func (spender *Spender) spendAsHome(ctx context.Context, account balsamproxy.ClientAccountID, since, now balsamproxy.BootTime, again bool) result {
	share := spender.share(account, since)
	permit, refusal := spender.lender.Reserve(account, share, maxTokenWait(ctx), again, now.Time())
	if refusal == nil {
		return result{permit: permit, granted: true}
	}
	if refusal.Closed {
		// The term ended after now.
		return result{}
	}
	spender.logRefusal(account, now, *refusal)
	return result{refusal: rateExceeded(refusal.RetryAfter), recovering: refusal.Recovering}
}

// borrow requests a token from the home.
func (spender *Spender) borrow(ctx context.Context, account balsamproxy.ClientAccountID, group allowance.Group, again bool) result {
	home, known := spender.Homes.Home(group)
	if !known || home == spender.Host {
		return result{}
	}
	asking, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	sentAt := spender.Clock.Boot().Time()
	request := spender.Loans.Request(account, home, 1, maxTokenWait(ctx), sentAt)
	request.Again = again
	answer, err := peer.Ask[allowance.LoanRequest, allowance.LoanResponse](asking, spender.Pool, home, kindLoan, request)
	if err != nil {
		spender.Metrics.Counter("allowance_loans_failed").Inc(1)
		if ctx.Err() == nil {
			spender.Homes.Suspect(group)
		}
		return result{}
	}
	spender.Metrics.Counter("allowance_loans").Inc(1)
	now := spender.Clock.Boot().Time()
	permit, granted := spender.Loans.AddGranted(account, home, answer, sentAt, now)
	if granted {
		return result{permit: permit, granted: true}
	}
	if answer.Granted > 0 {
		spender.Metrics.Counter("allowance_permits_expired").Inc(1)
		return result{}
	}
	if !answer.Recovering {
		spender.Loans.MarkEmpty(account, answer.RetryAfter, now)
	}
	return result{refusal: rateExceeded(answer.RetryAfter), recovering: answer.Recovering}
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
		response := spender.lender.Lend(request, share, now.Time())
		if response.Closed {
			return allowance.LoanResponse{}, errNotHome
		}
		if request.Need > 0 && response.Granted == 0 {
			spender.logRefusal(request.Account, now, allowance.Refusal{RetryAfter: response.RetryAfter, Recovering: response.Recovering})
		}
		return response, nil
	})
}

// logRefusal counts a refusal at the home by its cause and logs the state of
// the account's bucket.
func (spender *Spender) logRefusal(account balsamproxy.ClientAccountID, now balsamproxy.BootTime, refusal allowance.Refusal) {
	cause := "over-rate"
	if refusal.Recovering {
		cause = "home-recovering"
	}
	spender.Metrics.Tagged(map[string]string{"cause": cause}).Counter("allowance_refused").Inc(1)
	event := spender.Events.Decision("allowance-refused", cause)
	if event == nil {
		return
	}
	level := spender.lender.Level(account, now.Time())
	event.Str("account", string(account)).Float64("level", level.Tokens).Float64("lent", level.Lent).
		Dur("reserved", level.Reserved).Dur("home-age", level.Age).Dur("retry-after", refusal.RetryAfter).Send()
}

// Close stops granting tokens for a term and returns the remaining ones. It
// opens the accounts that nothing was granted for in the term, because their
// remaining tokens are known as well.
func (spender *Spender) Close(term allowance.Term, since balsamproxy.BootTime) allowance.Remainders {
	if index := spender.Config.Index(); index != nil {
		for _, account := range index.Accounts() {
			if allowance.GroupOf(account) == term.Group && !index.Unlimited(account) {
				spender.share(account, since)
			}
		}
	}
	return spender.lender.Close(term, spender.Clock.Boot().Time())
}
