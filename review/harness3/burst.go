package main

import (
	"context"
	"time"
)

// Figures of the burst case. The four servers have 8 slots each and work 100 ms on an order,
// so they can run 320 a second.
const (
	burstLength = 20 * time.Second
	calmLength  = 500 * time.Millisecond
	// starvedShare is the share of what all are served below which a tenant is starved.
	starvedShare = 0.25
)

// runBurst plays many users that come at once, of two tenants of which one is more urgent. It
// reports whether both were served.
func runBurst(ctx context.Context, record *record, trouble bool) (bool, error) {
	fleet, err := startVenues(ctx, record, 4)
	if err != nil {
		return false, err
	}
	defer fleet.stop()
	for _, server := range fleet.servers {
		server.work.Store(int64(100 * time.Millisecond))
	}
	// 235 and 50 requests a second of all machines.
	stopUsual := []func(){
		fleet.startLoads(ctx, fleet.daemons, tenantNames[:1], 17*time.Millisecond),
		fleet.startLoads(ctx, fleet.daemons, tenantNames[1:2], 80*time.Millisecond),
	}
	time.Sleep(calmLength)
	var stopBurst []func()
	if trouble {
		record.event("the traffic becomes 1.8 times the usual")
		stopBurst = []func(){
			fleet.startLoads(ctx, fleet.daemons, tenantNames[:1], 21500*time.Microsecond),
			fleet.startLoads(ctx, fleet.daemons, tenantNames[1:2], 100*time.Millisecond),
		}
	}
	time.Sleep(burstLength)
	for _, stop := range stopBurst {
		stop()
	}
	time.Sleep(calmLength)
	for _, stop := range stopUsual {
		stop()
	}
	return checkStarved(record), nil
}

// checkStarved applies the rule on starved tenants.
func checkStarved(record *record) bool {
	record.mutex.Lock()
	asked, served := map[string]float64{}, map[string]float64{}
	for _, request := range record.sent {
		if request.retry {
			continue
		}
		asked[request.tenant]++
		asked[""]++
		if request.served {
			served[request.tenant]++
			served[""]++
		}
	}
	record.mutex.Unlock()
	all := served[""] / asked[""]
	held := true
	for _, tenant := range tenantNames {
		share := served[tenant] / asked[tenant]
		verdict := "held"
		if share < starvedShare*all {
			verdict, held = "BROKEN", false
		}
		record.event("Starved %s: tenant %s was served %.3f of %.0f requests, all tenants %.3f", verdict, tenant, share, asked[tenant], all)
	}
	return held
}
