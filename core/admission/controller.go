// Package door decides which calls a target works on, which wait and which
// are refused, for a target that works on exactly so many calls at a time and
// whose daemon sees all of its calls.
//
// It answers the load in which one deep service is nearly full: short calls of
// other targets, each one step of work that is half done, meet long calls that
// have cost nothing yet. Calls of targets therefore go first and find slots
// kept free for them; new work waits its turn by priority; and nothing waits
// that cannot end in time.
package admission

import (
	"math"
	"time"

	"balsamproxy"
)

// Ticket names one call at a door.
type Ticket uint64

// Request is a call that asks to pass.
type Request struct {
	Ticket  Ticket
	Account balsamproxy.ClientAccountID
	// Route is the route; calls of one kind take about the same time.
	Route    balsamproxy.RouteID
	Priority balsamproxy.Priority
	// Nested says that another target waits for the answer.
	Nested bool
	// Retried says that the caller was refused before and came back.
	Retried bool
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	// MaxWait is the longest time to wait here before another target should
	// be tried.
	MaxWait time.Duration
	arrived time.Time
}

// Verdict is a door's answer.
type Verdict int

// Verdicts of a door.
const (
	// Admitted lets the call go to the target now.
	Admitted Verdict = iota
	// Waiting puts the call into the queue.
	Waiting
	// Full refuses the call since it would wait for longer than its patience.
	Full
	// Expired refuses the call since it cannot end before its deadline.
	Expired
)

// Decision tells a waiting call what became of it.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
}

// Controller guards one target. It is not safe for use by several goroutines. Its
// zero value admits nothing until SetSlots.
type Controller struct {
	slots    int
	inFlight int
	// nested counts the calls of targets among those in flight.
	nested  int
	waiting []Request
	kinds   map[balsamproxy.RouteID]*kind
	// nestedMean is the usual number of nested calls in flight.
	nestedMean   float64
	nestedMeanAt time.Time
}

// kind is what is known of the calls of one route.
type kind struct {
	// mean is the usual time at the target, in seconds.
	mean float64
}

const (
	// learnPart is the weight of one call in the usual time of its kind.
	learnPart = 0.1
	// unknownWork is the time that a call of an unknown kind is taken to need.
	unknownWork = 50 * time.Millisecond
	// meanTime is over how long the number of nested calls is averaged.
	meanTime = 500 * time.Millisecond
	// headroomFactor scales the slots that are kept free for nested calls:
	// two standard deviations of their number if they arrive independently.
	headroomFactor = 2.0
	// headroomPart bounds the slots kept free, as a part of all.
	headroomPart = 0.25
	// freePart and nestedPart are the parts of the usual work for which time
	// must be left: to a call that finds a free slot, and to a nested one.
	// Work varies by half its usual time, so one call in five ends in less
	// than freePart of it. A nested call carries the work of a whole request,
	// and is tried while one in thirty would end in time. All others take
	// their slots from calls that wait, and must have the usual time left.
	freePart   = 0.6
	nestedPart = 0.35
	// queueFactor bounds the queue as a multiple of the slots.
	queueFactor = 2
)

// SetSlots sets how many calls the target works on. It returns the decisions
// on waiting calls.
func (door *Controller) SetSlots(slots int, now time.Time) []Decision {
	door.slots = slots
	return door.admitWaiting(now)
}

// ServiceTime returns how long a call of a kind usually takes at the target.
func (door *Controller) ServiceTime(route balsamproxy.RouteID) time.Duration {
	known, found := door.kinds[route]
	if !found {
		return unknownWork
	}
	return time.Duration(known.mean * float64(time.Second))
}

// Acquire asks for a call to pass.
func (door *Controller) Acquire(request Request, now time.Time) (Verdict, []Decision) {
	request.arrived = now
	door.average(now)
	if now.Add(door.leastFree(request)).After(request.Deadline) {
		return Expired, nil
	}
	if door.free(request) && !door.overtakes(request) {
		door.admit(request)
		return Admitted, nil
	}
	if wait := door.expectedWait(request); wait > request.MaxWait ||
		now.Add(wait+door.least(request)).After(request.Deadline) {
		return Full, nil
	}
	if len(door.waiting) < door.slots*queueFactor {
		door.waiting = append(door.waiting, request)
		return Waiting, nil
	}
	return door.replace(request)
}

// free says whether a slot is free for a call. Slots kept for nested calls
// are not free for others.
func (door *Controller) free(request Request) bool {
	if request.Nested {
		return door.inFlight < door.slots
	}
	return door.inFlight+door.headroom() < door.slots
}

// headroom returns how many slots are kept free for nested calls.
func (door *Controller) headroom() int {
	if door.nestedMean < 1 {
		return 0
	}
	missing := door.nestedMean + headroomFactor*math.Sqrt(door.nestedMean) - float64(door.nested)
	return int(min(max(missing, 0), headroomPart*float64(door.slots)))
}

// overtakes says whether a call would pass one that waits and goes first.
func (door *Controller) overtakes(request Request) bool {
	for _, waiting := range door.waiting {
		if !before(request, waiting) {
			return true
		}
	}
	return false
}

// average lets the mean number of nested calls follow the present one.
func (door *Controller) average(now time.Time) {
	elapsed := now.Sub(door.nestedMeanAt)
	door.nestedMeanAt = now
	keep := math.Exp(-float64(elapsed) / float64(meanTime))
	door.nestedMean = door.nestedMean*keep + float64(door.nested)*(1-keep)
}

func (door *Controller) admit(request Request) {
	door.inFlight++
	if request.Nested {
		door.nested++
	}
}

// least returns the least time that must be left to a call that takes a slot
// from others that wait.
func (door *Controller) least(request Request) time.Duration {
	work := door.ServiceTime(request.Route)
	if request.Nested {
		return time.Duration(nestedPart * float64(work))
	}
	return work
}

// leastFree returns the least time that must be left to a call that finds a
// free slot.
func (door *Controller) leastFree(request Request) time.Duration {
	return min(door.least(request), time.Duration(freePart*float64(door.ServiceTime(request.Route))))
}

// tooLate says whether a call that waits has no fair chance to end in time.
func (door *Controller) tooLate(request Request, now time.Time) bool {
	return now.Add(door.least(request)).After(request.Deadline)
}

// expectedWait returns how long a call would wait behind those that go first.
func (door *Controller) expectedWait(request Request) time.Duration {
	if door.slots == 0 {
		return time.Hour
	}
	work := door.ServiceTime(request.Route)
	for _, waiting := range door.waiting {
		if !before(request, waiting) {
			work += door.ServiceTime(waiting.Route)
		}
	}
	return work / time.Duration(door.slots)
}

// before says whether one call goes before another: calls of targets first,
// then those of a higher priority, then callers that came back, then the
// order of arrival.
func before(left, right Request) bool {
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

// replace makes room in a full queue by refusing the call that goes last.
func (door *Controller) replace(request Request) (Verdict, []Decision) {
	last := 0
	for index, waiting := range door.waiting {
		if before(door.waiting[last], waiting) {
			last = index
		}
	}
	if len(door.waiting) == 0 || !before(request, door.waiting[last]) {
		return Full, nil
	}
	victim := door.waiting[last]
	door.waiting[last] = request
	return Waiting, []Decision{{Ticket: victim.Ticket, Verdict: Full}}
}

// Completion describes the end of an admitted call.
type Completion struct {
	Route  balsamproxy.RouteID
	Nested bool
	// ServiceTime is how long the target worked on the call; zero if it did not
	// answer.
	ServiceTime time.Duration
}

// Release ends an admitted call and returns the decisions on waiting calls.
func (door *Controller) Release(ended Completion, now time.Time) []Decision {
	door.average(now)
	door.inFlight--
	if ended.Nested {
		door.nested--
	}
	if ended.ServiceTime > 0 {
		door.learn(ended.Route, ended.ServiceTime)
	}
	return door.admitWaiting(now)
}

func (door *Controller) learn(route balsamproxy.RouteID, work time.Duration) {
	if door.kinds == nil {
		door.kinds = map[balsamproxy.RouteID]*kind{}
	}
	known, found := door.kinds[route]
	if !found {
		door.kinds[route] = &kind{mean: work.Seconds()}
		return
	}
	known.mean += (work.Seconds() - known.mean) * learnPart
}

// Expire refuses the waiting calls that cannot end in time any more.
func (door *Controller) Expire(now time.Time) []Decision {
	var decisions []Decision
	kept := door.waiting[:0]
	for _, request := range door.waiting {
		if door.tooLate(request, now) {
			decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Expired})
			continue
		}
		kept = append(kept, request)
	}
	door.waiting = kept
	return decisions
}

// Cancel removes a waiting call. It says false if the call was not waiting:
// then it has been decided on.
func (door *Controller) Cancel(ticket Ticket) bool {
	for index, request := range door.waiting {
		if request.Ticket == ticket {
			door.waiting = append(door.waiting[:index], door.waiting[index+1:]...)
			return true
		}
	}
	return false
}

func (door *Controller) admitWaiting(now time.Time) []Decision {
	if len(door.waiting) == 0 {
		return nil
	}
	decisions := door.Expire(now)
	for {
		first := door.first()
		if first < 0 || !door.free(door.waiting[first]) {
			return decisions
		}
		request := door.waiting[first]
		door.waiting = append(door.waiting[:first], door.waiting[first+1:]...)
		door.admit(request)
		decisions = append(decisions, Decision{Ticket: request.Ticket, Verdict: Admitted})
	}
}

func (door *Controller) first() int {
	first := -1
	for index, request := range door.waiting {
		if first < 0 || before(request, door.waiting[first]) {
			first = index
		}
	}
	return first
}

// Load returns the state of the door as answers carry it.
func (door *Controller) Load(route balsamproxy.RouteID) balsamproxy.Load {
	return balsamproxy.Load{
		Limit:    door.slots,
		InFlight: door.inFlight,
		Queued:   len(door.waiting),
		Wait:     door.expectedWait(Request{Route: route}),
	}
}
