// Package callcost estimates what one request of a route costs at the services
// that its target calls.
//
// It is designed for call graphs that amplify: one request may cause many calls to
// a service several levels down, and that service is the one short of capacity.
// The calls of a target do not name the request that caused them, so each is
// attributed to the routes in flight at the target, in proportion to the rate at
// which each of them is known to cause calls. Repeated over many calls this
// converges, as long as the mix of the routes in flight varies.
package callcost

import (
	"math"
	"sync"
	"time"

	"balsamproxy"
)

const (
	// halfLife is the half-life of what has been learned. Bursts and releases of
	// services change the costs within some tens of seconds.
	halfLife = 10 * time.Second
	// failurePause is how long nothing is learned after a failed call. A request
	// ends early when one of its calls fails, which would make it look cheap.
	failurePause = 300 * time.Millisecond
	// learnedRequests is the number of completed requests, weighted by age, up to which
	// costs are learned in spite of failures. A daemon that starts in an overload would
	// otherwise not know any, and costs that are too low for all routes alike do no harm.
	learnedRequests = 20.0
	// minRequests is the number of completed requests, weighted by age, from which
	// on the cost of a route is known.
	minRequests = 3.0
	// priorCalls and priorExposure are the calls and the time in flight, in seconds,
	// that each route is assumed to have had, so that a new route is attributed
	// some calls.
	priorCalls    = 0.5
	priorExposure = 0.5
	// pressureWeight is the weight of one report in the mean pressure of a service.
	// Its targets report one after another.
	pressureWeight = 0.2
	// pressureTTL is how long the pressure of a service is passed on.
	pressureTTL = time.Second
)

// Ledger records the calls made by the targets of a host. The zero value is ready
// to use. It is safe for concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	routes    map[balsamproxy.RouteID]*routeLedger
	pressures map[balsamproxy.ServiceID]pressure
	updatedAt time.Time
	pausedTo  time.Time
	// requests counts the completed requests of all routes, weighted by age.
	requests float64
}

// routeLedger sums what has been attributed to one route, weighted by age.
type routeLedger struct {
	inFlight int
	// requests, calls and exposure count the completed requests, the calls, and the
	// time that requests were in flight, in seconds.
	requests float64
	calls    float64
	exposure float64
	// work is the slot time used at each service, in seconds.
	work map[balsamproxy.ServiceID]float64
}

type pressure struct {
	mean float64
	at   time.Time
}

// Begin records that a request was sent to a target.
func (ledger *Ledger) Begin(route balsamproxy.RouteID, now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.advance(now)
	ledger.route(route).inFlight++
}

// End records that a request which was sent to a target has ended.
func (ledger *Ledger) End(route balsamproxy.RouteID, now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.advance(now)
	found := ledger.route(route)
	found.inFlight--
	if !ledger.paused(now) {
		found.requests++
		ledger.requests++
	}
}

// paused reports whether nothing is learned now, because a call has just failed.
func (ledger *Ledger) paused(now time.Time) bool {
	return now.Before(ledger.pausedTo) && ledger.requests >= learnedRequests
}

func (ledger *Ledger) route(id balsamproxy.RouteID) *routeLedger {
	found, known := ledger.routes[id]
	if !known {
		if ledger.routes == nil {
			ledger.routes = map[balsamproxy.RouteID]*routeLedger{}
		}
		found = &routeLedger{work: map[balsamproxy.ServiceID]float64{}}
		ledger.routes[id] = found
	}
	return found
}

// advance adds the time since the last update to the exposures and lets all sums
// decay. Nothing changes during a pause.
func (ledger *Ledger) advance(now time.Time) {
	elapsed := now.Sub(ledger.updatedAt)
	ledger.updatedAt = now
	if ledger.paused(now) || elapsed <= 0 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	ledger.requests *= decay
	for _, route := range ledger.routes {
		route.requests *= decay
		route.calls *= decay
		route.exposure = route.exposure*decay + float64(route.inFlight)*min(elapsed.Seconds(), halfLife.Seconds())
		for service := range route.work {
			route.work[service] *= decay
		}
	}
}

// RecordCall attributes what a call of a target cost to the routes in flight.
func (ledger *Ledger) RecordCall(costs []balsamproxy.ServiceCost, failed bool, now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.advance(now)
	for _, cost := range costs {
		ledger.recordPressure(cost, now)
	}
	if failed {
		ledger.pausedTo = now.Add(failurePause)
	}
	if ledger.paused(now) {
		return
	}
	total := 0.0
	for _, route := range ledger.routes {
		total += route.expectedRate()
	}
	if total == 0 {
		return
	}
	for _, route := range ledger.routes {
		share := route.expectedRate() / total
		if share == 0 {
			continue
		}
		route.calls += share
		for _, cost := range costs {
			route.work[cost.Service] += share * cost.Work.Seconds()
		}
	}
}

// expectedRate returns the calls a second that the requests in flight are expected
// to cause.
func (route *routeLedger) expectedRate() float64 {
	return float64(route.inFlight) * (route.calls + priorCalls) / (route.exposure + priorExposure)
}

func (ledger *Ledger) recordPressure(cost balsamproxy.ServiceCost, now time.Time) {
	if ledger.pressures == nil {
		ledger.pressures = map[balsamproxy.ServiceID]pressure{}
	}
	known, found := ledger.pressures[cost.Service]
	if !found || now.Sub(known.at) > pressureTTL {
		known.mean = cost.Pressure
	}
	known.mean += (cost.Pressure - known.mean) * pressureWeight
	known.at = now
	ledger.pressures[cost.Service] = known
}

// Costs returns the mean cost of a request of the route at each service that it
// causes calls to, with the latest pressure of the service. It returns nothing
// until enough requests have completed.
func (ledger *Ledger) Costs(route balsamproxy.RouteID, now time.Time) []balsamproxy.ServiceCost {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	found, known := ledger.routes[route]
	if !known || found.requests < minRequests {
		return nil
	}
	costs := make([]balsamproxy.ServiceCost, 0, len(found.work))
	for service, work := range found.work {
		mean := time.Duration(work / found.requests * float64(time.Second)).Round(time.Millisecond)
		current := ledger.pressures[service]
		if mean <= 0 || now.Sub(current.at) > pressureTTL {
			continue
		}
		costs = append(costs, balsamproxy.ServiceCost{Service: service, Work: mean, Pressure: current.mean})
	}
	return costs
}
