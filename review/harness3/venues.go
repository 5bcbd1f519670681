package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// leadTime is the time from the start of the machines to that of the traffic.
const leadTime = 8 * time.Second

// Figures of the tenants, far above what the clients ask for.
const (
	tenantRate  = 1000
	tenantBurst = 1000
)

// tenantNames are the tenants of the deployment, each with one key.
var tenantNames = []string{"abbey", "ember"}

// document returns the operator's configuration.
func document(version int) string {
	tenants := []string{}
	for rank, name := range tenantNames {
		tenants = append(tenants, fmt.Sprintf(`[%q, ["key-of-%s"], %d, %d, %d]`, name, name, tenantRate, tenantBurst, rank))
	}
	return fmt.Sprintf(`{"version": "%08x",
"routes": {"columns": ["name", "host", "prefix", "service", "type", "timeout", "targetLatency", "priority", "maxAttempts", "public"],
"rows": [["confirm", "venues.example", "/confirm/", "venues", "non_idempotent", "2000ms", "1000ms", 0, 2, false],
["mark", "venues.example", "/mark/", "venues", "idempotent", "5000ms", "1500ms", 2, 2, false]]},
"services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["venues", "/healthz", 748]]},
"tenants": {"columns": ["name", "apiKeys", %q, "burst", "priority"], "rows": [%s]},
"limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3000ms", "idleTimeout": "15s"}}`,
		version, words.Rate, strings.Join(tenants, ", "))
}

// startVenues starts a deployment of one service: a daemon and a server on each machine.
func startVenues(ctx context.Context, record *record, machines int) (*fleet, error) {
	fleet, err := newFleet(ctx, record)
	if err != nil {
		return nil, err
	}
	putConfig(fleet.store, document(1))
	for number := range machines {
		if err := fleet.addMachine(ctx, number+1); err != nil {
			fleet.stop()
			return nil, err
		}
	}
	if err := fleet.startAll(ctx); err != nil {
		fleet.stop()
		return nil, err
	}
	record.event("all daemons are ready")
	time.Sleep(leadTime)
	return fleet, nil
}

// addMachine prepares a daemon and starts a server beside it.
func (fleet *fleet) addMachine(ctx context.Context, number int) error {
	daemon, err := fleet.addDaemon([]string{"cairo-b", "cairo-a"}[number%2], number)
	if err != nil {
		return err
	}
	return fleet.addServer(ctx, daemon, fmt.Sprintf("i-%d", number), 150*time.Millisecond)
}

// startLoads has the clients of machines send requests of the given tenants. The returned
// function ends that and waits for the answers.
func (fleet *fleet) startLoads(ctx context.Context, daemons []*daemon, tenants []string, interval time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, daemon := range daemons {
		for _, tenant := range tenants {
			load := &load{
				fleet: fleet, daemon: daemon, tenant: tenant, key: "key-of-" + tenant, path: "/confirm/",
				host: "venues.example", interval: interval, deadline: 2 * time.Second,
			}
			running.Go(func() { load.run(ctx) })
		}
	}
	fleet.record.event("clients start: each of %d tenants sends a request every %v at each of %d machines",
		len(tenants), interval, len(daemons))
	return func() {
		cancel()
		running.Wait()
	}
}

// setBusy has the store answer all calls with 503, or serve them again.
func (fleet *fleet) setBusy(busy bool) {
	for _, daemon := range fleet.daemons {
		daemon.entrance.busy.Store(busy)
	}
}
