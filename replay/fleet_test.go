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

// policy is how targets are guarded.
type policy string

const (
	// none lets targets work on all that comes, slower the more there is.
	none policy = "none"
	// fixed limits each target to its slots, with an endless queue.
	fixed policy = "fixed"
	// adaptive is the product's.
	adaptive policy = "adaptive"
)

const (
	requestTimeout = time.Second
	resends        = 3
	resendPause    = 50 * time.Millisecond
	retryLimit     = 3
)

// fleet is a deployment in logical time.
type fleet struct {
	logical.Scheduler

	deployment deployment
	policy     policy
	random     *rand.Rand
	choosers   []*balance.Chooser
	endpoints  map[balsamproxy.ServiceID][]membership.Endpoint
	targets    map[balsamproxy.TargetID]*target
	ledger     retry.Limiter
	slow       func(service balsamproxy.ServiceID) float64
	// allowed holds the rate of each account where rates are in force.
	allowed  map[balsamproxy.ClientAccountID]int
	lender   allowance.Lender
	requests int
	wasted   time.Duration
	worked   time.Duration
}

// target is a fake target with the gate that guards it.
type target struct {
	id       balsamproxy.TargetID
	service  balsamproxy.ServiceID
	slots    int
	gate     limit.Limiter
	next     limit.Ticket
	waiting  map[limit.Ticket]func(limit.Verdict)
	inFlight int
	queue    []func()
	dead     bool
}

// call is one call to a service.
type call struct {
	request  balsamproxy.RequestID
	account  balsamproxy.ClientAccountID
	service  balsamproxy.ServiceID
	priority balsamproxy.Priority
	repeat   bool
	deadline time.Time
}

func newFleet(deployment deployment, policy policy) *fleet {
	fleet := &fleet{
		Scheduler:  logical.Scheduler{Now: time.Unix(1_000_000, 0)},
		deployment: deployment,
		policy:     policy,
		random:     rand.New(rand.NewPCG(20261204, 1)),
		endpoints:  map[balsamproxy.ServiceID][]membership.Endpoint{},
		targets:    map[balsamproxy.TargetID]*target{},
		slow:       func(balsamproxy.ServiceID) float64 { return 1 },
	}
	for index := range deployment.centres {
		fleet.choosers = append(fleet.choosers, &balance.Chooser{DataCentre: centre(index)})
	}
	for name, service := range deployment.services {
		for index := range service.servers {
			fleet.add(name, index, service.slots)
		}
	}
	return fleet
}

func centre(index int) balsamproxy.DataCentreID {
	return balsamproxy.DataCentreID(rune('a' + index))
}

func (fleet *fleet) add(name balsamproxy.ServiceID, index, slots int) {
	target := &target{id: targetName(name, index), service: name, slots: slots, waiting: map[limit.Ticket]func(limit.Verdict){}}
	target.gate.SetSlots(slots, false, fleet.Now)
	fleet.targets[target.id] = target
	fleet.endpoints[name] = append(fleet.endpoints[name], membership.Endpoint{
		DataCentre: centre(index % fleet.deployment.centres),
		Target:     balsamproxy.Target{ID: target.id, Service: name, Slots: slots},
	})
}

// send sends a call from a data centre to one target after another, and tells
// whether it was answered.
func (fleet *fleet) send(from int, call call, tried []balsamproxy.TargetID, done func(bool)) {
	chooser := fleet.choosers[from]
	endpoint, found := chooser.Choose(fleet.endpoints[call.service], tried, fleet.random.Uint64(), fleet.Now)
	if !found || !fleet.Now.Before(call.deadline) {
		done(false)
		return
	}
	id := endpoint.Target.ID
	chooser.Begin(id)
	fleet.After(fleet.deployment.latency, func() {
		fleet.deliver(fleet.targets[id], call, func(refusal *balsamproxy.Refusal) {
			fleet.After(fleet.deployment.latency, func() {
				chooser.End(id)
				fleet.settle(from, call, append(tried, id), refusal, done)
			})
		})
	})
}

// settle ends a call or tries it again, as the product would.
func (fleet *fleet) settle(from int, call call, tried []balsamproxy.TargetID, refusal *balsamproxy.Refusal, done func(bool)) {
	last := tried[len(tried)-1]
	chooser := fleet.choosers[from]
	if fleet.policy == adaptive {
		chooser.Report(last, fleet.targets[last].gate.Load())
	}
	if refusal == nil {
		done(true)
		return
	}
	if refusal.Reason == balsamproxy.ReasonTargetFailed {
		chooser.Avoid(last, fleet.Now)
	}
	if fleet.Now.Before(call.deadline) && retry.Retryable(refusal, call.repeat) && fleet.ledger.Take(call.request) {
		fleet.send(from, call, tried, done)
		return
	}
	done(false)
}

// deliver brings a call to a target under the policy.
func (fleet *fleet) deliver(target *target, call call, done func(*balsamproxy.Refusal)) {
	if target.dead {
		done(balsamproxy.NotRun(balsamproxy.ReasonTargetFailed, ""))
		return
	}
	switch fleet.policy {
	case none:
		target.inFlight++
		slowdown := max(1, float64(target.inFlight)/float64(target.slots))
		fleet.work(target, call, slowdown, func(bool) {}, func(refusal *balsamproxy.Refusal) {
			target.inFlight--
			done(refusal)
		})
	case fixed:
		fleet.deliverFixed(target, call, done)
	case adaptive:
		fleet.deliverGuarded(target, call, done)
	}
}

func (fleet *fleet) deliverFixed(target *target, call call, done func(*balsamproxy.Refusal)) {
	run := func() {
		target.inFlight++
		fleet.work(target, call, 1, func(bool) {}, func(refusal *balsamproxy.Refusal) {
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
		run()
		return
	}
	target.queue = append(target.queue, run)
}

func (fleet *fleet) deliverGuarded(target *target, call call, done func(*balsamproxy.Refusal)) {
	target.next++
	ticket := target.next
	decide := func(verdict limit.Verdict) {
		switch verdict {
		case limit.Admitted:
			fleet.workGuarded(target, call, done)
		case limit.Expired:
			done(balsamproxy.NotRun(balsamproxy.ReasonDeadline, ""))
		default:
			done(balsamproxy.NotRun(balsamproxy.ReasonOverloaded, ""))
		}
	}
	request := limit.Request{Ticket: ticket, Account: call.account, Priority: call.priority, Deadline: call.deadline}
	verdict, decisions := target.gate.Acquire(request, fleet.Now)
	fleet.tell(target, decisions)
	if verdict != limit.Waiting {
		decide(verdict)
		return
	}
	target.waiting[ticket] = decide
	fleet.After(call.deadline.Sub(fleet.Now), func() {
		if target.gate.Cancel(ticket) {
			delete(target.waiting, ticket)
			decide(limit.Expired)
		}
	})
}

func (fleet *fleet) tell(target *target, decisions []limit.Decision) {
	for _, decision := range decisions {
		decide := target.waiting[decision.Ticket]
		delete(target.waiting, decision.Ticket)
		fleet.After(0, func() { decide(decision.Verdict) })
	}
}

func (fleet *fleet) workGuarded(target *target, call call, done func(*balsamproxy.Refusal)) {
	begin := fleet.Now
	leave := func(late bool) {
		ended := limit.Completion{Account: call.account, Duration: fleet.Now.Sub(begin), TimedOut: late}
		fleet.tell(target, target.gate.Release(ended, fleet.Now))
	}
	fleet.work(target, call, 1, leave, done)
}

// work lets a target work on a call and make its nested calls. Leave is called
// once when the target is free; under the product's policy that is at the
// deadline at the latest, since targets accept cancellation.
func (fleet *fleet) work(target *target, call call, slowdown float64, leave func(late bool), done func(*balsamproxy.Refusal)) {
	ended := false
	end := func(refusal *balsamproxy.Refusal, late bool) {
		if ended {
			return
		}
		ended = true
		leave(late)
		done(refusal)
	}
	if fleet.policy == adaptive {
		fleet.After(call.deadline.Sub(fleet.Now), func() {
			end(balsamproxy.MayHaveRun(balsamproxy.ReasonDeadline, ""), true)
		})
	}
	service := fleet.deployment.services[call.service]
	duration := time.Duration((0.5 + fleet.random.Float64()) * slowdown * fleet.slow(call.service) * float64(service.work))
	fleet.worked += duration
	fleet.After(duration, func() {
		fleet.nested(target, call, service.calls, func(whole bool) {
			if !whole {
				fleet.wasted += duration
				end(balsamproxy.MayHaveRun(balsamproxy.ReasonTargetFailed, ""), false)
				return
			}
			end(nil, false)
		})
	})
}

// nested makes calls of a target one after another.
func (fleet *fleet) nested(target *target, parent call, services []balsamproxy.ServiceID, done func(bool)) {
	if len(services) == 0 {
		done(true)
		return
	}
	child := parent
	child.service = services[0]
	from := int(target.id[len(target.id)-1]-'0') % fleet.deployment.centres
	fleet.send(from, child, nil, func(whole bool) {
		if !whole {
			done(false)
			return
		}
		fleet.nested(target, parent, services[1:], done)
	})
}

// allow puts rates in force: one home holds the whole allowance of each
// account, with a burst of one second.
func (fleet *fleet) allow(rates map[balsamproxy.ClientAccountID]int) {
	fleet.allowed = rates
	for account := range rates {
		fleet.lender.BecomeHome(account, fleet.Now.Add(-time.Hour))
	}
}

// permits says whether the entry daemon admits a request of an account.
func (fleet *fleet) permits(account balsamproxy.ClientAccountID) bool {
	rate, limited := fleet.allowed[account]
	if !limited || fleet.policy != adaptive {
		return true
	}
	return fleet.lender.Spend(account, allowance.ShareOf(rate, rate, 0, 1), fleet.Now)
}
