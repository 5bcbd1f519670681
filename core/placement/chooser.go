// Package placing chooses the target of a call by the time that an answer is
// expected to take, as earlier answers and refusals showed it.
//
// It answers the load in which targets of one service differ in speed, bytes
// between data centres are dear, and some targets fail a part of their calls
// while they look well: near targets come first as long as they are no slower
// than far ones by more than the bytes are worth, and a target that fails is
// given less, and a little again after a while.
package placement

import (
	"math"
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
)

const (
	// farCost is what it costs to leave the own data centre, in parts of what
	// an answer is worth, for a call without a body: a small request and its
	// answer are about two kilobytes.
	farCost = 0.15
	// farCostPerKilobyte is added for each kilobyte of the body; the answer
	// is taken to be about as long.
	farCostPerKilobyte = 0.04
	// spread is the standard deviation of the logarithm of the time of an
	// answer: half an answer's usual time is a common spread of real work.
	spread = 0.5
	// failureCost is what a call costs that fails for certain, with the time
	// that is lost for a repeat.
	failureCost = 1.5
	// failureHalfLife is the time in which half of a failure is forgotten.
	failureHalfLife = 2 * time.Second
	// failurePart is the weight of one call in the share of failures.
	failurePart = 0.12
	// lossPart is the weight of one lost connection or unreachable target.
	lossPart = 0.5
	// servicePart is the weight of one call in the failures of its service.
	servicePart = 0.03
	// triedCost is added for a target that has just refused the call.
	triedCost = 0.1
	// waitMemory is how long a wait that a target told is believed.
	waitMemory = 250 * time.Millisecond
	// latencyPart is the weight of one call in the usual time of an answer.
	latencyPart = 0.1
	// latencyHalfLife is the time in which the usual time of a target that is
	// not asked is taken for half as long, so that it is asked again.
	latencyHalfLife = 3 * time.Second
	// unknownLatency is taken for a target that has not answered yet.
	unknownLatency = 20 * time.Millisecond
	// crowdFrom is the part of a target's slots from which on calls under way
	// make it slower: some targets slow down when they are nearly full, and
	// what other daemons send is seen late. From there to all slots the
	// expected time doubles.
	crowdFrom = 0.7
	// explorersMax is how many calls at a time try a target of which nothing
	// new is known; until they are answered it is taken for no faster than
	// the others.
	explorersMax = 2
	// evenCost is charged for the expected time as such, so that of two
	// targets that are both in time the faster one is chosen.
	evenCost = 0.05
	// jitter is the random part of the cost, so that daemons that know the
	// same do not all choose the same.
	jitter = 0.15
)

// Call is what matters of a call for its place.
type Call struct {
	Route balsamproxy.RouteID
	// Bytes is the length of the body.
	Bytes int
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Excluded are targets that must not be chosen, and Tried those that
	// have refused the call.
	Excluded []balsamproxy.TargetID
	Tried    []balsamproxy.TargetID
}

// Chooser remembers what each target showed. Its zero value works.
type Chooser struct {
	// DataCentre is the data centre of this host.
	DataCentre balsamproxy.DataCentreID

	mutex   sync.Mutex
	targets map[balsamproxy.TargetID]*memory
	// services hold the failures of all targets of a service together.
	services map[balsamproxy.ServiceID]*failures
	// kinds hold the usual time of each kind at all targets together.
	kinds map[balsamproxy.RouteID]latency
}

type memory struct {
	open      int
	latencies map[balsamproxy.RouteID]latency
	failures  failures
	// load is what the target's door told last, and loadOpen how many calls
	// of this daemon were under way then.
	load     balsamproxy.Load
	loadOpen int
	loadAt   time.Time
	usedAt   time.Time
}

// failures is the share of calls that failed lately.
type failures struct {
	share float64
	at    time.Time
}

// now returns the share, which in time becomes the usual one.
func (failures failures) now(usual float64, now time.Time) float64 {
	age := now.Sub(failures.at)
	return usual + (failures.share-usual)*math.Exp2(-float64(age)/float64(failureHalfLife))
}

func (failures *failures) note(failed, part, usual float64, now time.Time) {
	share := failures.now(usual, now)
	failures.share = share + (failed-share)*part
	failures.at = now
}

// latency is the usual time of the answers of one kind.
type latency struct {
	mean time.Duration
	at   time.Time
}

// forgetAfter is how long an unused target is remembered.
const forgetAfter = time.Minute

func (chooser *Chooser) memory(target balsamproxy.TargetID, now time.Time) *memory {
	held, found := chooser.targets[target]
	if !found {
		if chooser.targets == nil {
			chooser.targets = map[balsamproxy.TargetID]*memory{}
		}
		chooser.forget(now)
		held = &memory{latencies: map[balsamproxy.RouteID]latency{}}
		chooser.targets[target] = held
	}
	held.usedAt = now
	return held
}

func (chooser *Chooser) forget(now time.Time) {
	for target, held := range chooser.targets {
		if held.open == 0 && now.Sub(held.usedAt) > forgetAfter {
			delete(chooser.targets, target)
		}
	}
}

// Choose returns the endpoint with the least expected cost. Random returns
// uniform numbers from 0 up to 1.
func (chooser *Chooser) Choose(endpoints []membership.Endpoint, call Call, random func() float64, now time.Time) (membership.Endpoint, bool) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	var best membership.Endpoint
	least := math.Inf(1)
	for _, endpoint := range endpoints {
		if excludes(call.Excluded, endpoint.Target.ID) {
			continue
		}
		cost := chooser.cost(endpoint, call, now) * (1 + jitter*random())
		if cost < least {
			least = cost
			best = endpoint
		}
	}
	return best, !math.IsInf(least, 1)
}

func excludes(excluded []balsamproxy.TargetID, target balsamproxy.TargetID) bool {
	for _, other := range excluded {
		if other == target {
			return true
		}
	}
	return false
}

// cost returns what a call to an endpoint is expected to cost, in parts of
// what its answer is worth: the chance that it comes late, the chance that it
// fails, and the way there.
func (chooser *Chooser) cost(endpoint membership.Endpoint, call Call, now time.Time) float64 {
	far := 0.0
	if endpoint.DataCentre != chooser.DataCentre {
		far = farCost + farCostPerKilobyte*float64(call.Bytes)/1024
	}
	if excludes(call.Tried, endpoint.Target.ID) {
		far += triedCost
	}
	usual := chooser.usualFailures(endpoint.Target.Service, now)
	held, found := chooser.targets[endpoint.Target.ID]
	if !found {
		return far + lateness(unknownLatency, call.Objective) + failureCost*usual
	}
	crowd := max(held.occupied(endpoint.Target.Slots, now)-crowdFrom, 0) / (1 - crowdFrom)
	expected := time.Duration(float64(chooser.latency(held, call.Route, now)) * (1 + crowd))
	if now.Sub(held.loadAt) < waitMemory {
		expected += held.load.Wait
	}
	return far + lateness(expected, call.Objective) + failureCost*held.failures.now(usual, now)
}

// lateness returns the chance that an answer with a usual time misses its
// objective, where the logarithm of the time is normally distributed.
func lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	part := float64(expected) / float64(objective)
	deviations := (spread*spread/2 - math.Log(part)) / spread
	return math.Erfc(deviations/math.Sqrt2)/2 + evenCost*part
}

// occupied returns the part of a target's slots that is taken: by what its
// door told a moment ago and this daemon has sent since, or else by the calls
// of this daemon.
func (held *memory) occupied(slots int, now time.Time) float64 {
	open := held.open
	if now.Sub(held.loadAt) < waitMemory {
		open = held.load.InFlight + held.load.Queued + held.open - held.loadOpen
	}
	return float64(open) / float64(max(slots, 1))
}

// latency returns the usual time of a kind at a target. The longer none was
// seen, the less is expected, so that the target is tried again; while a few
// calls try it, what is known of it or of all targets counts.
func (chooser *Chooser) latency(held *memory, kind balsamproxy.RouteID, now time.Time) time.Duration {
	known, found := held.latencies[kind]
	if !found {
		known = chooser.kinds[kind]
	}
	if found && held.open >= explorersMax {
		return max(known.mean, unknownLatency)
	}
	if !found && held.open < explorersMax {
		return unknownLatency
	}
	age := now.Sub(known.at)
	return max(time.Duration(float64(known.mean)*math.Exp2(-float64(age)/float64(latencyHalfLife))), unknownLatency)
}

// usualFailures returns the share of failed calls of a service as a whole.
func (chooser *Chooser) usualFailures(service balsamproxy.ServiceID, now time.Time) float64 {
	known, found := chooser.services[service]
	if !found {
		return 0
	}
	return known.now(0, now)
}

// Begin counts a call that is sent to a target.
func (chooser *Chooser) Begin(target balsamproxy.TargetID, now time.Time) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	chooser.memory(target, now).open++
}

// Outcome is how a call ended.
type Outcome int

// Outcomes of a call.
const (
	// Answered is a good answer.
	Answered Outcome = iota
	// Failed is an answer that says that the target failed.
	Failed
	// Lost is a call that got no answer.
	Lost
	// Refused is a call that was not let in.
	Refused
	// Inconclusive tells nothing of the target.
	Inconclusive
)

// Completion is how a call ended.
type Completion struct {
	Target   balsamproxy.TargetID
	Service  balsamproxy.ServiceID
	Route    balsamproxy.RouteID
	Outcome  Outcome
	Duration time.Duration
	// Load is what the target's door told; it may be zero.
	Load balsamproxy.Load
}

// End notes how a call ended.
func (chooser *Chooser) End(ended Completion, now time.Time) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	held := chooser.memory(ended.Target, now)
	held.open--
	if ended.Load.Limit > 0 {
		held.load = ended.Load
		held.loadOpen = held.open
		held.loadAt = now
	}
	switch ended.Outcome {
	case Answered:
		held.latencies[ended.Route] = held.latencies[ended.Route].learn(ended.Duration, now)
		chooser.learn(ended.Route, ended.Duration, now)
		chooser.note(ended, 0, failurePart, now)
	case Failed:
		chooser.note(ended, 1, failurePart, now)
	case Lost:
		chooser.note(ended, 1, lossPart, now)
	}
}

// note adds an outcome to the failures of a target and of its service.
func (chooser *Chooser) note(ended Completion, failed, part float64, now time.Time) {
	if chooser.services == nil {
		chooser.services = map[balsamproxy.ServiceID]*failures{}
	}
	service, found := chooser.services[ended.Service]
	if !found {
		service = &failures{at: now}
		chooser.services[ended.Service] = service
	}
	service.note(failed, servicePart, 0, now)
	chooser.targets[ended.Target].failures.note(failed, part, service.share, now)
}

func (chooser *Chooser) learn(kind balsamproxy.RouteID, took time.Duration, now time.Time) {
	if chooser.kinds == nil {
		chooser.kinds = map[balsamproxy.RouteID]latency{}
	}
	chooser.kinds[kind] = chooser.kinds[kind].learn(took, now)
}

// learn returns the usual time with one more answer.
func (known latency) learn(took time.Duration, now time.Time) latency {
	if known.at.IsZero() {
		return latency{mean: took, at: now}
	}
	return latency{mean: known.mean + time.Duration(float64(took-known.mean)*latencyPart), at: now}
}
