package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is the users' bound "drain".
	drainBound = 2 * time.Second
	// lookupWork is the usual work of a request, and slowFactor what a slow target
	// multiplies it by.
	lookupWork = 880 * time.Millisecond
	slowFactor = 5
	// lookupInterval is the time between two requests. They use nearly all slots of
	// the three targets.
	lookupInterval = 46 * time.Millisecond
	// leaveDelay is the time after which the operator begins to replace the slow
	// target, and replacementLead the time that its replacement has before it leaves.
	leaveDelay      = 1200 * time.Millisecond
	replacementLead = 500 * time.Millisecond
	// slowDuration is how long a target is slow, and leaveAfter how long it serves
	// after its leaving was acknowledged.
	slowDuration = 6500 * time.Millisecond
	leaveAfter   = 5 * time.Second
)

// arrivals are the requests that reached a target.
type arrivals struct {
	mutex sync.Mutex
	runs  []run
}

func (arrivals *arrivals) add(run run) {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	arrivals.runs = append(arrivals.runs, run)
}

// after returns the runs at a target that arrived after an instant.
func (arrivals *arrivals) after(target string, limit time.Time) []run {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	late := []run{}
	for _, run := range arrivals.runs {
		if run.target == target && run.at.After(limit) {
			late = append(late, run)
		}
	}
	return late
}

// planner is the account of the requests.
var planner = account{name: "planner", key: "key-of-planner", rate: 500, burst: 500}

// runDrain empties one of three targets, in the disruption one that has turned slow,
// and checks that no request reaches it later than the bound after its leaving was
// acknowledged.
func runDrain(fleet *fleet) (bool, error) {
	entry, err := fleet.addDaemon("machine-1", "zone-a", "front")
	if err != nil {
		return false, err
	}
	err = fleet.apply(configuration{
		version: 7, services: []string{"front", "lofts"}, accounts: []account{planner},
		routes: []route{{
			name: "order", prefix: "/order/", timeout: 10 * time.Second, objective: 2500 * time.Millisecond,
			service: "lofts", maxAttempts: 2,
		}},
	})
	if err != nil {
		return false, err
	}
	runs := &arrivals{}
	for _, name := range []string{"2", "3", "4"} {
		if err := fleet.addLofts(name, runs); err != nil {
			return false, err
		}
	}
	if err := fleet.awaitReady(); err != nil {
		return false, err
	}
	leaving := fleet.targets[0]
	waiting := sendSteadily(fleet, entry, 9*time.Second, lookupInterval)
	time.Sleep(2 * time.Second)
	if fleet.trouble {
		fleet.record.note("target %s turns slow", leaving.id)
		leaving.work.Store(int64(lookupWork * slowFactor))
		time.AfterFunc(slowDuration, func() { leaving.work.Store(int64(lookupWork)) })
	}
	time.Sleep(leaveDelay)
	if err := fleet.addLofts("5", runs); err != nil {
		return false, err
	}
	time.Sleep(replacementLead)
	leaving.draining.Store(true)
	if !leaving.announce() {
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	fleet.record.note("the leaving of %s is acknowledged", leaving.id)
	time.Sleep(leaveAfter)
	leaving.withdraw()
	leaving.exit()
	answers := <-waiting
	late := runs.after(leaving.id, acknowledged.Add(drainBound))
	for _, run := range late {
		fleet.record.note("%s reached %s %d ms after the acknowledgement and got status %d",
			run.request, leaving.id, run.at.Sub(acknowledged).Milliseconds(), answers[run.request].status)
	}
	fleet.record.note("%d requests reached %s later than %v after the acknowledgement", len(late), leaving.id, drainBound)
	return len(late) > 0, nil
}

// addLofts adds a machine with a target.
func (fleet *fleet) addLofts(name string, runs *arrivals) error {
	daemon, err := fleet.addDaemon("machine-"+name, "zone-a", "lofts")
	if err != nil {
		return err
	}
	target, err := fleet.startTarget(daemon, "lofts-"+name, 8, lookupWork)
	if err != nil {
		return err
	}
	target.onRun = runs.add
	return nil
}

// sendSteadily sends requests at an interval, each from a client of its own, and
// returns their answers once all have ended.
func sendSteadily(fleet *fleet, entry *daemon, lasts, interval time.Duration) <-chan map[string]answer {
	result := make(chan map[string]answer, 1)
	go func() {
		var mutex sync.Mutex
		var sending sync.WaitGroup
		answers := map[string]answer{}
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(interval) {
			sending.Go(func() {
				caller := fleet.newCaller(entry)
				defer caller.close()
				call := call{id: newRequestID(), method: http.MethodPost, key: planner.key, deadline: 10 * time.Second}
				call.path = "/order/" + call.id
				answered := caller.send(call)
				mutex.Lock()
				defer mutex.Unlock()
				answers[call.id] = answered
			})
		}
		sending.Wait()
		result <- answers
	}()
	return result
}
