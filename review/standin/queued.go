package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// printWork is how long a target works on a request, and printDeadline how long a
	// caller waits.
	printWork     = 2600 * time.Millisecond
	printDeadline = 12 * time.Second
	// printInterval is the time between two requests. They are about twice
	// what the targets can do.
	printInterval = 95 * time.Millisecond
	// warmUp is how long requests are sent before the daemon is stopped.
	warmUp = 10 * time.Second
	// leaveTime is the time after SIGTERM after which callers have gone elsewhere,
	// because of two missed readiness checks.
	leaveTime = 2 * time.Second
	// lossSlack is the users' bound of the same name.
	lossSlack = 200 * time.Millisecond
)

// runQueued stops a daemon under steady load and checks that every request that it
// has read gets an answer.
func runQueued(fleet *fleet) (bool, error) {
	entry, err := fleet.addDaemon("machine-1", "zone-a", "front")
	if err != nil {
		return false, err
	}
	err = fleet.apply(configuration{
		version: 7, services: []string{"front", "lofts"}, accounts: []account{planner},
		routes: []route{{
			name: "order", prefix: "/order/", timeout: printDeadline, objective: 10 * time.Second,
			service: "lofts", maxAttempts: 2,
		}},
	})
	if err != nil {
		return false, err
	}
	runs := &arrivals{}
	for _, name := range []string{"2", "3"} {
		if err := fleet.addLofts(name, runs); err != nil {
			return false, err
		}
	}
	for _, target := range fleet.targets {
		target.work.Store(int64(printWork))
	}
	if err := fleet.awaitReady(); err != nil {
		return false, err
	}
	terminated := time.Now().Add(warmUp)
	if fleet.trouble {
		time.AfterFunc(warmUp, func() { entry.signal(syscall.SIGTERM) })
	}
	answers := fleet.printUntil(entry, terminated.Add(leaveTime))
	cut := fleet.countUnanswered(answers, runs, terminated)
	fleet.record.note("%d of %d requests were read, not passed on to a target and cut off", cut, len(answers))
	return cut > 0, nil
}

// countUnanswered returns how many requests reached no target and got no answer
// before their deadline.
func (fleet *fleet) countUnanswered(answers map[string]answer, runs *arrivals, terminated time.Time) int {
	reached := map[string]bool{}
	for _, target := range fleet.targets {
		for _, run := range runs.after(target.id, fleet.record.start) {
			reached[run.request] = true
		}
	}
	cut := 0
	for id, answered := range answers {
		if answered.err == nil || answered.took <= lossSlack || answered.took >= printDeadline || reached[id] {
			continue
		}
		cut++
		fleet.record.note("%s, sent %d ms after SIGTERM, waited %d ms, reached no target and got no answer: %v",
			id, answered.sentAt.Sub(terminated).Milliseconds(), answered.took.Milliseconds(), answered.err)
	}
	return cut
}

// printUntil sends requests steadily and returns the answers by request.
func (fleet *fleet) printUntil(daemon *daemon, end time.Time) map[string]answer {
	var mutex sync.Mutex
	var sending sync.WaitGroup
	answers := map[string]answer{}
	for time.Now().Before(end) {
		sending.Go(func() {
			caller := fleet.newCaller(daemon)
			defer caller.close()
			call := call{id: newRequestID(), method: http.MethodPost, key: planner.key, deadline: printDeadline}
			call.path = "/order/" + call.id
			answered := caller.send(call)
			mutex.Lock()
			defer mutex.Unlock()
			answers[call.id] = answered
		})
		time.Sleep(printInterval)
	}
	sending.Wait()
	return answers
}
