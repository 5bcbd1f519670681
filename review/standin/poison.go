package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	poisonMachines = 4
	// poisonPath is the path of the request that crashes targets.
	poisonPath = "/browse/poison"
	// targetRestart is how long a crashed target is away.
	targetRestart = 2 * time.Second
	// poisonMax is how many retries of such a request may reach targets later than
	// stableWindow after its third crash.
	poisonMax = 3
)

// crashLog records the crashes.
type crashLog struct {
	mutex sync.Mutex
	times []time.Time
}

func (crashes *crashLog) add(fleet *fleet, target string) {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	crashes.times = append(crashes.times, time.Now())
	fleet.record.note("crash %d: the request crashes target %s", len(crashes.times), target)
}

// afterThird returns how many came later than stableWindow after the third.
func (crashes *crashLog) afterThird() int {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	late := 0
	for _, at := range crashes.times {
		if len(crashes.times) > 3 && at.Sub(crashes.times[2]) > stableWindow {
			late++
		}
	}
	return late
}

// runPoison sends a request that crashes targets to all machines, which are
// restarted one after another in the disruption, and counts how often it reaches
// targets.
func runPoison(fleet *fleet) (bool, error) {
	err := fleet.apply(configuration{
		version: 7, services: []string{"venues"}, accounts: []account{planner},
		routes: []route{
			{
				name: "browse", prefix: "/browse/", idempotent: true, timeout: 5 * time.Second, objective: 1500 * time.Millisecond,
				service: "venues", maxAttempts: 2,
			},
			{
				name: "order", prefix: "/order/", timeout: 5 * time.Second, objective: 1500 * time.Millisecond,
				service: "venues", maxAttempts: 2,
			},
		},
	})
	if err != nil {
		return false, err
	}
	crashes := &crashLog{}
	for number := range poisonMachines {
		daemon, err := fleet.addDaemon(fmt.Sprintf("machine-%d", number+1), "zone-a", "venues")
		if err != nil {
			return false, err
		}
		if err := fleet.startFragile(daemon, 1, "127.0.0.1:0", crashes); err != nil {
			return false, err
		}
	}
	if err := fleet.awaitReady(); err != nil {
		return false, err
	}
	var stop atomic.Bool
	lost := make(chan int, 1)
	go func() { lost <- fleet.sendOrders(&stop) }()
	fleet.sendPoison(fleet.daemons[0])
	time.Sleep(targetRestart + stableWindow)
	for _, daemon := range fleet.daemons {
		if fleet.trouble {
			daemon.signal(syscall.SIGTERM)
			if err := daemon.restart(); err != nil {
				return false, err
			}
		}
		if err := fleet.awaitReady(); err != nil {
			return false, err
		}
		fleet.sendPoison(daemon)
		time.Sleep(targetRestart + time.Second)
	}
	stop.Store(true)
	fleet.record.note("%d orders of other callers were cut off", <-lost)
	late := crashes.afterThird()
	fleet.record.note("%d retries reached targets later than %v after the third crash", late, stableWindow)
	return late > poisonMax, nil
}

// startFragile starts a target that the poisonous request crashes. It is back under
// a new id after some seconds.
func (fleet *fleet) startFragile(daemon *daemon, incarnation int, address string, crashes *crashLog) error {
	id := fmt.Sprintf("venues-%s-%d", daemon.settings.Host, incarnation)
	created, err := fleet.startTarget(daemon, id, 108, 300*time.Millisecond, address)
	if err != nil {
		return err
	}
	created.onCrash = func() {
		crashes.add(fleet, id)
		created.exit()
		time.AfterFunc(targetRestart, func() {
			if err := fleet.startFragile(daemon, incarnation+1, created.address, crashes); err != nil {
				fleet.record.note("target %s could not be started again: %v", id, err)
			}
		})
	}
	created.crashes = func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, poisonPath) }
	return nil
}

func (fleet *fleet) sendPoison(daemon *daemon) {
	caller := fleet.newCaller(daemon)
	defer caller.close()
	answered := caller.send(call{id: newRequestID(), method: http.MethodGet, path: poisonPath, key: planner.key, deadline: 5 * time.Second})
	fleet.record.note("the request that crashes targets, sent to %s, gets %d", daemon.settings.Host, answered.status)
}

// sendOrders sends orders of other callers to all machines that are ready, and
// returns how many a crash cut off.
func (fleet *fleet) sendOrders(stop *atomic.Bool) int {
	var cut atomic.Int64
	var sending sync.WaitGroup
	for number := 0; !stop.Load(); number++ {
		daemon := fleet.daemons[number%len(fleet.daemons)]
		if daemon.running() {
			sending.Go(func() {
				caller := fleet.newCaller(daemon)
				defer caller.close()
				call := call{id: newRequestID(), method: http.MethodPost, key: planner.key, deadline: 5 * time.Second}
				call.path = "/order/" + call.id
				if caller.send(call).status == http.StatusBadGateway {
					cut.Add(1)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	sending.Wait()
	return int(cut.Load())
}
