package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
	"balsamproxy/core/placement"
)

// BenchmarkChoose measures a choice among 40 targets with recent reports.
func BenchmarkChoose(b *testing.B) {
	for name, policy := range policies() {
		b.Run(name, func(b *testing.B) {
			chooser := policy("dc0")
			var endpoints []membership.Endpoint
			for index := range 40 {
				point := endpoint(fmt.Sprint("target-", index), string(dataCentre(index)))
				endpoints = append(endpoints, point)
				for range 5 {
					chooser.Begin(point.Target.ID, start)
					chooser.End(placement.Completion{
						Target: point.Target.ID, Service: "venues", Route: "browse", Duration: time.Duration(50+index) * time.Millisecond,
						Load: balsamproxy.Load{Limit: 95, InFlight: 40 + index},
					}, start)
				}
			}
			call := placement.Call{Route: "browse", Objective: time.Second}
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				chooser.Choose(endpoints, call, random.Float64, start.Add(100*time.Millisecond))
			}
		})
	}
}
