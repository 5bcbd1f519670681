// Package admission decides which calls are admitted to a target, which are
// queued and which are rejected. It serves targets with a fixed number of
// concurrent slots whose calls all pass through the local daemon.
//
// It is designed for a nearly saturated service deep in the call graph, which
// receives short nested calls, each part of a request that is already partly
// done, together with long calls on which no work has been spent. Nested calls
// therefore go first and have slots reserved for them, other calls are queued
// by priority, and no call is queued that cannot meet its deadline.
package admission

import (
	"math"
	"time"

	"balsamproxy"
)

// Ticket identifies a call at a Controller.
type Ticket uint64

// Request describes a call that asks for admission.
type Request struct {
	Ticket  Ticket
	Account balsamproxy.ClientAccountID
	// Route groups calls that take about the same time.
	Route    balsamproxy.RouteID
	Priority balsamproxy.Priority
	// Nested is set if the call was made by another target.
	Nested bool
	// Retried is set if the caller was rejected before and tries again.
	Retried bool
	// Deadline is the time after which the result is of no use.
	Deadline time.Time
	// MaxWait is the longest time to queue here before another target should be
	// tried.
	MaxWait time.Duration
	// Objective is the time within which the result has its full value; zero if
	// there is none. A call is not queued if it would be late.
	Objective time.Duration
	arrived   time.Time
}

// Verdict is the result of an admission decision.
type Verdict int

// Admission verdicts.
const (
	// Admitted lets the call proceed to the target now.
	Admitted Verdict = iota
	// Waiting queues the call.
	Waiting
	// Full rejects the call because its expected wait exceeds MaxWait or its
	// deadline, or because the queue is full.
	Full
	// Expired rejects the call because it cannot meet its deadline.
	Expired
)

// Decision is the verdict on a queued call.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
}

// Controller limits the calls to one target. It is not safe for concurrent
// use. The zero value admits nothing until SetSlots is called.
type Controller struct {
	slots    int
	inFlight int
	// nested counts the nested calls among those in flight.
	nested  int
	waiting []Request
	routes  map[balsamproxy.RouteID]*routeStats
	// meanNested and meanDirect are the moving averages of the numbers of nested
	// and of direct calls in flight.
	meanNested float64
	meanDirect float64
	meanAt     time.Time
	demand     demand
	warmUp     warmUp
}

// routeStats holds the statistics of one route.
type routeStats struct {
	// meanServiceTime is a moving average, in seconds.
	meanServiceTime float64
}

const (
	// serviceTimeWeight is the weight of one call in the mean service time of its
	// route.
	serviceTimeWeight = 0.1
	// defaultServiceTime is assumed for routes without any completed call.
	defaultServiceTime = 50 * time.Millisecond
	// inFlightMeanWindow is the time constant of the moving averages of the calls in
	// flight.
	inFlightMeanWindow = 500 * time.Millisecond
	// reserveDeviations is the number of standard deviations of the nested call
	// count, assuming independent arrivals, for which slots are reserved above its
	// mean.
	reserveDeviations = 2.0
	// maxReservedFraction bounds the reserved slots as a fraction of all slots.
	maxReservedFraction = 0.25
	// freeSlotFraction and nestedFraction are the fractions of the mean service
	// time that must remain before the deadline: for a call that finds a free
	// slot, and for a nested call. Service times vary by half of their mean, so
	// one call in five completes in less than freeSlotFraction of it. Rejecting a
	// nested call wastes the work of a whole request, so it is admitted as long as
	// one in thirty would complete in time. All other calls take slots from queued
	// calls and need the whole mean service time.
	freeSlotFraction = 0.6
	nestedFraction   = 0.35
	// queuedFraction is the multiple of the mean service time that must be left
	// for a direct call after the expected wait, so that most queued calls
	// complete in time.
	queuedFraction = 1.5
	// guaranteedFraction is the fraction of their share of the demand that direct
	// calls get however many nested calls arrive.
	guaranteedFraction = 0.5
	// smallShare is the number of guaranteed slots below which a fraction of a
	// slot matters.
	smallShare = 8
	// queueFactor bounds the queues of nested and of direct calls as a multiple of
	// the slots.
	queueFactor = 2
)

// SetSlots sets how many calls the target runs concurrently. It returns the
// decisions on queued calls.
func (controller *Controller) SetSlots(slots int, now time.Time) []Decision {
	controller.slots = slots
	return controller.admitWaiting(now)
}

// Acquire requests admission of a call. The decisions are those on other,
// queued calls.
func (controller *Controller) Acquire(request Request, now time.Time) (Verdict, []Decision) {
	request.arrived = now
	controller.updateMeans(now)
	controller.demand.record(request.Nested, controller.ServiceTime(request.Route), now)
	if now.Add(controller.minRemainingForFreeSlot(request)).After(request.Deadline) {
		return Expired, nil
	}
	if controller.warmUp.active(now) {
		return controller.acquireCold(request, now), nil
	}
	if controller.hasSlot(request.Nested) && !controller.hasPrecedingWaiter(request) {
		controller.admit(request)
		return Admitted, nil
	}
	if controller.waitsTooLong(request, now) {
		return Full, nil
	}
	if controller.queued(request.Nested) < controller.slots*queueFactor {
		controller.waiting = append(controller.waiting, request)
		return Waiting, nil
	}
	return controller.replaceLast(request)
}

// updateMeans moves the average numbers of calls towards the current ones.
func (controller *Controller) updateMeans(now time.Time) {
	elapsed := now.Sub(controller.meanAt)
	controller.meanAt = now
	decay := math.Exp(-float64(elapsed) / float64(inFlightMeanWindow))
	controller.meanNested = controller.meanNested*decay + float64(controller.nested)*(1-decay)
	controller.meanDirect = controller.meanDirect*decay + float64(controller.inFlight-controller.nested)*(1-decay)
}

func (controller *Controller) admit(request Request) {
	controller.inFlight++
	if request.Nested {
		controller.nested++
	}
}

// replaceLast makes room in a full queue by rejecting the queued call of the same
// kind with the lowest precedence, if the request precedes it.
func (controller *Controller) replaceLast(request Request) (Verdict, []Decision) {
	last := -1
	for index, waiting := range controller.waiting {
		if waiting.Nested == request.Nested && (last < 0 || precedes(controller.waiting[last], waiting)) {
			last = index
		}
	}
	if last < 0 || !precedes(request, controller.waiting[last]) {
		return Full, nil
	}
	evicted := controller.waiting[last]
	controller.waiting[last] = request
	return Waiting, []Decision{{Ticket: evicted.Ticket, Verdict: Full}}
}

// Completion describes the end of an admitted call.
type Completion struct {
	Route  balsamproxy.RouteID
	Nested bool
	// ServiceTime is how long the target took, zero if it did not respond.
	ServiceTime time.Duration
}

// Release returns the slot of an admitted call and returns the decisions on
// queued calls.
func (controller *Controller) Release(ended Completion, now time.Time) []Decision {
	controller.updateMeans(now)
	controller.inFlight--
	if ended.Nested {
		controller.nested--
	}
	if ended.ServiceTime > 0 {
		controller.recordServiceTime(ended.Route, ended.ServiceTime)
	}
	return controller.admitWaiting(now)
}

func (controller *Controller) recordServiceTime(route balsamproxy.RouteID, work time.Duration) {
	if controller.routes == nil {
		controller.routes = map[balsamproxy.RouteID]*routeStats{}
	}
	stats, found := controller.routes[route]
	if !found {
		controller.routes[route] = &routeStats{meanServiceTime: work.Seconds()}
		return
	}
	stats.meanServiceTime += (work.Seconds() - stats.meanServiceTime) * serviceTimeWeight
}

// Expire rejects the queued calls that can no longer meet their deadlines.
func (controller *Controller) Expire(now time.Time) []Decision {
	var decisions []Decision
	kept := controller.waiting[:0]
	for _, request := range controller.waiting {
		if controller.tooLate(request, now) {
			decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Expired})
			continue
		}
		kept = append(kept, request)
	}
	controller.waiting = kept
	return decisions
}

// RejectWaiting rejects all queued calls, because the target leaves.
func (controller *Controller) RejectWaiting() []Decision {
	decisions := make([]Decision, 0, len(controller.waiting))
	for _, request := range controller.waiting {
		decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Full})
	}
	controller.waiting = nil
	return decisions
}

// Cancel removes a queued call. It returns false if the call was not queued,
// in which case a decision on it has already been returned.
func (controller *Controller) Cancel(ticket Ticket) bool {
	for index, request := range controller.waiting {
		if request.Ticket == ticket {
			controller.waiting = append(controller.waiting[:index], controller.waiting[index+1:]...)
			return true
		}
	}
	return false
}

func (controller *Controller) admitWaiting(now time.Time) []Decision {
	if len(controller.waiting) == 0 {
		return nil
	}
	decisions := controller.Expire(now)
	for controller.warmUp.allows(now) {
		first := controller.nextWaiting()
		if first < 0 {
			return decisions
		}
		request := controller.waiting[first]
		controller.waiting = append(controller.waiting[:first], controller.waiting[first+1:]...)
		controller.admit(request)
		controller.warmUp.take(now)
		decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Admitted})
	}
	return decisions
}
