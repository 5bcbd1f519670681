// Package placement selects the target of a call by expected cost, estimated
// from the responses and rejections of earlier calls.
//
// It is designed for services whose targets differ in speed, for expensive
// traffic between data centres, and for targets that fail some of their calls
// while they look healthy. Targets in the local data centre are preferred
// unless they are slower than remote ones by more than the traffic is worth. A
// failing target receives fewer calls, and is retried gradually as its
// failures age.
package placement

import (
	"math"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
)

const (
	// remoteCost is the cost of leaving the local data centre with a call without
	// a body, as a fraction of the value of a response. A small request and its
	// response are about two kilobytes.
	remoteCost = 0.15
	// remoteCostPerKilobyte is added for each kilobyte of the request body; the
	// response is assumed to be about as long.
	remoteCostPerKilobyte = 0.04
	// latencySigma is the standard deviation of the logarithm of the latency. In
	// real services the latency commonly varies by half of its mean.
	latencySigma = 0.5
	// failureCost is the cost of a certain failure, including the time lost before
	// a retry.
	failureCost = 1.5
	// failureHalfLife is the half-life of the deviation of a failure rate from its
	// baseline.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one call in the failure rate of a target.
	failureWeight = 0.12
	// lossWeight is the weight of one lost connection or unreachable target.
	lossWeight = 0.5
	// serviceFailureWeight is the weight of one call in the failure rate of its
	// service.
	serviceFailureWeight = 0.03
	// coldCost is added for a target that is warming up: it takes few calls a second
	// and rejects the others, so it is used if no other target is expected to respond.
	coldCost = 1.0
	// triedCost is added for a target that has already rejected this call.
	triedCost = 0.1
	// loadReportTTL is how long a reported load is used.
	loadReportTTL = 250 * time.Millisecond
	// latencyWeight is the weight of one call in a mean latency.
	latencyWeight = 0.1
	// latencyHalfLife is the half-life of the latency estimate of an unused
	// target. The estimate decays so that a slow target is tried again.
	latencyHalfLife = 3 * time.Second
	// defaultLatency is assumed for a target that has not responded yet, and is
	// the lower bound of all estimates.
	defaultLatency = 20 * time.Millisecond
	// saturationThreshold is the utilization above which the expected latency
	// rises, reaching twice its value when all slots are in use. Some targets slow
	// down when nearly full, and the calls of other daemons become visible only
	// with a delay.
	saturationThreshold = 0.7
	// maxProbes is how many concurrent calls may probe a target without recent
	// data. While they are in flight the target is assumed to be no faster than
	// the others.
	maxProbes = 2
	// linearLatencyCost is charged in proportion to the expected latency, so that
	// the faster of two targets is selected when both meet the objective.
	linearLatencyCost = 0.05
	// jitter is the random fraction of the cost, so that daemons with the same
	// data do not all select the same target.
	jitter = 0.15
)

// Call describes a call to be placed.
type Call struct {
	Route balsamproxy.RouteID
	// Bytes is the length of the body.
	Bytes int
	// Objective is the latency objective.
	Objective time.Duration
	// Excluded lists targets that must not be selected, Tried those that have
	// already rejected the call.
	Excluded []balsamproxy.TargetID
	Tried    []balsamproxy.TargetID
}

// Chooser selects targets by the statistics that it keeps of each one. The
// zero value is ready to use.
type Chooser struct {
	// DataCentre is the data centre of this host.
	DataCentre balsamproxy.DataCentreID

	statistics
}

// Choose returns the endpoint with the lowest expected cost. The random
// function returns uniformly distributed numbers in [0, 1).
func (chooser *Chooser) Choose(endpoints []membership.Endpoint, call Call, random func() float64, now time.Time) (Choice, bool) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	var best membership.Endpoint
	lowest := math.Inf(1)
	for _, endpoint := range endpoints {
		if contains(call.Excluded, endpoint.Target.ID) {
			continue
		}
		cost := chooser.cost(endpoint, call, now) * (1 + jitter*random())
		if cost < lowest {
			lowest = cost
			best = endpoint
		}
	}
	return Choice{Endpoint: best}, !math.IsInf(lowest, 1)
}

func contains(excluded []balsamproxy.TargetID, target balsamproxy.TargetID) bool {
	for _, other := range excluded {
		if other == target {
			return true
		}
	}
	return false
}

// cost returns the expected cost of sending a call to an endpoint, relative to
// the value of a response. It sums the probability of missing the objective, the
// probability of failure, the cost of traffic between data centres, and a penalty
// if the target has already rejected the call.
func (chooser *Chooser) cost(endpoint membership.Endpoint, call Call, now time.Time) float64 {
	base := 0.0
	if endpoint.DataCentre != chooser.DataCentre {
		base = remoteCost + remoteCostPerKilobyte*float64(call.Bytes)/1024
	}
	if contains(call.Tried, endpoint.Target.ID) {
		base += triedCost
	}
	if endpoint.Target.State == balsamproxy.TargetCold {
		base += coldCost
	}
	baseline := chooser.serviceFailureRate(endpoint.Target.Service, now)
	stats, found := chooser.targets[endpoint.Target.ID]
	if !found {
		return base + latencyCost(defaultLatency, call.Objective) + failureCost*baseline
	}
	saturation := max(stats.utilization(endpoint.Target.Slots, now)-saturationThreshold, 0) / (1 - saturationThreshold)
	expected := time.Duration(float64(chooser.latency(stats, call.Route, now)) * (1 + saturation))
	if now.Sub(stats.loadAt) < loadReportTTL {
		expected += stats.load.Wait
	}
	return base + latencyCost(expected, call.Objective) + failureCost*stats.failures.decayed(baseline, now)
}

// latencyCost returns the probability that a response with the expected
// latency misses the objective, for log-normally distributed latencies, plus a
// linear term.
func latencyCost(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	return missProbability(expected, objective) + linearLatencyCost*float64(expected)/float64(objective)
}

// missProbability returns the probability that a response with the expected
// latency misses the objective, for log-normally distributed latencies.
func missProbability(expected, objective time.Duration) float64 {
	ratio := float64(expected) / float64(objective)
	deviations := (latencySigma*latencySigma/2 - math.Log(ratio)) / latencySigma
	return math.Erfc(deviations/math.Sqrt2) / 2
}

// utilization returns the fraction of the slots of a target in use: the last
// report plus the calls that this daemon has started since, or only the calls
// of this daemon if the report is too old.
func (stats *targetStats) utilization(slots int, now time.Time) float64 {
	inFlight := stats.inFlight
	if now.Sub(stats.loadAt) < loadReportTTL {
		inFlight = stats.load.InFlight + stats.load.Queued + stats.inFlight - stats.inFlightAtLoad
	}
	return float64(inFlight) / float64(max(slots, 1))
}

// latency estimates the latency of a route at a target. The estimate decays
// with its age, so that the target is probed again. While probes are in
// flight, the undecayed estimate of the target counts, or that of the route
// over all targets if there is none.
func (chooser *Chooser) latency(stats *targetStats, route balsamproxy.RouteID, now time.Time) time.Duration {
	estimate, found := stats.latencies[route]
	if !found {
		estimate = chooser.routes[route]
	}
	if found && stats.inFlight >= maxProbes {
		return max(estimate.mean, defaultLatency)
	}
	if !found && stats.inFlight < maxProbes {
		return defaultLatency
	}
	age := now.Sub(estimate.at)
	return max(time.Duration(float64(estimate.mean)*math.Exp2(-float64(age)/float64(latencyHalfLife))), defaultLatency)
}
