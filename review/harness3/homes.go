package main

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Figures of the tenants and of the rule. The bounds are those of the small deployments.
const (
	tenantRate  = 100
	tenantBurst = 10
	// awayTime is how long the store turns one machine away, and awayPause the time until
	// it turns the next one away.
	awayTime  = 4500 * time.Millisecond
	awayPause = 1500 * time.Millisecond
	turns     = 11

	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// tenantNames are the tenants of the deployment, each with one key.
var tenantNames = []string{"abbey", "ember", "fjord", "grove", "ocean"}

// document returns the operator's configuration.
func document(version int) string {
	tenants := []string{}
	for _, name := range tenantNames {
		tenants = append(tenants, fmt.Sprintf(`[%q, ["key-of-%s"], %d, %d, null]`, name, name, tenantRate, tenantBurst))
	}
	return fmt.Sprintf(`{"version": "%08x",
"routes": {"columns": ["name", "host", "prefix", "service", "type", "timeout", "targetLatency", "priority", "maxAttempts", "public"],
"rows": [["browse", "venues.example", "/browse/", "venues", "idempotent", "5000ms", "1500ms", 2, 2, false]]},
"services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["venues", "/healthz", 748]]},
"tenants": {"columns": ["name", "apiKeys", %q, "burst", "priority"], "rows": [%s]},
"limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3000ms", "idleTimeout": "15s"}}`,
		version, words.Rate, strings.Join(tenants, ", "))
}

// runHomes plays a machine that is added, and then the store turning away another machine and
// the added one by turns. It reports whether the quota rule held.
func runHomes(ctx context.Context, record *record, trouble bool) (bool, error) {
	fleet, err := startVenues(ctx, record, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	// Each tenant asks for three times its rate, mostly at two of the machines.
	other := fleet.daemons[3]
	stopLoads := []func(){
		fleet.startLoads(ctx, fleet.daemons[:3], tenantNames, 40*time.Millisecond),
		fleet.startLoads(ctx, fleet.daemons[3:], tenantNames, 9*time.Millisecond),
	}
	time.Sleep(2 * time.Second)
	if err := fleet.addMachine(ctx, 5); err != nil {
		return false, err
	}
	added := fleet.daemons[4]
	if err := added.start(); err != nil {
		return false, err
	}
	record.event("%s is added", added.name)
	time.Sleep(3 * time.Second)
	stopLoads = append(stopLoads, fleet.startLoads(ctx, fleet.daemons[4:], tenantNames, 9*time.Millisecond))
	time.Sleep(3 * time.Second)
	for turn := range turns {
		daemon := []*daemon{other, added}[turn%2]
		if trouble {
			record.event("the store turns %s away: it answers 503", daemon.name)
			daemon.entrance.busy.Store(true)
		}
		time.Sleep(awayTime)
		if trouble {
			daemon.entrance.busy.Store(false)
			record.event("the store serves %s again", daemon.name)
		}
		time.Sleep(awayPause)
	}
	for _, stop := range stopLoads {
		stop()
	}
	return checkQuota(record), nil
}

// checkQuota applies the quota rule to what servers have run.
func checkQuota(record *record) bool {
	record.mutex.Lock()
	sentAt := map[string]time.Time{}
	for _, request := range record.sent {
		sentAt[request.id] = request.at
	}
	type arrival struct{ sent, ran time.Time }
	arrivals := map[string][]arrival{}
	for _, run := range record.runs {
		arrivals[run.tenant] = append(arrivals[run.tenant], arrival{sent: sentAt[run.id], ran: run.at})
	}
	record.mutex.Unlock()
	limit := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	held := true
	for _, tenant := range tenantNames {
		list := arrivals[tenant]
		sort.Slice(list, func(left, right int) bool { return list[left].ran.Before(list[right].ran) })
		most, at := 0, time.Time{}
		for first := range list {
			count := 0
			end := list[first].ran.Add(-time.Millisecond).Add(quotaWindow)
			begin := list[first].ran.Add(-time.Millisecond)
			for _, other := range list[first:] {
				if other.ran.After(end) {
					break
				}
				if !other.sent.Before(begin) {
					count++
				}
			}
			if count > most {
				most, at = count, list[first].ran
			}
		}
		verdict := "held"
		if float64(most) > limit {
			verdict, held = "BROKEN", false
		}
		record.event("QUOTA %s: tenant %s had at most %d requests sent and run in %v, from %.3f s; the rule allows %.0f",
			verdict, tenant, most, quotaWindow, at.Sub(record.begin).Seconds(), limit)
	}
	return held
}
