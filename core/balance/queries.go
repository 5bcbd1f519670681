package balance

import (
	"math/bits"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
)

// Choose selects an endpoint by the power of two choices: it draws two
// candidates at random, one of them in the local data centre if possible, and
// returns the less loaded one. Targets in excluded are never returned,
// recently failed ones only if no other is left. The random argument is a
// uniformly distributed random number.
func (chooser *Chooser) Choose(
	endpoints []membership.Endpoint,
	excluded []balsamproxy.TargetID,
	random uint64,
	now time.Time,
) (membership.Endpoint, bool) {
	candidates := chooser.candidates(endpoints, excluded, now)
	if len(candidates) == 0 {
		return membership.Endpoint{}, false
	}
	first := candidates[randomIndex(random, len(candidates))]
	if len(candidates) == 1 {
		return first, true
	}
	second := chooser.second(candidates, first, bits.RotateLeft64(random, 32))
	return chooser.lessLoaded(first, second), true
}

// randomIndex maps a random number to an index below count.
func randomIndex(random uint64, count int) int {
	high, _ := bits.Mul64(random, uint64(count))
	return int(high)
}

func (chooser *Chooser) candidates(
	endpoints []membership.Endpoint,
	excluded []balsamproxy.TargetID,
	now time.Time,
) []membership.Endpoint {
	healthy := make([]membership.Endpoint, 0, len(endpoints))
	var avoided []membership.Endpoint
	for _, endpoint := range endpoints {
		switch {
		case slices.Contains(excluded, endpoint.Target.ID):
		case chooser.isAvoided(endpoint.Target.ID, now):
			avoided = append(avoided, endpoint)
		default:
			healthy = append(healthy, endpoint)
		}
	}
	if len(healthy) == 0 {
		return avoided
	}
	return healthy
}

func (chooser *Chooser) isAvoided(target balsamproxy.TargetID, now time.Time) bool {
	state, found := chooser.targets.Get(target)
	return found && now.Before(state.avoidUntil)
}

// second draws a candidate other than first. It is taken from the local data
// centre if first is not in it and there is one.
func (chooser *Chooser) second(candidates []membership.Endpoint, first membership.Endpoint, random uint64) membership.Endpoint {
	others := make([]membership.Endpoint, 0, len(candidates))
	for _, candidate := range candidates {
		near := candidate.DataCentre == chooser.DataCentre
		if candidate.Target.ID != first.Target.ID && near {
			others = append(others, candidate)
		}
	}
	if len(others) > 0 && first.DataCentre != chooser.DataCentre {
		return others[randomIndex(random, len(others))]
	}
	index := randomIndex(random, len(candidates)-1)
	if candidates[index].Target.ID == first.Target.ID {
		index = len(candidates) - 1
	}
	return candidates[index]
}

func (chooser *Chooser) lessLoaded(first, second membership.Endpoint) membership.Endpoint {
	if chooser.utilization(second) < chooser.utilization(first) {
		return second
	}
	return first
}

// utilization returns the fraction of the limit of a target in use as known to
// this host, plus the penalty for targets in other data centres.
func (chooser *Chooser) utilization(endpoint membership.Endpoint) float64 {
	state, _ := chooser.targets.Get(endpoint.Target.ID)
	limit := endpoint.Target.Slots
	if state.load.Limit > 0 {
		limit = state.load.Limit
	}
	taken := max(state.inFlight, state.load.InFlight+state.load.Queued)
	fullness := float64(taken) / float64(max(limit, 1))
	if endpoint.DataCentre != chooser.DataCentre {
		fullness += remotePenalty
	}
	return fullness
}
