package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/internal/logical"
)

const account = balsamproxy.ClientAccountID("planner")

// simulation runs hosts of one account in logical time. Messages between
// hosts take a time and can be lost.
type simulation struct {
	logical.Scheduler

	random *rand.Rand
	hosts  []*host
	// limits and homes are what was stored last; hosts learn of them later.
	limits   allowance.Limits
	homes    []balsamproxy.HostID
	revision balsamproxy.Revision
	storedAt time.Time
	latency  time.Duration
	lost     func() bool

	admissions []time.Time
	refusals   int
	messages   int
}

type host struct {
	id     balsamproxy.HostID
	limits allowance.Limits
	tenure allowance.HomesTracker
	lender allowance.Lender
	purse  allowance.LoanCache
	frozen time.Time
	runs   int
}

// validity is how long a host may act by documents that are not the latest.
const validity = 2500 * time.Millisecond

func newSimulation(seed uint64, hosts, homes, rate, burst int) *simulation {
	simulation := &simulation{
		Scheduler: logical.Scheduler{Now: time.Unix(1_000_000, 0)},
		random:    rand.New(rand.NewPCG(seed, 0)),
		limits:    allowance.Limits{Rate: rate, Burst: burst},
		revision:  1,
		latency:   time.Millisecond,
		lost:      func() bool { return false },
	}
	for index := range hosts {
		id := balsamproxy.HostID(fmt.Sprintf("host-%03d", index))
		simulation.hosts = append(simulation.hosts, &host{id: id})
		if index < homes {
			simulation.homes = append(simulation.homes, id)
		}
	}
	for index := range hosts {
		simulation.restart(index)
	}
	return simulation
}

// restart begins a new run of a host, which has forgotten everything and reads
// what is stored.
func (simulation *simulation) restart(index int) {
	old := simulation.hosts[index]
	fresh := &host{id: old.id, runs: old.runs + 1}
	fresh.purse.Borrower = allowance.Borrower{Host: old.id, Incarnation: fmt.Sprint(fresh.runs)}
	simulation.hosts[index] = fresh
	simulation.learn(fresh)
	simulation.enforce(fresh, simulation.revision)
}

// learn lets a host take what is stored.
func (simulation *simulation) learn(host *host) {
	host.limits = simulation.limits
	host.tenure.Update(simulation.document(), simulation.revision, simulation.Now)
	if !slices.Contains(simulation.homes, host.id) {
		host.lender.Retain(func(balsamproxy.ClientAccountID) bool { return false })
	}
}

func (simulation *simulation) document() allowance.Homes {
	homes := allowance.Homes{Groups: make([][]balsamproxy.HostID, allowance.Groups)}
	homes.Groups[allowance.GroupOf(account)] = simulation.homes
	return homes
}

// enforce lets a host find, once every other standing has ended, that the
// homes are in force.
func (simulation *simulation) enforce(host *host, revision balsamproxy.Revision) {
	wait := max(0, simulation.storedAt.Add(validity).Sub(simulation.Now))
	simulation.After(wait+simulation.upTo(500), func() {
		if !host.frozen.After(simulation.Now) {
			host.tenure.MarkInForce(revision, simulation.Now)
		}
	})
}

func (simulation *simulation) upTo(milliseconds int) time.Duration {
	return time.Duration(simulation.random.IntN(milliseconds)) * time.Millisecond
}

// store stores other homes and limits, which the hosts learn within validity.
func (simulation *simulation) store(homes []balsamproxy.HostID, limits allowance.Limits) {
	simulation.homes = homes
	simulation.limits = limits
	simulation.revision++
	simulation.storedAt = simulation.Now
	revision := simulation.revision
	for index := range simulation.hosts {
		simulation.After(simulation.upTo(2400), func() {
			host := simulation.hosts[index]
			if !host.frozen.After(simulation.Now) {
				simulation.learn(host)
				simulation.enforce(host, revision)
			}
		})
	}
}

// share returns the share that a host may act by now. Without the latest
// documents it has standing only for a time; then it learns them first.
func (simulation *simulation) share(host *host) (allowance.Share, bool) {
	if simulation.Now.Sub(simulation.storedAt) > validity {
		simulation.learn(host)
	}
	share, home := host.tenure.Share(account, host.id, host.limits, simulation.Now)
	if !home {
		return allowance.Share{}, false
	}
	if !host.lender.IsHome(account) {
		if host.tenure.InForceSince().IsZero() {
			return allowance.Share{}, false
		}
		host.lender.BecomeHome(account, host.tenure.InForceSince())
	}
	return share, true
}

func (simulation *simulation) admit() {
	simulation.admissions = append(simulation.admissions, simulation.Now)
}

// request lets a request arrive at a host.
func (simulation *simulation) request(index int) {
	host := simulation.hosts[index]
	if host.frozen.After(simulation.Now) {
		simulation.After(host.frozen.Sub(simulation.Now), func() { simulation.request(index) })
		return
	}
	share, home := simulation.share(host)
	if home && host.lender.Spend(account, share, simulation.Now) {
		simulation.admit()
		return
	}
	if host.purse.Spend(account, simulation.Now) {
		simulation.admit()
		return
	}
	if _, empty := host.purse.RefuseLocally(account, simulation.Now); empty {
		simulation.refusals++
		return
	}
	homes, _, _ := host.tenure.Homes()
	used := homes.Of(account)[:allowance.HomesInUse(len(homes.Of(account)), host.limits.Burst)]
	start := (index + host.runs) % len(used)
	order := append(slices.Clone(used[start:]), used[:start]...)
	simulation.borrow(host, order, allowance.LenderLoanTTL)
}

// borrow asks one home after another.
func (simulation *simulation) borrow(host *host, order []balsamproxy.HostID, wait time.Duration) {
	if len(order) == 0 {
		host.purse.MarkEmpty(account, wait, simulation.Now)
		simulation.refusals++
		return
	}
	home := order[0]
	sentAt := simulation.Now
	request := host.purse.Request(account, home, 1, sentAt)
	simulation.exchange(home, request, func(answer allowance.LoanResponse, arrived bool) {
		if arrived && host.purse.AddGranted(account, home, answer, sentAt, simulation.Now, 1) == 1 {
			simulation.admit()
			return
		}
		if arrived {
			wait = min(wait, answer.RetryAfter)
		}
		simulation.borrow(host, order[1:], wait)
	})
}

// exchange sends a request to a home and calls done with its answer, or after
// a time without one.
func (simulation *simulation) exchange(home balsamproxy.HostID, request allowance.LoanRequest, done func(allowance.LoanResponse, bool)) {
	simulation.messages += 2
	index := slices.IndexFunc(simulation.hosts, func(host *host) bool { return host.id == home })
	simulation.After(simulation.latency, func() {
		thaw := max(0, simulation.hosts[index].frozen.Sub(simulation.Now))
		simulation.After(thaw, func() {
			lender := simulation.hosts[index]
			share, acts := simulation.share(lender)
			if !acts || simulation.lost() {
				simulation.After(50*time.Millisecond, func() { done(allowance.LoanResponse{}, false) })
				return
			}
			answer := lender.lender.Lend(request, share, simulation.Now)
			if simulation.lost() {
				simulation.After(50*time.Millisecond, func() { done(allowance.LoanResponse{}, false) })
				return
			}
			simulation.After(simulation.latency, func() { done(answer, true) })
		})
	})
}

// report lets all hosts tell their homes what was spent, again and again.
func (simulation *simulation) report(interval time.Duration) {
	for _, host := range simulation.hosts {
		if host.frozen.After(simulation.Now) {
			continue
		}
		for _, report := range host.purse.PendingReports(simulation.Now) {
			simulation.reportOne(host, report.Home)
		}
	}
	simulation.After(interval, func() { simulation.report(interval) })
}

func (simulation *simulation) reportOne(host *host, home balsamproxy.HostID) {
	sentAt := simulation.Now
	request := host.purse.Request(account, home, 0, sentAt)
	simulation.exchange(home, request, func(answer allowance.LoanResponse, arrived bool) {
		if arrived {
			host.purse.AddGranted(account, home, answer, sentAt, simulation.Now, 0)
		}
	})
}

// excess returns by how many requests the admissions exceed rate and burst in
// the worst window, in requests. It lets one exact bucket run over them.
func excess(admissions []time.Time, limits allowance.Limits) float64 {
	rate, burst := float64(limits.Rate), float64(limits.Burst)
	level, worst := burst, 0.0
	for index, at := range admissions {
		if index > 0 {
			elapsed := at.Sub(admissions[index-1]).Seconds()
			level = min(burst, level+elapsed*rate)
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}
