package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// confirmWork is how long a target works on a request.
	confirmWork = 2 * time.Second
	// stopSending is how long after SIGTERM callers go on.
	stopSending = grace
	// outageDuration is how long the store is down.
	outageDuration = 4500 * time.Millisecond
	// lateAllowance is the time after SIGTERM until which a request that is at work
	// in the last sixth of the grace may be cut off.
	lateAllowance = 3 * time.Second
)

// runStopping stops a daemon, in the disruption while the store is down, and checks
// that no request that a target works on is cut off. The daemon is the only one of
// its zone, so its clients stay with it.
func runStopping(fleet *fleet) (bool, error) {
	for _, machine := range []string{"a", "b", "c"} {
		if _, err := fleet.addDaemon("machine-"+machine, "zone-"+machine, "bookings"); err != nil {
			return false, err
		}
	}
	stopped := fleet.daemons[0]
	err := fleet.apply(configuration{
		version: 7, services: []string{"bookings"}, accounts: []account{planner},
		routes: []route{{
			name: "confirm", prefix: "/confirm/", timeout: 5 * time.Second, objective: 4 * time.Second,
			service: "bookings", maxAttempts: 2, public: true,
		}},
	})
	if err != nil {
		return false, err
	}
	runs := &arrivals{}
	for _, daemon := range fleet.daemons[1:] {
		target, err := fleet.startTarget(daemon, "bookings-"+daemon.settings.Host, 108, confirmWork)
		if err != nil {
			return false, err
		}
		target.onRun = runs.add
	}
	if err := fleet.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if fleet.trouble {
		fleet.record.note("the store is down")
		for _, daemon := range fleet.daemons {
			daemon.store.silent.Store(true)
			time.AfterFunc(outageDuration, func() { daemon.store.silent.Store(false) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	stopped.signal(syscall.SIGTERM)
	terminated := time.Now()
	answers := fleet.confirmUntil(stopped, terminated.Add(stopSending))
	cut := fleet.countCut(answers, runs, terminated)
	fleet.record.note("%d requests that were passed on to a target were cut off", cut)
	return cut > 0, nil
}

// countCut returns how many requests reached a target and got no answer, without
// those that may be cut off.
func (fleet *fleet) countCut(answers map[string]answer, runs *arrivals, terminated time.Time) int {
	cut := 0
	for _, target := range fleet.targets {
		for _, run := range runs.after(target.id, terminated) {
			answered := answers[run.request]
			sent := answered.sentAt.Sub(terminated)
			if answered.err == nil || sent <= lateAllowance {
				continue
			}
			cut++
			fleet.record.note("%s, sent %d ms after SIGTERM, reached %s and got no answer: %v", run.request, sent.Milliseconds(), run.target, answered.err)
		}
	}
	return cut
}

// confirmUntil sends requests steadily and returns the answers by request.
func (fleet *fleet) confirmUntil(daemon *daemon, end time.Time) map[string]answer {
	var mutex sync.Mutex
	var sending sync.WaitGroup
	answers := map[string]answer{}
	for time.Now().Before(end) {
		sending.Go(func() {
			caller := fleet.newCaller(daemon)
			defer caller.close()
			call := call{id: newRequestID(), method: http.MethodPost, deadline: 5 * time.Second}
			call.path = "/confirm/" + call.id
			answered := caller.send(call)
			mutex.Lock()
			defer mutex.Unlock()
			answers[call.id] = answered
		})
		time.Sleep(50 * time.Millisecond)
	}
	sending.Wait()
	return answers
}
