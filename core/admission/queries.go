package admission

import (
	"math"
	"time"

	"balsamproxy"
)

// ServiceTime returns the mean time that the target spends on a call of the
// route.
func (controller *Controller) ServiceTime(route balsamproxy.RouteID) time.Duration {
	stats, found := controller.routes[route]
	if !found {
		return defaultServiceTime
	}
	return time.Duration(stats.meanServiceTime * float64(time.Second))
}

// waitsTooLong reports whether the expected wait exceeds MaxWait or makes the
// call miss its objective or its deadline.
func (controller *Controller) waitsTooLong(request Request, now time.Time) bool {
	wait := controller.expectedWait(request)
	if wait > request.MaxWait {
		return true
	}
	if request.Nested {
		return now.Add(wait + controller.minRemaining(request)).After(request.Deadline)
	}
	left := request.Deadline.Sub(now)
	if request.Objective > 0 {
		left = min(left, request.Objective)
	}
	return wait+time.Duration(queuedFraction*float64(controller.ServiceTime(request.Route))) > left
}

// hasSlot reports whether a slot is available to a nested or to a direct call.
// Reserved slots are available to nested calls only, guaranteed slots to direct
// calls only.
func (controller *Controller) hasSlot(nested bool) bool {
	switch {
	case nested:
		return controller.inFlight+controller.owedSlots() < controller.slots
	case controller.inFlight-controller.nested < controller.guaranteedSlots():
		return controller.inFlight < controller.slots
	default:
		return controller.inFlight+controller.reservedSlots() < controller.slots
	}
}

// guaranteedSlots returns how many slots nested calls leave to direct calls now.
// A small share alternates between whole numbers, so that direct calls get it on
// average: rounded down, a share below one slot would be lost.
func (controller *Controller) guaranteedSlots() int {
	guaranteed := guaranteedFraction * controller.demand.directShare() * float64(controller.slots)
	if guaranteed < smallShare && controller.meanDirect < guaranteed {
		return int(math.Ceil(guaranteed))
	}
	return int(guaranteed)
}

// owedSlots returns how many free slots are kept for direct calls that are
// queued.
func (controller *Controller) owedSlots() int {
	owed := controller.guaranteedSlots() - (controller.inFlight - controller.nested)
	if owed <= 0 {
		return 0
	}
	return min(owed, controller.queued(false))
}

// queued returns how many nested or direct calls are queued.
func (controller *Controller) queued(nested bool) int {
	count := 0
	for _, waiting := range controller.waiting {
		if waiting.Nested == nested {
			count++
		}
	}
	return count
}

// reservedSlots returns how many slots are currently reserved for nested
// calls.
func (controller *Controller) reservedSlots() int {
	if controller.meanNested < 1 {
		return 0
	}
	needed := controller.meanNested + reserveDeviations*math.Sqrt(controller.meanNested) - float64(controller.nested)
	return int(min(max(needed, 0), maxReservedFraction*float64(controller.slots)))
}

// hasPrecedingWaiter reports whether a queued call takes precedence over the
// request and could use the same slot.
func (controller *Controller) hasPrecedingWaiter(request Request) bool {
	nestedSlot, directSlot := controller.hasSlot(true), controller.hasSlot(false)
	for _, waiting := range controller.waiting {
		if !precedes(request, waiting) && (waiting.Nested && nestedSlot || !waiting.Nested && directSlot) {
			return true
		}
	}
	return false
}

// minRemaining returns the least time before the deadline with which a call
// may take a slot from queued calls.
func (controller *Controller) minRemaining(request Request) time.Duration {
	work := controller.ServiceTime(request.Route)
	if request.Nested {
		return time.Duration(nestedFraction * float64(work))
	}
	return work
}

// minRemainingForFreeSlot returns the least time before the deadline with
// which a call may take a free slot.
func (controller *Controller) minRemainingForFreeSlot(request Request) time.Duration {
	return min(controller.minRemaining(request), time.Duration(freeSlotFraction*float64(controller.ServiceTime(request.Route))))
}

// tooLate reports whether too little time is left for a queued call.
func (controller *Controller) tooLate(request Request, now time.Time) bool {
	return now.Add(controller.minRemaining(request)).After(request.Deadline)
}

// expectedWait estimates how long a call would wait for a slot: the service times
// of the call and of the queued calls of its kind that take precedence, divided by
// the number of slots. Direct calls share the slots that nested calls leave.
func (controller *Controller) expectedWait(request Request) time.Duration {
	if controller.slots == 0 {
		return time.Hour
	}
	if rate := controller.warmUp.rate; rate > 0 && controller.warmUp.until.After(controller.meanAt) {
		return time.Duration(float64(time.Second) * float64(len(controller.waiting)+1) / rate)
	}
	slots := float64(controller.slots)
	if !request.Nested {
		slots = max(slots-controller.meanNested, float64(controller.guaranteedSlots()), 1)
	}
	work := controller.ServiceTime(request.Route)
	for _, waiting := range controller.waiting {
		if waiting.Nested == request.Nested && !precedes(request, waiting) {
			work += controller.ServiceTime(waiting.Route)
		}
	}
	return time.Duration(float64(work) / slots)
}

// precedes reports whether one call takes precedence over another: nested
// calls first, then higher priorities, then retried calls, then the order of
// arrival.
func precedes(left, right Request) bool {
	switch {
	case left.Nested != right.Nested:
		return left.Nested
	case left.Priority != right.Priority:
		return left.Priority > right.Priority
	case left.Retried != right.Retried:
		return left.Retried
	default:
		return left.arrived.Before(right.arrived)
	}
}

// nextWaiting returns the index of the first queued call to which a slot is
// available, or -1.
func (controller *Controller) nextWaiting() int {
	nestedSlot, directSlot := controller.hasSlot(true), controller.hasSlot(false)
	first := -1
	for index, request := range controller.waiting {
		available := request.Nested && nestedSlot || !request.Nested && directSlot
		if available && (first < 0 || precedes(request, controller.waiting[first])) {
			first = index
		}
	}
	return first
}

// Load returns the load report that is sent with the response to a call of the
// route, nested or direct.
func (controller *Controller) Load(route balsamproxy.RouteID, nested bool) balsamproxy.Load {
	return balsamproxy.Load{
		Limit:    controller.slots,
		InFlight: controller.inFlight,
		Queued:   len(controller.waiting),
		Wait:     controller.expectedWait(Request{Route: route, Nested: nested}),
	}
}

// Pressure returns the fraction of the slots in use, averaged over
// inFlightMeanWindow. Rejected calls do not count: most of them find another target.
func (controller *Controller) Pressure(now time.Time) float64 {
	if controller.slots == 0 {
		return 0
	}
	controller.updateMeans(now)
	return (controller.meanNested + controller.meanDirect) / float64(controller.slots)
}
