package main

import (
	"syscall"
	"time"
)

const (
	// stayDuration is how long a leaving target serves after its leaving was
	// acknowledged.
	stayDuration = 12 * time.Second
	// killDelay is the time from the acknowledgement until the daemon is killed.
	killDelay = 300 * time.Millisecond
	// outageLead is how long the store has been down when the target leaves.
	outageLead = 2500 * time.Millisecond
)

// runRecall takes a target out of service, in the disruption while the store is down
// and shortly before its daemon is killed, and checks that no request reaches it
// later than the bound once all machines are in touch again.
func runRecall(fleet *fleet) (bool, error) {
	entry, err := fleet.addDaemon("machine-1", "zone-a", "front")
	if err != nil {
		return false, err
	}
	err = fleet.apply(configuration{
		version: 7, services: []string{"front", "lofts"}, accounts: []account{planner},
		routes: []route{{
			name: "order", prefix: "/order/", timeout: 5 * time.Second, objective: 2500 * time.Millisecond,
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
	if err := fleet.awaitReady(); err != nil {
		return false, err
	}
	leaving := fleet.targets[0]
	waiting := sendSteadily(fleet, entry, outageLead+stayDuration+time.Second, 200*time.Millisecond)
	if fleet.trouble {
		fleet.record.note("the store is down")
		for _, daemon := range fleet.daemons {
			daemon.store.silent.Store(true)
		}
		time.AfterFunc(outageDuration, func() {
			fleet.record.note("the store is back")
			for _, daemon := range fleet.daemons {
				daemon.store.silent.Store(false)
			}
		})
	}
	time.Sleep(outageLead)
	leaving.stop()
	if !leaving.withdraw() {
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	fleet.record.note("the leaving of %s is acknowledged", leaving.id)
	time.Sleep(killDelay)
	if fleet.trouble {
		leaving.daemon.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := leaving.daemon.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(stayDuration)))
	leaving.exit()
	answers := <-waiting
	inTouch := acknowledged.Add(outageDuration - outageLead + stableWindow + time.Second)
	late := runs.after(leaving.id, inTouch)
	lost := 0
	for _, run := range late {
		if answers[run.request].status != 200 {
			lost++
		}
	}
	fleet.record.note("%d requests reached %s later than %d ms after the acknowledgement; %d of them were not answered with 200",
		len(late), leaving.id, inTouch.Sub(acknowledged).Milliseconds(), lost)
	return len(late) > 0, nil
}
