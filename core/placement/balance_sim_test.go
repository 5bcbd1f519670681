package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/admission"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
)

const (
	simulatedSlots     = 100
	simulatedRate      = 20.0
	simulatedObjective = 1500 * time.Millisecond
	simulatedDeadline  = 4 * time.Second
	simulatedSigma     = 0.5
	sampleInterval     = 10 * time.Millisecond
	windowSamples      = 10
	warmUp             = 5 * time.Second
	dataCentres        = 4
)

// simulation is a service in logical time: hosts that place calls, and targets
// with the admission controllers beside them.
type simulation struct {
	hosts, targets int
	// load is the work of all calls as a share of the usable slots.
	load float64
	// reportAge is the age of a load report in the response that carries it.
	reportAge, duration time.Duration
	policy              func(balsamproxy.DataCentreID) placement.Policy
	// host returns the host that gets a call of the callers of another one; nil
	// if callers do not move.
	host func(home int, at time.Duration) int
	// speed returns the speed of a target; nil for 0.6, 1.0 and 1.4 in turn.
	speed func(target int, at time.Duration) float64

	now time.Time
	// random determines the calls and their work, choices the decisions of the
	// policies, so that all policies get the same calls.
	random, choices *rand.Rand
	events          events
	choosers        []placement.Policy
	servers         []*server
	points          []membership.Endpoint
	tickets         admission.Ticket
	work            float64
	// window sums the utilization of each target since the window began.
	window  []float64
	samples int
	result  result
}

// server is one target with its admission controller.
type server struct {
	controller admission.Controller
	waiting    map[admission.Ticket]*simulatedCall
	// reports are the load reports of the past, one for each sample interval.
	reports []balsamproxy.Load
}

func (server *server) load() balsamproxy.Load { return server.controller.Load("browse", false) }

func (server *server) hasRoom() bool {
	load := server.load()
	return load.InFlight < load.Limit
}

// report returns the load report of some time ago.
func (server *server) report(age time.Duration) balsamproxy.Load {
	index := len(server.reports) - int(age/sampleInterval)
	if age == 0 || index < 0 {
		return server.load()
	}
	return server.reports[index]
}

type simulatedCall struct {
	// work is the service time at speed 1, in seconds.
	work           float64
	host, target   int
	arrived, begun time.Time
	excluded       []balsamproxy.TargetID
	fullTarget     int
	fullWait       time.Duration
	blocked, waits bool
	ticket         admission.Ticket
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(value any)    { *events = append(*events, value.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func (simulation *simulation) after(delay time.Duration, run func()) {
	heap.Push(&simulation.events, event{at: simulation.now.Add(delay), run: run})
}

func dataCentre(index int) balsamproxy.DataCentreID {
	return balsamproxy.DataCentreID(fmt.Sprint("dc", index%dataCentres))
}

func (simulation *simulation) speedOf(target int) float64 {
	if simulation.speed != nil {
		return simulation.speed(target, simulation.now.Sub(start))
	}
	return []float64{0.6, 1, 1.4}[target%3]
}

// run plays the calls of the given duration and returns the measurements taken
// after the warm-up.
func (simulation *simulation) run() result {
	simulation.now = start
	simulation.random, simulation.choices = rand.New(rand.NewPCG(7, 11)), rand.New(rand.NewPCG(7, 12))
	capacity := 0.0
	for index := range simulation.targets {
		server := &server{waiting: map[admission.Ticket]*simulatedCall{}}
		server.controller.SetSlots(admission.UsableSlots(simulatedSlots, false), simulation.now)
		capacity += simulation.speedOf(index) * float64(server.load().Limit)
		simulation.servers = append(simulation.servers, server)
		id := fmt.Sprint("t", index)
		simulation.points = append(simulation.points, membership.Endpoint{
			Host: balsamproxy.HostID(id), DataCentre: dataCentre(index),
			Target: balsamproxy.Target{ID: balsamproxy.TargetID(id), Service: "venues", Slots: simulatedSlots},
		})
	}
	simulation.work = simulation.load * capacity / (simulatedRate * float64(simulation.hosts))
	simulation.window = make([]float64, simulation.targets)
	for host := range simulation.hosts {
		simulation.choosers = append(simulation.choosers, simulation.policy(dataCentre(host)))
		simulation.after(0, func() { simulation.arrive(host) })
	}
	simulation.after(0, simulation.sample)
	for simulation.now.Before(start.Add(simulation.duration)) {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.run()
	}
	return simulation.result
}

// arrive places a call of a caller of the host and awaits the next one.
func (simulation *simulation) arrive(home int) {
	simulation.after(time.Duration(simulation.random.ExpFloat64()/simulatedRate*float64(time.Second)), func() { simulation.arrive(home) })
	host := home
	if simulation.host != nil {
		host = simulation.host(home, simulation.now.Sub(start))
	}
	work := simulation.work * math.Exp(simulatedSigma*simulation.random.NormFloat64()-simulatedSigma*simulatedSigma/2)
	simulation.place(&simulatedCall{host: host, work: work, arrived: simulation.now, fullTarget: -1})
}

// place sends a call to the next target, by the rules of the entry: three full
// targets are tried, then the call is queued at the one with the shortest wait.
func (simulation *simulation) place(call *simulatedCall) {
	remaining := simulatedObjective - simulation.now.Sub(call.arrived)
	request := placement.Call{Route: "browse", Objective: simulatedObjective, Excluded: call.excluded, Tried: call.excluded}
	if len(call.excluded) < 3 {
		choice, found := simulation.choosers[call.host].Choose(simulation.points, request, simulation.choices.Float64, simulation.now)
		if found {
			wait := simulatedObjective / 16
			if choice.Handover {
				wait = 0
			}
			call.target = slices.IndexFunc(simulation.points, func(point membership.Endpoint) bool { return point.Target.ID == choice.Target.ID })
			simulation.transmit(call, wait)
			return
		}
	}
	if call.fullTarget < 0 || call.fullWait > remaining {
		simulation.finish(call, true)
		return
	}
	call.target, call.fullTarget = call.fullTarget, -1
	simulation.transmit(call, remaining)
}

func (simulation *simulation) transmit(call *simulatedCall, wait time.Duration) {
	call.begun = simulation.now
	simulation.choosers[call.host].Begin(simulation.points[call.target].Target.ID, simulation.now)
	simulation.after(simulation.delay(call), func() { simulation.acquire(call, wait) })
}

func (simulation *simulation) isRemote(call *simulatedCall) bool {
	return dataCentre(call.host) != dataCentre(call.target)
}

func (simulation *simulation) delay(call *simulatedCall) time.Duration {
	if simulation.isRemote(call) {
		return 1400 * time.Microsecond
	}
	return 200 * time.Microsecond
}

// acquire asks the admission controller of the target for a slot. A call is
// blocked if it gets none while another target has one that is free.
func (simulation *simulation) acquire(call *simulatedCall, wait time.Duration) {
	server := simulation.servers[call.target]
	simulation.tickets++
	call.ticket = simulation.tickets
	verdict, decisions := server.controller.Acquire(admission.Request{
		Ticket: call.ticket, Route: "browse", MaxWait: wait, Deadline: call.arrived.Add(simulatedDeadline),
		Objective: simulatedObjective - simulation.now.Sub(call.arrived),
	}, simulation.now)
	simulation.apply(server, decisions)
	if verdict == admission.Admitted {
		simulation.serve(call)
		return
	}
	for _, other := range simulation.servers {
		call.blocked = call.blocked || other.hasRoom()
		call.waits = call.waits || verdict == admission.Waiting && other.hasRoom()
	}
	if verdict == admission.Waiting {
		server.waiting[call.ticket] = call
		return
	}
	simulation.reject(call)
}

func (simulation *simulation) apply(server *server, decisions []admission.Decision) {
	for _, decision := range decisions {
		call := server.waiting[decision.Ticket]
		delete(server.waiting, decision.Ticket)
		if decision.Verdict == admission.Admitted {
			simulation.serve(call)
			continue
		}
		simulation.reject(call)
	}
}

// reject returns a call to its host, which tries another target.
func (simulation *simulation) reject(call *simulatedCall) {
	load := simulation.servers[call.target].load()
	simulation.after(simulation.delay(call), func() {
		simulation.end(call, placement.Refused, load)
		call.excluded = append(call.excluded, simulation.points[call.target].Target.ID)
		if call.fullTarget < 0 || load.Wait < call.fullWait {
			call.fullTarget, call.fullWait = call.target, load.Wait
		}
		simulation.place(call)
	})
}

// serve runs a call on its target.
func (simulation *simulation) serve(call *simulatedCall) {
	service := time.Duration(call.work / simulation.speedOf(call.target) * float64(time.Second))
	simulation.after(service, func() {
		server := simulation.servers[call.target]
		simulation.apply(server, server.controller.Release(admission.Completion{Route: "browse", ServiceTime: service}, simulation.now))
		load := server.report(simulation.reportAge)
		simulation.after(simulation.delay(call), func() {
			simulation.end(call, placement.Answered, load)
			simulation.finish(call, false)
		})
	})
}

func (simulation *simulation) end(call *simulatedCall, outcome placement.Outcome, load balsamproxy.Load) {
	simulation.choosers[call.host].End(placement.Completion{
		Target: simulation.points[call.target].Target.ID, Service: "venues", Route: "browse", Outcome: outcome,
		Duration: simulation.now.Sub(call.begun), Load: load,
	}, simulation.now)
}

func (simulation *simulation) finish(call *simulatedCall, refused bool) {
	if call.arrived.Sub(start) < warmUp {
		return
	}
	simulation.result.record(call, simulation.now, refused, !refused && simulation.isRemote(call))
}

// sample records the utilization of all targets and their load reports.
func (simulation *simulation) sample() {
	for index, server := range simulation.servers {
		load := server.load()
		server.reports = append(server.reports, load)
		simulation.window[index] += float64(load.InFlight+load.Queued) / float64(load.Limit)
	}
	simulation.samples++
	if simulation.samples%windowSamples == 0 {
		if simulation.now.Sub(start) >= warmUp {
			simulation.result.ratios = append(simulation.result.ratios, slices.Max(simulation.window)/mean(simulation.window))
		}
		clear(simulation.window)
	}
	simulation.after(sampleInterval, simulation.sample)
}
