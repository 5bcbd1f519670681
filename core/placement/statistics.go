package placement

import (
	"math"
	"sync"
	"time"

	"balsamproxy"
)

// statistics holds what earlier calls showed about targets, services and routes.
type statistics struct {
	mutex   sync.Mutex
	targets map[balsamproxy.TargetID]*targetStats
	// services holds the failure rate of each service over all of its targets.
	services map[balsamproxy.ServiceID]*failureRate
	// routes holds the latency of each route over all targets.
	routes map[balsamproxy.RouteID]latencyEstimate
}

type targetStats struct {
	inFlight  int
	latencies map[balsamproxy.RouteID]latencyEstimate
	failures  failureRate
	// load is the last load report of the target, and inFlightAtLoad how many
	// calls of this daemon were in flight when it arrived.
	load           balsamproxy.Load
	inFlightAtLoad int
	loadAt         time.Time
	usedAt         time.Time
	// credit and slowness are used by FreeRoom only. slowness is the mean ratio of the
	// duration of a call to the mean of its route.
	credit     float64
	slowness   float64
	slownessAt time.Time
}

// failureRate is an exponentially decaying failure rate.
type failureRate struct {
	rate float64
	at   time.Time
}

// decayed returns the rate at an instant; it decays towards the baseline.
func (failures failureRate) decayed(baseline float64, now time.Time) float64 {
	age := now.Sub(failures.at)
	return baseline + (failures.rate-baseline)*math.Exp2(-float64(age)/float64(failureHalfLife))
}

func (failures *failureRate) observe(failed, weight, baseline float64, now time.Time) {
	rate := failures.decayed(baseline, now)
	failures.rate = rate + (failed-rate)*weight
	failures.at = now
}

// latencyEstimate is the mean latency of one route.
type latencyEstimate struct {
	mean time.Duration
	at   time.Time
}

// statsTTL is how long the statistics of an unused target are kept.
const statsTTL = time.Minute

func (statistics *statistics) stats(target balsamproxy.TargetID, now time.Time) *targetStats {
	stats, found := statistics.targets[target]
	if !found {
		if statistics.targets == nil {
			statistics.targets = map[balsamproxy.TargetID]*targetStats{}
		}
		statistics.evictIdle(now)
		stats = &targetStats{latencies: map[balsamproxy.RouteID]latencyEstimate{}}
		statistics.targets[target] = stats
	}
	stats.usedAt = now
	return stats
}

func (statistics *statistics) evictIdle(now time.Time) {
	for target, stats := range statistics.targets {
		if stats.inFlight == 0 && now.Sub(stats.usedAt) > statsTTL {
			delete(statistics.targets, target)
		}
	}
}

// serviceFailureRate returns the failure rate of a service over all targets.
func (statistics *statistics) serviceFailureRate(service balsamproxy.ServiceID, now time.Time) float64 {
	estimate, found := statistics.services[service]
	if !found {
		return 0
	}
	return estimate.decayed(0, now)
}

// Begin counts a call that is sent to a target.
func (statistics *statistics) Begin(target balsamproxy.TargetID, now time.Time) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	statistics.stats(target, now).inFlight++
}

// Outcome is the result of a call.
type Outcome int

// Call outcomes.
const (
	// Answered is a successful response.
	Answered Outcome = iota
	// Failed is a response that reports a failure of the target.
	Failed
	// Lost is a call without a response.
	Lost
	// Refused is a call that was rejected before it reached the target.
	Refused
	// Inconclusive is a call that says nothing about the target.
	Inconclusive
)

// Completion describes a completed call.
type Completion struct {
	Target   balsamproxy.TargetID
	Service  balsamproxy.ServiceID
	Route    balsamproxy.RouteID
	Outcome  Outcome
	Duration time.Duration
	// Load is the load report of the target; it may be zero.
	Load balsamproxy.Load
}

// End records a completed call.
func (statistics *statistics) End(ended Completion, now time.Time) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	stats := statistics.stats(ended.Target, now)
	stats.inFlight--
	if ended.Load.Limit > 0 {
		stats.load = ended.Load
		stats.inFlightAtLoad = stats.inFlight
		stats.loadAt = now
	}
	switch ended.Outcome {
	case Answered:
		stats.recordSlowness(ended.Duration, statistics.routes[ended.Route].mean, now)
		stats.latencies[ended.Route] = stats.latencies[ended.Route].observe(ended.Duration, now)
		statistics.recordLatency(ended.Route, ended.Duration, now)
		statistics.recordOutcome(ended, 0, failureWeight, now)
	case Failed:
		statistics.recordOutcome(ended, 1, failureWeight, now)
	case Lost:
		statistics.recordOutcome(ended, 1, lossWeight, now)
	}
}

// recordSlowness compares the duration of a call with the mean of its route.
func (stats *targetStats) recordSlowness(duration, mean time.Duration, now time.Time) {
	if mean <= 0 {
		return
	}
	if stats.slowness == 0 {
		stats.slowness = 1
	}
	observed := min(max(float64(duration)/float64(mean), 1.0/maxSlowness), maxSlowness)
	stats.slowness += (observed - stats.slowness) * slownessWeight
	stats.slownessAt = now
}

// recordOutcome updates the failure rates of a target and of its service.
func (statistics *statistics) recordOutcome(ended Completion, failed, weight float64, now time.Time) {
	if statistics.services == nil {
		statistics.services = map[balsamproxy.ServiceID]*failureRate{}
	}
	service, found := statistics.services[ended.Service]
	if !found {
		service = &failureRate{at: now}
		statistics.services[ended.Service] = service
	}
	service.observe(failed, serviceFailureWeight, 0, now)
	statistics.targets[ended.Target].failures.observe(failed, weight, service.rate, now)
}

func (statistics *statistics) recordLatency(route balsamproxy.RouteID, duration time.Duration, now time.Time) {
	if statistics.routes == nil {
		statistics.routes = map[balsamproxy.RouteID]latencyEstimate{}
	}
	statistics.routes[route] = statistics.routes[route].observe(duration, now)
}

// observe returns the estimate updated with one more response.
func (estimate latencyEstimate) observe(duration time.Duration, now time.Time) latencyEstimate {
	if estimate.at.IsZero() {
		return latencyEstimate{mean: duration, at: now}
	}
	return latencyEstimate{mean: estimate.mean + time.Duration(float64(duration-estimate.mean)*latencyWeight), at: now}
}
