package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Times of the leaving case. The bounds are those of the small deployments.
const (
	// outage is how long the store is down.
	outage       = 4500 * time.Millisecond
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
	// stays is how long the server serves after it has said that it leaves.
	stays = 12 * time.Second
	// leaveAfter and killAfter count from the beginning of the outage, restartAfter from
	// the kill.
	leaveAfter   = 500 * time.Millisecond
	killAfter    = 2800 * time.Millisecond
	restartAfter = 700 * time.Millisecond
)

// runLeaving plays a server that leaves during an outage of the store, in which all daemons
// are killed and started again. It reports whether the rule on draining held.
func runLeaving(ctx context.Context, record *record, trouble bool) (bool, error) {
	fleet, err := startVenues(ctx, record, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	stopLoads := fleet.startLoads(ctx, fleet.daemons, tenantNames[:1], 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	begin := time.Now()
	if trouble {
		record.event("the store is down: it answers 503")
		fleet.setBusy(true)
	}
	time.Sleep(time.Until(begin.Add(leaveAfter)))
	leaving := fleet.servers[0]
	if !leaving.deregister(ctx) {
		return false, fmt.Errorf("%s got no acknowledgement of its leaving", leaving.id)
	}
	acknowledged := time.Now()
	record.event("%s has acknowledged that %s leaves", leaving.daemon.name, leaving.id)
	time.Sleep(time.Until(begin.Add(killAfter)))
	if trouble {
		if err := fleet.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begin.Add(outage)))
	fleet.setBusy(false)
	calm := time.Now().Add(stableWindow)
	if trouble {
		record.event("the store answers again")
	}
	time.Sleep(time.Until(acknowledged.Add(stays)))
	leaving.exit()
	record.event("%s exits", leaving.id)
	time.Sleep(time.Second)
	stopLoads()
	countLost(record, leaving.id)
	return checkDrain(record, leaving.id, acknowledged, calm), nil
}

// killAll kills all daemons and starts them again.
func (fleet *fleet) killAll() error {
	for _, daemon := range fleet.daemons {
		daemon.kill()
	}
	fleet.record.event("all daemons are killed")
	time.Sleep(restartAfter)
	for _, daemon := range fleet.daemons {
		if err := daemon.start(); err != nil {
			return err
		}
	}
	fleet.record.event("all daemons are started again")
	return nil
}

// countLost tells how many orders a server had begun to run whose clients were told that
// nothing is known of them.
func countLost(record *record, server string) {
	record.mutex.Lock()
	ran := map[string]bool{}
	for _, run := range record.runs {
		ran[run.id] = ran[run.id] || run.server == server
	}
	lost := 0
	for _, request := range record.sent {
		if ran[request.id] && request.status != http.StatusOK {
			lost++
		}
	}
	record.mutex.Unlock()
	record.event("%d orders that %s had begun were not answered with success", lost, server)
}

// checkDrain applies the rule on draining to the requests that were sent while all machines
// were in touch.
func checkDrain(record *record, server string, acknowledged, calm time.Time) bool {
	record.mutex.Lock()
	sentAt := map[string]time.Time{}
	for _, request := range record.sent {
		sentAt[request.id] = request.at
	}
	late, all := 0, 0
	var first run
	for _, run := range record.runs {
		sent := sentAt[run.id]
		if sent.Before(calm) || sent.Before(acknowledged.Add(drain)) {
			continue
		}
		all++
		if run.server != server {
			continue
		}
		if late == 0 {
			first = run
		}
		late++
	}
	record.mutex.Unlock()
	if late == 0 {
		record.event("DRAIN held: none of %d requests reached %s", all, server)
		return true
	}
	record.event("DRAIN BROKEN: %d of %d requests reached %s more than %v after the acknowledgement; the first is %s, %.1f s after it",
		late, all, server, drain, first.id, first.at.Sub(acknowledged).Seconds())
	return false
}
