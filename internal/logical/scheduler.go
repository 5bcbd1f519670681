// Package logical is a discrete-event scheduler for tests that run in logical
// time.
package logical

import (
	"container/heap"
	"time"
)

// Scheduler runs functions in the order of their logical time. Now must be set
// before the first use.
type Scheduler struct {
	// Now is the current logical time.
	Now time.Time

	events   events
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap ordered by time, then by order of insertion.
type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].sequence < events[j].sequence
	}
	return events[i].at.Before(events[j].at)
}

func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *events) Push(x any) {
	pushed, _ := x.(event)
	*events = append(*events, pushed)
}

// Pop implements heap.Interface.
func (events *events) Pop() any {
	last := len(*events) - 1
	removed := (*events)[last]
	*events = (*events)[:last]
	return removed
}

// After schedules a function to run after a delay.
func (scheduler *Scheduler) After(delay time.Duration, run func()) {
	scheduler.sequence++
	heap.Push(&scheduler.events, event{at: scheduler.Now.Add(delay), sequence: scheduler.sequence, run: run})
}

// Run advances the logical time by a duration and runs the events that become
// due, including those scheduled meanwhile.
func (scheduler *Scheduler) Run(duration time.Duration) {
	end := scheduler.Now.Add(duration)
	for len(scheduler.events) > 0 && !scheduler.events[0].at.After(end) {
		next, _ := heap.Pop(&scheduler.events).(event)
		scheduler.Now = next.at
		next.run()
	}
	scheduler.Now = end
}
