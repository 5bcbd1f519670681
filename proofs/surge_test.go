package proofs_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"balsamproxy"
	"balsamproxy/internal/standin/service"
)

const (
	surgeRate     = 320
	surgePhase    = 4 * time.Second
	surgeAttempts = 4
)

// surgeCounts counts requests by the 500 ms interval in which they were first sent.
type surgeCounts struct {
	mutex     sync.Mutex
	offered   map[int]int
	succeeded map[int]int
	deposit   [2]int
}

func (counts *surgeCounts) add(interval int, deposit, succeeded bool) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	counts.offered[interval]++
	if succeeded {
		counts.succeeded[interval]++
	}
	if deposit {
		counts.deposit[0]++
		if succeeded {
			counts.deposit[1]++
		}
	}
}

// totals returns the offered and the successful requests of the intervals from
// from up to, but not including, to.
func (counts *surgeCounts) totals(from, to int) (float64, float64) {
	offered, succeeded := 0, 0
	for interval := from; interval < to; interval++ {
		offered += counts.offered[interval]
		succeeded += counts.succeeded[interval]
	}
	return float64(offered), float64(succeeded)
}

// BenchmarkSurgeProcesses measures goodput during and after an overload of three
// daemons: 4 s at 80 % of the capacity of the nested service, 4 s at three times
// that rate, and 4 s at the first rate again. Callers retry a failed request up
// to three times.
func BenchmarkSurgeProcesses(b *testing.B) {
	fleet := newFleet(b, 3)
	fleet.start()
	fleet.awaitRoster()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	for index, daemon := range fleet.daemons {
		fleet.startTargetWithDelay(daemon, "venues", 60, 5*time.Millisecond, "lofts")
		fleet.startTargetWithDelay(daemon, "bookings", 60, 5*time.Millisecond, "lofts")
		if index < 2 {
			fleet.startTargetWithDelay(daemon, "lofts", 10, 50*time.Millisecond)
		}
	}
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
		fleet.awaitStatus(daemon, "POST", "/bookings/1", http.StatusOK)
	}
	b.ResetTimer()
	for range b.N {
		counts := fleet.surge(b)
		_, before := counts.totals(2, 8)
		_, during := counts.totals(8, 16)
		offered, after := counts.totals(18, 24)
		b.ReportMetric(during/8/(before/6), "goodput-ratio")
		b.ReportMetric(after/offered, "answered-1s-after")
		b.ReportMetric(float64(counts.deposit[1])/float64(counts.deposit[0]), "deposit-ratio")
	}
}

// surge sends the requests of the three phases and waits for all responses.
func (fleet *fleet) surge(b *testing.B) *surgeCounts {
	counts := &surgeCounts{offered: map[int]int{}, succeeded: map[int]int{}}
	transport := &http.Transport{MaxIdleConnsPerHost: 500}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var callers sync.WaitGroup
	begin := time.Now()
	sent := 0
	for elapsed := time.Duration(0); elapsed < 3*surgePhase; elapsed = time.Since(begin) {
		for sent < requestsDue(elapsed) {
			sent++
			index := sent
			callers.Go(func() {
				deposit := index%5 == 0
				succeeded := fleet.sendWithRetries(b.Context(), client, index, deposit)
				counts.add(int(elapsed/(500*time.Millisecond)), deposit, succeeded)
			})
		}
		<-time.After(time.Millisecond)
	}
	callers.Wait()
	return counts
}

// requestsDue returns how many requests must have been sent after the elapsed time.
func requestsDue(elapsed time.Duration) int {
	seconds := elapsed.Seconds()
	phase := surgePhase.Seconds()
	extra := min(max(seconds-phase, 0), phase)
	return int(surgeRate * (seconds + 2*extra))
}

// sendWithRetries sends a request, with up to surgeAttempts attempts in total, and
// reports whether it succeeded.
func (fleet *fleet) sendWithRetries(ctx context.Context, client *http.Client, index int, deposit bool) bool {
	method, path, key := "GET", fmt.Sprintf("/venues/%d", index), newIdempotencyKey()
	if deposit {
		method, path = "POST", fmt.Sprintf("/bookings/%d", index)
	}
	for try := range surgeAttempts {
		daemon := fleet.daemons[(index+try)%len(fleet.daemons)]
		header := orderHeader(goodSecret, key)
		header.Set("Balsam-Timeout-Ms", "1000")
		response := doWith(ctx, client, method, "http://"+daemon.settings.CallerAddress+path, nil, header)
		if response.status == http.StatusOK {
			return true
		}
		<-time.After(50 * time.Millisecond)
	}
	return false
}

// startTargetWithDelay starts a fake target with a number of slots and a fixed
// processing time for each request.
func (fleet *fleet) startTargetWithDelay(daemon *daemon, name balsamproxy.ServiceID, slots int, delay time.Duration, calls ...balsamproxy.ServiceID) *service.Server {
	fleet.t.Helper()
	return fleet.startTargetWithOptions(daemon, service.Options{
		Target: balsamproxy.Target{Service: name, Slots: slots, Connections: 2 * slots},
		Delay:  delay,
		Calls:  calls,
	})
}
