package placement

import (
	"math"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
)

const (
	// spareRoom is added to the free share of a target's slots, so that a target
	// that is reported as full still gets some calls: the report is old, and calls
	// end at it all the time. It also bounds how strongly old reports are acted on.
	spareRoom = 0.2
	// leastRoom bounds the free share of a target from below.
	leastRoom = 0.02
	// spillThreshold is the utilization of the local targets above which calls
	// without a body leave the data centre.
	spillThreshold = 0.6
	// spillGain relates the calls that leave the data centre to the difference in
	// utilization. With 3.0 and reports 250 ms old, more calls found no free slot.
	spillGain = 1.5
	// latenessGain relates the calls that leave the data centre to how much likelier
	// they miss their objective there than the traffic is worth.
	latenessGain = 4
	// levelWindow is the time constant of the utilization of the local targets. It
	// is longer than the age of the reports, so that load does not swing between
	// data centres: without it, 52 % of the calls of an overloaded service with five
	// targets left theirs, with it 21 %.
	levelWindow = 500 * time.Millisecond
	// reportTTL is how long a report is used. It loses weight with its age.
	reportTTL = 5 * time.Second
	// unknownUtilization is assumed for targets of which there is no report.
	unknownUtilization = 0.5
	// nearlyFull is the estimated utilization up to which a target is expected to
	// have a free slot.
	nearlyFull = 0.95
	// speedSlope and maxSpeedExponent determine how strongly targets slower than the
	// mean are avoided: the more room there is at the others, the less it makes calls
	// wait. An exponent of 1 uses the slots of all targets evenly. Faster targets are
	// not preferred further, since they would be the first to be full.
	speedSlope       = 13
	maxSpeedExponent = 6
	// slownessWeight is the weight of one call in the learned slowness of a target,
	// and maxSlowness bounds a single observation. slownessAge is the age at which
	// it counts half, so that a slow target is tried again.
	slownessWeight = 0.1
	maxSlowness    = 8
	slownessAge    = 10 * time.Second
	// failureAversion is the exponent by which a failure rate above that of the
	// service takes calls from a target. One failure takes 85 %.
	failureAversion = 16
	// coldShare is the share of its calls that a cold target gets. It takes few calls
	// a second until it is warm, and rejects the others.
	coldShare = 0.05
	// maxCredit bounds how far a target may be ahead of or behind its share, in
	// calls.
	maxCredit = 2
	// triedShare is the share of its calls that a target gets of those that it has
	// rejected before.
	triedShare = 0.1
	// handoverHealth is the health above which a target counts as one that a call
	// may be handed over to.
	handoverHealth = 0.5
	// leastHealthy avoids a division by zero if all local targets fail.
	leastHealthy = 0.01
)

// Reason tells why a target was selected.
type Reason string

// Reasons of FreeRoom.
const (
	// ReasonLocal is a target in the data centre of the host.
	ReasonLocal Reason = "local"
	// ReasonSpill is a target in another data centre, because local ones are short
	// of room.
	ReasonSpill Reason = "spill"
	// ReasonNoLocal is a target in another data centre, because there is no other
	// one in that of the host.
	ReasonNoLocal Reason = "no-local"
)

// FreeRoom distributes calls in proportion to the estimated free room of the
// targets. Each target collects credit by its share, and the call goes to the
// target with the most credit, so that the calls of many hosts with the same
// reports arrive evenly instead of at the cheapest target. The zero value is
// ready to use.
//
// It is designed for about 80 hosts that each send some 20 calls a second to a
// service with 5 to 40 targets, and for reports up to 250 ms old.
type FreeRoom struct {
	// DataCentre is the data centre of this host.
	DataCentre balsamproxy.DataCentreID

	statistics
	// levels holds the utilization of the local targets of each service.
	levels     map[balsamproxy.ServiceID]level
	candidates []candidate
}

// level is a moving average of the utilization of the local targets.
type level struct {
	mean float64
	at   time.Time
}

// candidate is a target that a call may be sent to.
type candidate struct {
	*targetStats
	index       int
	local       bool
	reported    bool
	slots       float64
	utilization float64
	// latency is the recent mean latency of the route, 0 if it is not known.
	latency time.Duration
	// health is 1 for a target that fails no more calls than others.
	health float64
	weight float64
}

// group is a set of targets.
type group struct {
	// slots and healthy cover all targets, used and reported those with a report.
	slots, healthy, used, reported float64
	// seconds is the sum of the mean latencies of the measured targets.
	seconds, measured float64
}

func (group *group) add(candidate *candidate) {
	group.slots += candidate.slots
	group.healthy += candidate.slots * candidate.health
	if candidate.reported {
		group.used += candidate.slots * candidate.utilization
		group.reported += candidate.slots
	}
	if candidate.latency > 0 {
		group.seconds += candidate.latency.Seconds()
		group.measured++
	}
}

// missProbability returns the probability that a call misses the objective at a
// target of the group. If no latency is known, calls are expected to be in time,
// so that some are sent there.
func (group *group) missProbability(objective time.Duration) float64 {
	if group.measured == 0 || objective <= 0 {
		return 0
	}
	return missProbability(time.Duration(group.seconds/group.measured*float64(time.Second)), objective)
}

func (group *group) utilization() float64 {
	if group.reported == 0 {
		return unknownUtilization
	}
	return group.used / group.reported
}

// Choose implements Policy.
func (room *FreeRoom) Choose(endpoints []membership.Endpoint, call Call, random func() float64, now time.Time) (Choice, bool) {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	local, remote := room.collect(endpoints, call, random, now)
	if len(room.candidates) == 0 {
		return Choice{}, false
	}
	weighing := weighing{local: local.utilization(), remote: remote.utilization(), hasLocal: local.slots > 0, now: now}
	weighing.mean = room.routes[call.Route].mean
	if weighing.hasLocal {
		smoothed := room.localLevel(endpoints[0].Target.Service, weighing.local, len(call.Excluded) == 0, now)
		weighing.level = (smoothed + leastHealthy) / (local.healthy/local.slots + leastHealthy)
		weighing.setSpill(call, local, remote)
	}
	total := 0.0
	for index := range room.candidates {
		candidate := &room.candidates[index]
		weighing.apply(candidate)
		if endpoints[candidate.index].Target.State == balsamproxy.TargetCold {
			candidate.weight *= coldShare
		}
		if contains(call.Tried, endpoints[candidate.index].Target.ID) {
			candidate.weight *= triedShare
		}
		total += candidate.weight
	}
	best := room.mostCredit(total)
	choice := room.choice(endpoints, best, weighing.hasLocal)
	// A call is turned away at most once, so that it waits as patiently as it would
	// otherwise if the reports are wrong.
	choice.Handover = len(call.Tried) == 0 && room.hasOtherRoom(best)
	return choice, true
}

// distanceCost returns the cost of leaving the data centre with a call.
func distanceCost(call Call) float64 {
	return remoteCost + remoteCostPerKilobyte*float64(call.Bytes)/1024
}

// collect lists the candidates and returns the sums over local and remote ones.
func (room *FreeRoom) collect(endpoints []membership.Endpoint, call Call, random func() float64, now time.Time) (local, remote group) {
	room.candidates = room.candidates[:0]
	if len(endpoints) == 0 {
		return local, remote
	}
	baseline := room.serviceFailureRate(endpoints[0].Target.Service, now)
	for index := range endpoints {
		endpoint := &endpoints[index]
		if contains(call.Excluded, endpoint.Target.ID) {
			continue
		}
		stats, found := room.targets[endpoint.Target.ID]
		if !found {
			stats = room.stats(endpoint.Target.ID, now)
			stats.credit = random()
		}
		candidate := candidate{targetStats: stats, index: index, local: endpoint.DataCentre == room.DataCentre}
		candidate.slots = float64(max(endpoint.Target.Slots, 1))
		if stats.load.Limit > 0 && now.Sub(stats.loadAt) < reportTTL {
			candidate.reported = true
			candidate.slots = float64(stats.load.Limit)
			candidate.utilization = max(stats.utilizationSince(), 0)
		}
		if latency := stats.latencies[call.Route]; now.Sub(latency.at) < slownessAge {
			candidate.latency = latency.mean
		}
		candidate.health = stats.health(baseline, now)
		if candidate.local {
			local.add(&candidate)
		} else {
			remote.add(&candidate)
		}
		room.candidates = append(room.candidates, candidate)
	}
	return local, remote
}

// utilizationSince returns the last reported utilization of a target, corrected
// by the calls of this daemon since then.
func (stats *targetStats) utilizationSince() float64 {
	used := stats.load.InFlight + stats.load.Queued + stats.inFlight - stats.inFlightAtLoad
	return float64(used) / float64(stats.load.Limit)
}

// health returns the factor by which failures reduce the weight of a target.
func (stats *targetStats) health(baseline float64, now time.Time) float64 {
	if stats.failures.rate <= 0 {
		return 1
	}
	excess := stats.failures.decayed(baseline, now) - baseline
	if excess <= 0 {
		return 1
	}
	return math.Exp(-failureAversion * excess)
}

// localLevel returns the moving average of the utilization of the local targets
// of a service, updated with the present one if all of them are candidates.
func (room *FreeRoom) localLevel(service balsamproxy.ServiceID, utilization float64, update bool, now time.Time) float64 {
	stored, found := room.levels[service]
	if !found {
		stored = level{mean: utilization, at: now}
	}
	if update {
		stored.mean += (utilization - stored.mean) * (1 - math.Exp(-float64(now.Sub(stored.at))/float64(levelWindow)))
		stored.at = now
	}
	if room.levels == nil {
		room.levels = map[balsamproxy.ServiceID]level{}
	}
	room.levels[service] = stored
	return stored.mean
}

// weighing holds what the weight of a target depends on besides its own state.
type weighing struct {
	local, remote float64
	hasLocal      bool
	// level is the utilization of the local targets that serve calls, and spill the
	// preference of remote ones.
	level, spill float64
	// late is the preference of remote targets because local ones are slow.
	late float64
	mean time.Duration
	now  time.Time
}

// setSpill sets the preference of remote targets.
func (weighing *weighing) setSpill(call Call, local, remote group) {
	if remote.slots == 0 {
		return
	}
	cost := distanceCost(call)
	// The threshold approaches 1 with the cost of the traffic.
	threshold := 1 - (1-spillThreshold)*remoteCost/cost
	weighing.spill = min(max((weighing.level-threshold)/(1-threshold), 0), 1) * spillGain
	lateness := local.missProbability(call.Objective) - remote.missProbability(call.Objective)
	weighing.late = min(max(lateness-cost, 0)*latenessGain, 1)
}

// apply estimates the present utilization of a target and sets its weight.
func (weighing *weighing) apply(candidate *candidate) {
	expected := weighing.remote
	if candidate.local {
		expected = weighing.local
	}
	utilization := expected
	if candidate.reported {
		// The calls of the report end after about their mean latency, and other hosts
		// replace them by the same rules, which bring all targets to the same level.
		age := float64(weighing.now.Sub(candidate.loadAt)) / float64(max(weighing.mean, defaultLatency))
		utilization = expected + (candidate.utilization-expected)/(1+age+age*age/2)
	}
	candidate.utilization = utilization
	weight := candidate.slots * candidate.speedFactor(expected, weighing.now) * candidate.health
	free := max(1-utilization+spareRoom, leastRoom)
	switch {
	case candidate.local:
		weight *= (1 - weighing.late) * free / (1 - min(weighing.local, 1) + spareRoom)
	case weighing.hasLocal:
		weight *= weighing.spill*max(weighing.level-utilization, 0) + weighing.late*free
	default:
		weight *= free
	}
	candidate.weight = weight
}

// speedFactor returns the factor by which the weight of a target differs from
// that of one with the mean speed.
func (stats *targetStats) speedFactor(utilization float64, now time.Time) float64 {
	switch {
	case stats.slowness == 0:
		return 1
	case stats.slowness <= 1:
		return 1 / stats.slowness
	}
	exponent := min(max(1+speedSlope*(1-utilization), 1), maxSpeedExponent)
	exponent *= float64(slownessAge) / float64(slownessAge+now.Sub(stats.slownessAt))
	return math.Pow(stats.slowness, -exponent)
}

// mostCredit gives each candidate its share of one call as credit, and takes the
// call from the one with the most.
func (room *FreeRoom) mostCredit(total float64) *candidate {
	best := &room.candidates[0]
	for index := range room.candidates {
		candidate := &room.candidates[index]
		if total > 0 {
			candidate.credit = min(candidate.credit+candidate.weight/total, maxCredit)
		}
		if candidate.weight > 0 && (best.weight <= 0 || candidate.credit > best.credit) {
			best = candidate
		}
	}
	best.credit = max(best.credit-1, -maxCredit)
	return best
}

func (room *FreeRoom) choice(endpoints []membership.Endpoint, best *candidate, hasLocal bool) Choice {
	choice := Choice{Endpoint: endpoints[best.index], Utilization: best.utilization, Reason: ReasonLocal}
	switch {
	case !best.local && hasLocal:
		choice.Reason = ReasonSpill
	case !best.local:
		choice.Reason = ReasonNoLocal
	}
	return choice
}

// hasOtherRoom reports whether another candidate probably has a free slot.
func (room *FreeRoom) hasOtherRoom(chosen *candidate) bool {
	for index := range room.candidates {
		other := &room.candidates[index]
		if other != chosen && other.utilization < nearlyFull && other.health > handoverHealth {
			return true
		}
	}
	return false
}
