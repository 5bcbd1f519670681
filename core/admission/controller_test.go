package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/admission"
)

var start = time.Unix(1_000_000, 0)

func request(ticket admission.Ticket, priority balsamproxy.Priority, nested bool) admission.Request {
	return admission.Request{
		Ticket: ticket, Route: "look", Priority: priority, Nested: nested,
		Deadline: start.Add(time.Minute), MaxWait: time.Minute,
	}
}

func TestOrderOfAdmission(t *testing.T) {
	returning := request(5, 3, false)
	returning.Retried = true
	var held admission.Controller
	held.SetSlots(2, start)
	for _, first := range []admission.Request{request(0, 3, false), request(1, 3, false)} {
		verdict, _ := held.Acquire(first, start)
		assert.Equal(t, verdict, admission.Admitted)
	}
	for _, waiting := range []admission.Request{request(2, 3, false), request(3, 9, false), request(4, 3, true), returning} {
		verdict, _ := held.Acquire(waiting, start)
		assert.Equal(t, verdict, admission.Waiting)
	}
	var order []admission.Ticket
	for range 4 {
		for _, decision := range held.Release(admission.Completion{Route: "look"}, start) {
			assert.Equal(t, decision.Verdict, admission.Admitted)
			order = append(order, decision.Ticket)
		}
	}
	assert.DeepEqual(t, order, []admission.Ticket{4, 3, 5, 2})
}

func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		change func(*admission.Request)
		want   admission.Verdict
	}{
		"waits":                         {func(*admission.Request) {}, admission.Waiting},
		"no patience":                   {func(request *admission.Request) { request.MaxWait = 0 }, admission.Full},
		"cannot end in time at all":     {func(request *admission.Request) { request.Deadline = start.Add(time.Millisecond) }, admission.Expired},
		"cannot end in time after that": {func(request *admission.Request) { request.Deadline = start.Add(150 * time.Millisecond) }, admission.Full},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var held admission.Controller
			held.SetSlots(1, start)
			_, _ = held.Acquire(request(1, 3, false), start)
			held.Release(admission.Completion{Route: "look", ServiceTime: 100 * time.Millisecond}, start)
			_, _ = held.Acquire(request(2, 3, false), start)
			asked := request(3, 3, false)
			test.change(&asked)
			verdict, _ := held.Acquire(asked, start)
			assert.Equal(t, verdict, test.want)
		})
	}
}

// TestChanceToEnd lets calls ask whose time left is less than usual calls take:
// some of them end in time, and refusing a nested one loses a whole request.
func TestChanceToEnd(t *testing.T) {
	cases := map[string]struct {
		nested bool
		left   time.Duration
		want   admission.Verdict
	}{
		"new, a little less":      {false, 80 * time.Millisecond, admission.Admitted},
		"new, half":               {false, 50 * time.Millisecond, admission.Expired},
		"nested, half":            {true, 50 * time.Millisecond, admission.Admitted},
		"nested, next to no time": {true, 20 * time.Millisecond, admission.Expired},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var held admission.Controller
			held.SetSlots(1, start)
			_, _ = held.Acquire(request(1, 3, false), start)
			held.Release(admission.Completion{Route: "look", ServiceTime: 100 * time.Millisecond}, start)
			asked := request(2, 3, test.nested)
			asked.Deadline = start.Add(test.left)
			verdict, _ := held.Acquire(asked, start)
			assert.Equal(t, verdict, test.want)
		})
	}
}

func TestWaitingCallExpires(t *testing.T) {
	var held admission.Controller
	held.SetSlots(1, start)
	_, _ = held.Acquire(request(1, 3, false), start)
	asked := request(2, 3, false)
	asked.Deadline = start.Add(time.Second)
	verdict, _ := held.Acquire(asked, start)
	assert.Equal(t, verdict, admission.Waiting)
	assert.DeepEqual(t, held.Expire(start.Add(2*time.Second)), []admission.Decision{{Ticket: 2, Verdict: admission.Expired}})
	assert.Assert(t, !held.Cancel(2))
}

// played is one call of a played load.
type played struct {
	at       time.Duration
	nested   bool
	priority balsamproxy.Priority
	work     time.Duration
	deadline time.Duration
}

// ending is a call at the target, by the time of its end.
type ending struct {
	at   time.Duration
	call int
}

type endings []ending

func (endings endings) Len() int           { return len(endings) }
func (endings endings) Less(i, j int) bool { return endings[i].at < endings[j].at }
func (endings endings) Swap(i, j int)      { endings[i], endings[j] = endings[j], endings[i] }
func (endings *endings) Push(end any)      { *endings = append(*endings, end.(ending)) }
func (endings *endings) Pop() any {
	last := (*endings)[len(*endings)-1]
	*endings = (*endings)[:len(*endings)-1]
	return last
}

// play lets a load meet a door and returns which calls ended in time, and the
// most calls that the target had at once.
func play(slots int, load []played) ([]bool, int) {
	var held admission.Controller
	held.SetSlots(slots, start)
	inTime := make([]bool, len(load))
	var running endings
	most := 0
	begin := func(call int, now time.Duration) {
		heap.Push(&running, ending{at: now + load[call].work, call: call})
		most = max(most, len(running))
	}
	admit := func(decisions []admission.Decision, now time.Duration) {
		for _, decision := range decisions {
			if decision.Verdict == admission.Admitted {
				begin(int(decision.Ticket), now)
			}
		}
	}
	endUntil := func(until time.Duration) {
		for len(running) > 0 && running[0].at <= until {
			end, _ := heap.Pop(&running).(ending)
			call := load[end.call]
			inTime[end.call] = end.at <= call.at+call.deadline
			admit(held.Release(admission.Completion{Route: kindOf(call), Nested: call.nested, ServiceTime: call.work}, start.Add(end.at)), end.at)
		}
	}
	for index, call := range load {
		endUntil(call.at)
		verdict, decisions := held.Acquire(admission.Request{
			Ticket: admission.Ticket(index), Route: kindOf(call), Nested: call.nested, Priority: call.priority,
			Deadline: start.Add(call.at + call.deadline), MaxWait: call.deadline,
		}, start.Add(call.at))
		admit(decisions, call.at)
		if verdict == admission.Admitted {
			begin(index, call.at)
		}
	}
	endUntil(time.Hour)
	return inTime, most
}

func kindOf(call played) balsamproxy.RouteID {
	if call.nested {
		return "nested"
	}
	return "look"
}

// deepService is the load of one target of a deep service: short nested calls
// with a short deadline, which make 64 parts in 100 of the work, and long
// lookups, at a part of its capacity.
func deepService(slots int, part float64) []played {
	const (
		nestedWork, lookWork = 55 * time.Millisecond, 880 * time.Millisecond
		nestedShare          = 0.64
	)
	random := rand.New(rand.NewPCG(1, 2))
	nestedRate := part * float64(slots) * nestedShare / nestedWork.Seconds()
	lookRate := part * float64(slots) * (1 - nestedShare) / lookWork.Seconds()
	var load []played
	for at := time.Duration(0); at < 20*time.Second; {
		at += time.Duration(random.ExpFloat64() / (nestedRate + lookRate) * float64(time.Second))
		call := played{at: at, nested: true, priority: 3, work: scaled(random, nestedWork), deadline: 700 * time.Millisecond}
		if random.Float64() < lookRate/(nestedRate+lookRate) {
			call = played{at: at, priority: 3, work: scaled(random, lookWork), deadline: 2500 * time.Millisecond}
		}
		load = append(load, call)
	}
	return load
}

func scaled(random *rand.Rand, work time.Duration) time.Duration {
	return time.Duration(float64(work) * (0.5 + random.Float64()))
}

// TestDeepServiceUnderLoad plays the load that the door answers: nearly full
// and over full, the calls on which whole requests hang are served, and the
// target never has more than its slots.
func TestDeepServiceUnderLoad(t *testing.T) {
	cases := map[string]struct {
		part   float64
		nested float64
		looks  float64
	}{
		"half full":   {0.5, 0.99, 0.99},
		"nearly full": {0.9, 0.99, 0.95},
		"over full":   {1.3, 0.99, 0.3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			const slots = 50
			load := deepService(slots, test.part)
			inTime, most := play(slots, load)
			assert.Assert(t, most <= slots)
			served := map[bool]float64{}
			asked := map[bool]float64{}
			for index, call := range load {
				asked[call.nested]++
				if inTime[index] {
					served[call.nested]++
				}
			}
			nested, looks := served[true]/asked[true], served[false]/asked[false]
			assert.Assert(t, nested >= test.nested, "nested calls in time: %v", nested)
			assert.Assert(t, looks >= test.looks, "lookups in time: %v", looks)
			t.Logf("nested %.3f, lookups %.3f", nested, looks)
		})
	}
}

// TestUrgentBeforeOthers fills a target with calls of two priorities: the
// urgent ones are served no less than the others.
func TestUrgentBeforeOthers(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var load []played
	for at := time.Duration(0); at < 20*time.Second; at += 5 * time.Millisecond {
		priority := balsamproxy.Priority(2)
		if random.Float64() < 0.3 {
			priority = 9
		}
		load = append(load, played{at: at, priority: priority, work: scaled(random, 100*time.Millisecond), deadline: time.Second})
	}
	inTime, most := play(10, load)
	assert.Assert(t, most <= 10)
	served, asked := map[balsamproxy.Priority]float64{}, map[balsamproxy.Priority]float64{}
	for index, call := range load {
		asked[call.priority]++
		if inTime[index] {
			served[call.priority]++
		}
	}
	assert.Assert(t, served[9]/asked[9] > 0.98, "urgent %v", served[9]/asked[9])
	assert.Assert(t, served[2] > 0, "the others starve")
}

func TestBlame(t *testing.T) {
	var blame admission.DownstreamFailures
	assert.Assert(t, !blame.Consume(start))
	blame.Record(start)
	assert.Assert(t, blame.Consume(start.Add(50*time.Millisecond)))
	assert.Assert(t, !blame.Consume(start.Add(50*time.Millisecond)))
	blame.Record(start)
	assert.Assert(t, !blame.Consume(start.Add(time.Second)))
}
