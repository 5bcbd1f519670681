// Package pricing sheds requests at the entry by what they cost at the services that
// are short of capacity, with congestion prices.
//
// It is designed for call graphs in which one request causes many calls to a deep
// service. Once that service rejects calls, most of the work in front of it is spent
// on requests that fail. Each service has a price, which rises until the work offered
// to the service fits its capacity. The probability that a request is admitted falls
// exponentially with the sum of the price times the cost over all services that it
// uses. So cheap requests go first, more urgent ones pay less, requests that do not
// use a short service are not affected, and no request is shed always.
//
// Each daemon sets its own prices. The pressure that responses report was measured at
// about the same price at all of them, so they agree without talking to each other.
package pricing

import (
	"math"
	"sync"
	"time"

	"balsamproxy"
)

// RejectedPressure is the pressure that a call reports which no target of the service
// admitted. Other calls report the fraction of the slots in use at their target, so the
// mean over all calls is about the offered work as a multiple of the capacity.
const RejectedPressure = 2.0

const (
	// targetPressure is the pressure of a service at which its price does not change.
	// The rest is room for arrivals that vary at random.
	targetPressure = 0.95
	// priceTimeConstant smooths the price over reports. Reports come with the delay
	// of a request, and single targets vary.
	priceTimeConstant = 600 * time.Millisecond
	// maxPrice bounds the price, so that a service which is back to normal is used
	// again soon.
	maxPrice = 4.0
	// maxStep bounds how far one report is from the price at which its request was
	// admitted.
	maxStep = 1.5
	// minSmoothed bounds the smoothed price, so that it soon becomes positive when a
	// service with much room runs short.
	minSmoothed = -0.3
	// idleHalfLife is the half-life of the price of a service without reports.
	idleHalfLife = time.Second
	// reportTTL is how long the price of a service without reports does not decay.
	reportTTL = 500 * time.Millisecond
	// priorityFactor is the ratio of the cost that counts for a request to that of
	// one of the next lower priority.
	priorityFactor = 0.5
	// returnedFactor is the factor for the cost of a request that has been refused
	// before: its caller has waited, and is lost if it is refused again.
	returnedFactor = 0.25
	// returnedLeft is the fraction of the usual time left below which a request has
	// probably been refused before.
	returnedLeft = 0.9
	// usualLeftDecay is the number of requests after which the usual time left has
	// fallen by two thirds if none had it again: a single caller with a much later
	// deadline must not make all others look like returning ones.
	usualLeftDecay = 1000
	// minAdmitted is the minimum probability of admission. It keeps every kind of
	// request served at times, and its responses report when the shortage ends.
	minAdmitted = 0.12
	// costWeight is the weight of one response in the mean cost of a class.
	costWeight = 0.1
	// classTTL is how long a class without requests is kept.
	classTTL = 10 * time.Second
	// historyInterval and historyLength define for how long earlier prices are
	// known; requests take seconds at most.
	historyInterval = 100 * time.Millisecond
	historyLength   = 64
)

// Class groups the requests that cost the same.
type Class struct {
	Route    balsamproxy.RouteID
	Priority balsamproxy.Priority
}

// Arrival describes a request that asks for admission.
type Arrival struct {
	Class
	// Left is the time until the caller's deadline, zero if it is not known.
	Left time.Duration
}

// Prices holds the prices of services and the costs of classes. The zero value admits
// all requests until a service reports that it is short of capacity. It is safe for
// concurrent use.
type Prices struct {
	mutex    sync.Mutex
	services map[balsamproxy.ServiceID]*servicePrice
	classes  map[Class]*classCosts
}

// classCosts is the mean cost of the requests of a class at each service, in seconds.
type classCosts struct {
	work   map[balsamproxy.ServiceID]float64
	usedAt time.Time
	// usualLeft is the longest time left of recent requests of the class. Callers that
	// return have less.
	usualLeft time.Duration
}

// servicePrice is the price of one service. The smoothed price is below zero while
// the service has room, so that single reports do not make it positive.
type servicePrice struct {
	smoothed   float64
	reportedAt time.Time
	decayedAt  time.Time
	// meanCost is the mean cost of the requests that use the service, in seconds. It
	// makes the price independent of the unit of costs.
	meanCost float64
	// history holds the price at earlier instants; the entry of an interval is at its
	// number modulo the length.
	history  [historyLength]float64
	interval int64
}

// Admit reports whether to admit a request. The random number is uniformly distributed
// in [0, 1).
func (prices *Prices) Admit(arrival Arrival, random float64, now time.Time) bool {
	prices.mutex.Lock()
	defer prices.mutex.Unlock()
	costs, known := prices.classes[arrival.Class]
	if !known {
		return true
	}
	costs.usedAt = now
	costs.usualLeft = max(costs.usualLeft-costs.usualLeft/usualLeftDecay, arrival.Left)
	exponent := prices.exponent(arrival.Class, now)
	if float64(arrival.Left) < returnedLeft*float64(costs.usualLeft) {
		exponent *= returnedFactor
	}
	return random < max(math.Exp(-exponent), minAdmitted)
}

// exponent returns the sum of the price times the cost of a class over all services.
func (prices *Prices) exponent(class Class, now time.Time) float64 {
	exponent := 0.0
	for service := range prices.classes[class].work {
		price, known := prices.services[service]
		if !known {
			continue
		}
		price.decay(now)
		if current := price.current(); current > 0 {
			exponent += current * prices.weight(class, service)
		}
	}
	return exponent
}

// weight returns the cost of a class at a service relative to the mean, reduced by its
// priority. A more urgent class never weighs more than a less urgent one.
func (prices *Prices) weight(class Class, service balsamproxy.ServiceID) float64 {
	meanCost := prices.services[service].meanCost
	lowest := class.Priority
	for other, costs := range prices.classes {
		if _, uses := costs.work[service]; uses {
			lowest = min(lowest, other.Priority)
		}
	}
	weight := math.Inf(1)
	for other, costs := range prices.classes {
		work, uses := costs.work[service]
		if !uses || other.Priority > class.Priority || other.Priority == class.Priority && other != class {
			continue
		}
		urgency := math.Pow(priorityFactor, float64(other.Priority-lowest))
		weight = min(weight, work/meanCost*urgency)
	}
	return weight
}

// Record records what the response to an admitted request reports. Requests that fail
// report pressure as well.
func (prices *Prices) Record(class Class, costs []balsamproxy.ServiceCost, admittedAt, now time.Time) {
	prices.mutex.Lock()
	defer prices.mutex.Unlock()
	for _, cost := range costs {
		if cost.Work > 0 {
			prices.recordCost(class, cost, now)
		}
		if cost.Pressure > 0 {
			prices.service(cost.Service, now).report(cost.Pressure, admittedAt, now)
		}
	}
}

func (prices *Prices) recordCost(class Class, cost balsamproxy.ServiceCost, now time.Time) {
	costs, known := prices.classes[class]
	if !known {
		prices.evictIdle(now)
		if prices.classes == nil {
			prices.classes = map[Class]*classCosts{}
		}
		costs = &classCosts{work: map[balsamproxy.ServiceID]float64{}, usedAt: now}
		prices.classes[class] = costs
	}
	work := cost.Work.Seconds()
	if mean, known := costs.work[cost.Service]; known {
		work = mean + (work-mean)*costWeight
	}
	costs.work[cost.Service] = work
	price := prices.service(cost.Service, now)
	if price.meanCost == 0 {
		price.meanCost = work
	}
	price.meanCost += (work - price.meanCost) * costWeight
}

func (prices *Prices) evictIdle(now time.Time) {
	for class, costs := range prices.classes {
		if now.Sub(costs.usedAt) > classTTL {
			delete(prices.classes, class)
		}
	}
}

func (prices *Prices) service(service balsamproxy.ServiceID, now time.Time) *servicePrice {
	price, known := prices.services[service]
	if !known {
		if prices.services == nil {
			prices.services = map[balsamproxy.ServiceID]*servicePrice{}
		}
		price = &servicePrice{reportedAt: now, decayedAt: now, interval: intervalOf(now)}
		prices.services[service] = price
	}
	return price
}

// Price returns the price of a service, for metrics.
func (prices *Prices) Price(service balsamproxy.ServiceID, now time.Time) float64 {
	prices.mutex.Lock()
	defer prices.mutex.Unlock()
	price, known := prices.services[service]
	if !known {
		return 0
	}
	price.decay(now)
	return price.current()
}

func (price *servicePrice) current() float64 { return min(max(price.smoothed, 0), maxPrice) }

// report moves the price towards the one at which the offered work would fit. The
// pressure follows from the price at which the request was admitted, not from the
// present one, so the delay of the report does not make the price oscillate.
func (price *servicePrice) report(pressure float64, admittedAt, now time.Time) {
	price.decay(now)
	step := min(max(math.Log(pressure/targetPressure), -maxStep), maxStep)
	fitting := price.at(admittedAt) + step
	elapsed := max(now.Sub(price.reportedAt), time.Millisecond)
	weight := 1 - math.Exp(-float64(elapsed)/float64(priceTimeConstant))
	price.smoothed += (fitting - price.smoothed) * weight
	price.smoothed = min(max(price.smoothed, minSmoothed), maxPrice)
	price.reportedAt = now
	price.record(now)
}

// decay reduces the price of a service that has not reported for a while.
func (price *servicePrice) decay(now time.Time) {
	start := price.reportedAt.Add(reportTTL)
	if price.decayedAt.After(start) {
		start = price.decayedAt
	}
	price.decayedAt = now
	if now.After(start) && price.smoothed > 0 {
		price.smoothed *= math.Exp2(-float64(now.Sub(start)) / float64(idleHalfLife))
	}
	price.record(now)
}

func intervalOf(now time.Time) int64 { return now.UnixMilli() / historyInterval.Milliseconds() }

// record stores the price in the history, also for the intervals since the last one.
func (price *servicePrice) record(now time.Time) {
	interval := intervalOf(now)
	for price.interval = max(price.interval, interval-historyLength); price.interval < interval; {
		price.interval++
		price.history[price.interval%historyLength] = price.current()
	}
	price.history[interval%historyLength] = price.current()
}

// at returns the price at an earlier instant, or the oldest one that is known.
func (price *servicePrice) at(instant time.Time) float64 {
	interval := max(intervalOf(instant), price.interval-historyLength+1)
	if interval > price.interval {
		return price.current()
	}
	return price.history[interval%historyLength]
}
