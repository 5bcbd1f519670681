package replay_test

import (
	"math/rand/v2"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/balance"
	"balsamproxy/core/limit"
	"balsamproxy/core/membership"
	"balsamproxy/core/retry"
	"balsamproxy/internal/logical"
)

// policy selects how targets are protected from overload.
type policy string

const (
	// policyNone starts every call at once. A target with more calls in flight
	// than slots slows down by the ratio of the two.
	policyNone policy = "none"
	// policyFixed limits each target to its slots, with an unbounded queue.
	policyFixed policy = "fixed"
	// policyAdaptive uses the limiter, the load reports and the allowances of
	// balsamproxy, and cancels calls at their deadline.
	policyAdaptive policy = "adaptive"
)

const (
	requestTimeout   = time.Second
	clientRetries    = 3
	clientRetryDelay = 50 * time.Millisecond
	retryLimit       = 3
)

// fleet simulates a deployment in logical time.
type fleet struct {
	logical.Scheduler

	deployment   deployment
	policy       policy
	random       *rand.Rand
	choosers     []*balance.Chooser
	endpoints    map[balsamproxy.ServiceID][]membership.Endpoint
	targets      map[balsamproxy.TargetID]*target
	retryLimiter retry.Limiter
	// serviceSlowdown returns the factor applied to the service time of a service.
	serviceSlowdown func(service balsamproxy.ServiceID) float64
	// accountRates holds the rate limit of each client account. Accounts without
	// an entry are not limited.
	accountRates map[balsamproxy.ClientAccountID]int
	lender       allowance.Lender
	requests     int
	wastedWork   time.Duration
	totalWork    time.Duration
}

// target is a simulated target with its concurrency limiter.
type target struct {
	id         balsamproxy.TargetID
	service    balsamproxy.ServiceID
	slots      int
	limiter    limit.Limiter
	lastTicket limit.Ticket
	waiting    map[limit.Ticket]func(limit.Verdict)
	inFlight   int
	queue      []func()
	down       bool
}

// call is one call to a service.
type call struct {
	request    balsamproxy.RequestID
	account    balsamproxy.ClientAccountID
	service    balsamproxy.ServiceID
	priority   balsamproxy.Priority
	idempotent bool
	deadline   time.Time
}

func newFleet(deployment deployment, policy policy) *fleet {
	fleet := &fleet{
		Scheduler:       logical.Scheduler{Now: time.Unix(1_000_000, 0)},
		deployment:      deployment,
		policy:          policy,
		random:          rand.New(rand.NewPCG(20261204, 1)),
		endpoints:       map[balsamproxy.ServiceID][]membership.Endpoint{},
		targets:         map[balsamproxy.TargetID]*target{},
		serviceSlowdown: func(balsamproxy.ServiceID) float64 { return 1 },
	}
	for index := range deployment.dataCentres {
		fleet.choosers = append(fleet.choosers, &balance.Chooser{DataCentre: dataCentreID(index)})
	}
	for name, service := range deployment.services {
		for index := range service.targets {
			fleet.addTarget(name, index, service.slots)
		}
	}
	return fleet
}

func dataCentreID(index int) balsamproxy.DataCentreID {
	return balsamproxy.DataCentreID(rune('a' + index))
}

func (fleet *fleet) addTarget(name balsamproxy.ServiceID, index, slots int) {
	target := &target{id: targetID(name, index), service: name, slots: slots, waiting: map[limit.Ticket]func(limit.Verdict){}}
	target.limiter.SetSlots(slots, false, fleet.Now)
	fleet.targets[target.id] = target
	fleet.endpoints[name] = append(fleet.endpoints[name], membership.Endpoint{
		DataCentre: dataCentreID(index % fleet.deployment.dataCentres),
		Target:     balsamproxy.Target{ID: target.id, Service: name, Slots: slots},
	})
}

// send sends a call from a data centre and retries it at other targets. It
// reports through done whether the call succeeded.
func (fleet *fleet) send(from int, call call, tried []balsamproxy.TargetID, done func(bool)) {
	chooser := fleet.choosers[from]
	endpoint, found := chooser.Choose(fleet.endpoints[call.service], tried, fleet.random.Uint64(), fleet.Now)
	if !found || !fleet.Now.Before(call.deadline) {
		done(false)
		return
	}
	id := endpoint.Target.ID
	chooser.Begin(id)
	fleet.After(fleet.deployment.networkLatency, func() {
		fleet.deliver(fleet.targets[id], call, func(refusal *balsamproxy.Refusal) {
			fleet.After(fleet.deployment.networkLatency, func() {
				chooser.End(id)
				fleet.finish(from, call, append(tried, id), refusal, done)
			})
		})
	})
}

// finish completes a call or retries it, by the same rules as balsamproxy.
func (fleet *fleet) finish(from int, call call, tried []balsamproxy.TargetID, refusal *balsamproxy.Refusal, done func(bool)) {
	last := tried[len(tried)-1]
	chooser := fleet.choosers[from]
	if fleet.policy == policyAdaptive {
		chooser.Report(last, fleet.targets[last].limiter.Load())
	}
	if refusal == nil {
		done(true)
		return
	}
	if refusal.Reason == balsamproxy.ReasonTargetFailed {
		chooser.Avoid(last, fleet.Now)
	}
	if fleet.Now.Before(call.deadline) && retry.Retryable(refusal, call.idempotent) && fleet.retryLimiter.Take(call.request) {
		fleet.send(from, call, tried, done)
		return
	}
	done(false)
}

// deliver hands a call to a target under the policy of the fleet.
func (fleet *fleet) deliver(target *target, call call, done func(*balsamproxy.Refusal)) {
	if target.down {
		done(balsamproxy.NotRun(balsamproxy.ReasonTargetFailed, ""))
		return
	}
	switch fleet.policy {
	case policyNone:
		target.inFlight++
		slowdown := max(1, float64(target.inFlight)/float64(target.slots))
		fleet.execute(target, call, slowdown, func(bool) {}, func(refusal *balsamproxy.Refusal) {
			target.inFlight--
			done(refusal)
		})
	case policyFixed:
		fleet.deliverFixed(target, call, done)
	case policyAdaptive:
		fleet.deliverAdaptive(target, call, done)
	}
}

func (fleet *fleet) deliverFixed(target *target, call call, done func(*balsamproxy.Refusal)) {
	start := func() {
		target.inFlight++
		fleet.execute(target, call, 1, func(bool) {}, func(refusal *balsamproxy.Refusal) {
			target.inFlight--
			if len(target.queue) > 0 {
				next := target.queue[0]
				target.queue = target.queue[1:]
				next()
			}
			done(refusal)
		})
	}
	if target.inFlight < target.slots {
		start()
		return
	}
	target.queue = append(target.queue, start)
}

func (fleet *fleet) deliverAdaptive(target *target, call call, done func(*balsamproxy.Refusal)) {
	target.lastTicket++
	ticket := target.lastTicket
	decide := func(verdict limit.Verdict) {
		switch verdict {
		case limit.Admitted:
			fleet.executeAdaptive(target, call, done)
		case limit.Expired:
			done(balsamproxy.NotRun(balsamproxy.ReasonDeadline, ""))
		default:
			done(balsamproxy.NotRun(balsamproxy.ReasonOverloaded, ""))
		}
	}
	request := limit.Request{Ticket: ticket, Account: call.account, Priority: call.priority, Deadline: call.deadline}
	verdict, decisions := target.limiter.Acquire(request, fleet.Now)
	fleet.notify(target, decisions)
	if verdict != limit.Waiting {
		decide(verdict)
		return
	}
	target.waiting[ticket] = decide
	fleet.After(call.deadline.Sub(fleet.Now), func() {
		if target.limiter.Cancel(ticket) {
			delete(target.waiting, ticket)
			decide(limit.Expired)
		}
	})
}

func (fleet *fleet) notify(target *target, decisions []limit.Decision) {
	for _, decision := range decisions {
		decide := target.waiting[decision.Ticket]
		delete(target.waiting, decision.Ticket)
		fleet.After(0, func() { decide(decision.Verdict) })
	}
}

func (fleet *fleet) executeAdaptive(target *target, call call, done func(*balsamproxy.Refusal)) {
	begin := fleet.Now
	release := func(timedOut bool) {
		ended := limit.Completion{Account: call.account, Duration: fleet.Now.Sub(begin), TimedOut: timedOut}
		fleet.notify(target, target.limiter.Release(ended, fleet.Now))
	}
	fleet.execute(target, call, 1, release, done)
}

// execute simulates a call at a target, including the calls to its dependencies.
// It calls release once, when the target is free again. Under policyAdaptive that
// is no later than the deadline, since targets accept cancellation.
func (fleet *fleet) execute(target *target, call call, slowdown float64, release func(timedOut bool), done func(*balsamproxy.Refusal)) {
	ended := false
	end := func(refusal *balsamproxy.Refusal, timedOut bool) {
		if ended {
			return
		}
		ended = true
		release(timedOut)
		done(refusal)
	}
	if fleet.policy == policyAdaptive {
		fleet.After(call.deadline.Sub(fleet.Now), func() {
			end(balsamproxy.MayHaveRun(balsamproxy.ReasonDeadline, ""), true)
		})
	}
	service := fleet.deployment.services[call.service]
	duration := time.Duration((0.5 + fleet.random.Float64()) * slowdown * fleet.serviceSlowdown(call.service) * float64(service.meanServiceTime))
	fleet.totalWork += duration
	fleet.After(duration, func() {
		fleet.callDependencies(target, call, service.dependencies, func(succeeded bool) {
			if !succeeded {
				fleet.wastedWork += duration
				end(balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, ""), false)
				return
			}
			end(nil, false)
		})
	})
}

// callDependencies calls services one after another on behalf of a target and
// stops at the first failure.
func (fleet *fleet) callDependencies(target *target, parent call, services []balsamproxy.ServiceID, done func(bool)) {
	if len(services) == 0 {
		done(true)
		return
	}
	child := parent
	child.service = services[0]
	from := int(target.id[len(target.id)-1]-'0') % fleet.deployment.dataCentres
	fleet.send(from, child, nil, func(succeeded bool) {
		if !succeeded {
			done(false)
			return
		}
		fleet.callDependencies(target, parent, services[1:], done)
	})
}

// enforceRates sets rate limits, which apply under policyAdaptive. One home holds
// the whole allowance of each client account, with a burst of one second.
func (fleet *fleet) enforceRates(rates map[balsamproxy.ClientAccountID]int) {
	fleet.accountRates = rates
	for account := range rates {
		fleet.lender.BecomeHome(account, fleet.Now.Add(-time.Hour))
	}
}

// admits reports whether the entry daemon admits a request of a client account.
func (fleet *fleet) admits(account balsamproxy.ClientAccountID) bool {
	rate, limited := fleet.accountRates[account]
	if !limited || fleet.policy != policyAdaptive {
		return true
	}
	return fleet.lender.Spend(account, allowance.ShareOf(rate, rate, 0, 1), fleet.Now)
}
