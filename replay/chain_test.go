package replay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/admission"
	"balsamproxy/core/throttle"
	"balsamproxy/internal/logical"
)

const (
	chainTargets, chainSlots         = 3, 40
	chainCalls                       = 5
	chainWork, chainCallWork         = 120 * time.Millisecond, 30 * time.Millisecond
	chainTimeout                     = 800 * time.Millisecond
	lookupWork, lookupObjective      = 480 * time.Millisecond, 1200 * time.Millisecond
	lookupTimeout                    = 2500 * time.Millisecond
	nestedWait                       = 60 * time.Millisecond
	chainRate, lookupRate            = 600.0, 90.0
	urgentShare                      = 0.25
	chainCallRoute, chainLookupRoute = balsamproxy.RouteID("call"), balsamproxy.RouteID("lookup")
)

// chainFleet simulates a deep service in logical time. It receives lookups of
// callers, and the calls of requests that were admitted elsewhere.
type chainFleet struct {
	logical.Scheduler
	random   *rand.Rand
	targets  []*chainTarget
	throttle throttle.Throttle
	asked    map[string]float64
	inTime   map[string]float64
}

type chainTarget struct {
	controller admission.Controller
	waiting    map[admission.Ticket]func(admission.Verdict)
	lastTicket admission.Ticket
}

func (target *chainTarget) notify(decisions []admission.Decision) {
	for _, decision := range decisions {
		notify := target.waiting[decision.Ticket]
		delete(target.waiting, decision.Ticket)
		notify(decision.Verdict)
	}
}

// call sends a call to one target after another until one has run it.
func (fleet *chainFleet) call(request admission.Request, work time.Duration, tries []int, done func(admission.Verdict)) {
	if len(tries) == 0 {
		done(admission.Full)
		return
	}
	target := fleet.targets[tries[0]]
	target.lastTicket++
	request.Ticket = target.lastTicket
	proceed := func(verdict admission.Verdict) {
		if verdict != admission.Admitted {
			fleet.call(request, work, tries[1:], done)
			return
		}
		fleet.After(work, func() {
			completion := admission.Completion{Route: request.Route, Nested: request.Nested, ServiceTime: work}
			target.notify(target.controller.Release(completion, fleet.Now))
			done(admission.Admitted)
		})
	}
	verdict, decisions := target.controller.Acquire(request, fleet.Now)
	target.notify(decisions)
	if verdict == admission.Waiting {
		target.waiting[request.Ticket] = proceed
		return
	}
	proceed(verdict)
}

// browse runs a request that makes several calls one after another.
func (fleet *chainFleet) browse(name string, priority balsamproxy.Priority) {
	class := throttle.Class{Route: balsamproxy.RouteID(name), Priority: priority}
	fleet.asked[name]++
	if !fleet.throttle.Admit(class, fleet.random.Float64(), fleet.Now) {
		return
	}
	start := fleet.Now
	request := admission.Request{Route: chainCallRoute, Nested: true, Deadline: start.Add(chainTimeout), MaxWait: nestedWait}
	var next func(left int)
	next = func(left int) {
		switch {
		case fleet.Now.After(request.Deadline):
			fleet.throttle.Record(class, throttle.TimedOut, start, fleet.Now)
		case left == 0:
			fleet.inTime[name]++
			fleet.throttle.Record(class, throttle.Served, start, fleet.Now)
		default:
			fleet.call(request, jittered(fleet.random, chainCallWork), fleet.random.Perm(chainTargets), func(verdict admission.Verdict) {
				if verdict != admission.Admitted {
					fleet.throttle.Record(class, throttle.Rejected, start, fleet.Now)
					return
				}
				next(left - 1)
			})
		}
	}
	fleet.After(jittered(fleet.random, chainWork), func() { next(chainCalls) })
}

func (fleet *chainFleet) lookup() {
	start := fleet.Now
	fleet.asked["lookup"]++
	request := admission.Request{Route: chainLookupRoute, Deadline: start.Add(lookupTimeout), MaxWait: lookupObjective, Objective: lookupObjective}
	fleet.call(request, jittered(fleet.random, lookupWork), fleet.random.Perm(chainTargets)[:1], func(verdict admission.Verdict) {
		if verdict == admission.Admitted && fleet.Now.Sub(start) <= lookupObjective {
			fleet.inTime["lookup"]++
		}
	})
}

func jittered(random *rand.Rand, work time.Duration) time.Duration {
	return time.Duration(float64(work) * (0.5 + random.Float64()))
}

// TestChainsUnderOverload guards against requests that fail after some of their
// calls have run, and against lookups starved by calls of other targets.
func TestChainsUnderOverload(t *testing.T) {
	cases := map[string]struct {
		slots int
		// served is the least fraction of each kind of request to serve in time:
		// the floor of a kind on a heavy day, and a quarter in a collapse.
		served float64
	}{
		"within capacity":             {chainSlots * 3 / 2, 0.95},
		"at two thirds of the demand": {chainSlots * 3 / 4, 0.28},
		"at half of the demand":       {chainSlots / 2, 0.25},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := &chainFleet{random: rand.New(rand.NewPCG(1, 2)), asked: map[string]float64{}, inTime: map[string]float64{}}
			fleet.Now = time.Unix(1_000_000, 0)
			for range chainTargets {
				target := &chainTarget{waiting: map[admission.Ticket]func(admission.Verdict){}}
				target.controller.SetSlots(test.slots, fleet.Now)
				fleet.targets = append(fleet.targets, target)
			}
			var expire, arrive func()
			expire = func() {
				for _, target := range fleet.targets {
					target.notify(target.controller.Expire(fleet.Now))
				}
				fleet.After(20*time.Millisecond, expire)
			}
			arrive = func() {
				switch drawn := fleet.random.Float64() * (chainRate + lookupRate); {
				case drawn < lookupRate:
					fleet.lookup()
				case drawn < lookupRate+chainRate*urgentShare:
					fleet.browse("urgent", 9)
				default:
					fleet.browse("browse", 2)
				}
				fleet.After(time.Duration(fleet.random.ExpFloat64()/(chainRate+lookupRate)*float64(time.Second)), arrive)
			}
			expire()
			arrive()
			fleet.Run(15 * time.Second)
			clear(fleet.asked)
			clear(fleet.inTime)
			fleet.Run(15 * time.Second)
			for kind, asked := range fleet.asked {
				served := fleet.inTime[kind] / asked
				t.Logf("%s: %.2f in time", kind, served)
				assert.Check(t, served >= test.served, "%s: %.2f in time", kind, served)
			}
		})
	}
}
