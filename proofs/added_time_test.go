package proofs_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/internal/standin/service"
)

// clockTick is the unit of CPU time in /proc/PID/stat: USER_HZ is 100.
const clockTick = 10 * time.Millisecond

// callPath is one way to reach the target: directly or through daemons.
type callPath struct {
	url       string
	latencies *hdrhistogram.Histogram
}

// pathLatencies holds the latency of one call over each path, made in sequence.
type pathLatencies []time.Duration

// BenchmarkAddedTime measures the latency that one and two daemons add to a
// direct call to a target. The three kinds of calls are interleaved in one run.
func BenchmarkAddedTime(b *testing.B) {
	for _, callers := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkAddedTime(b, callers) })
	}
}

func benchmarkAddedTime(b *testing.B, callers int) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "good day")
	}))
	defer target.Close()
	fleet := newFleet(b, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	fleet.announceExternalTarget(fleet.daemons[1], strings.TrimPrefix(target.URL, "http://"))
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
	}
	paths := []callPath{
		{url: target.URL + "/venues/1"},
		{url: "http://" + fleet.daemons[1].settings.CallerAddress + "/venues/1"},
		{url: "http://" + fleet.daemons[0].settings.CallerAddress + "/venues/1"},
	}
	for index := range paths {
		paths[index].latencies = hdrhistogram.New(1, int64(time.Minute), 4)
	}
	before := fleet.cpuTime()
	b.ResetTimer()
	rounds := measurePaths(b, paths, callers)
	b.StopTimer()
	spent := fleet.cpuTime() - before
	reportAddedTimes(b, paths)
	b.ReportMetric(float64(2*rounds)/spent.Seconds(), "requests/cpu-s")
}

// measurePaths makes about b.N rounds of calls, divided among concurrent callers,
// and returns the number of rounds made.
func measurePaths(b *testing.B, paths []callPath, callers int) int {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	samples := make(chan pathLatencies, callers)
	rounds := b.N/callers + 1
	for range callers {
		go callEachPath(b, client, paths, rounds, samples)
	}
	for range rounds * callers {
		for index, elapsed := range <-samples {
			assert.NilError(b, paths[index].latencies.RecordValue(int64(elapsed)))
		}
	}
	return rounds * callers
}

func callEachPath(b *testing.B, client *http.Client, paths []callPath, rounds int, samples chan<- pathLatencies) {
	for range rounds {
		times := make(pathLatencies, 0, len(paths))
		for _, callPath := range paths {
			begin := time.Now()
			response := doWith(b.Context(), client, "GET", callPath.url, nil, bearerHeader(goodSecret))
			if response.status != http.StatusOK {
				b.Errorf("%s: status %d: %v", callPath.url, response.status, response.err)
			}
			times = append(times, time.Since(begin))
		}
		samples <- times
	}
}

// reportAddedTimes reports quantiles of each path less the median of direct calls.
func reportAddedTimes(b *testing.B, paths []callPath) {
	percentileMS := func(callPath callPath, percentile float64) float64 {
		return float64(callPath.latencies.ValueAtQuantile(percentile)) / float64(time.Millisecond)
	}
	direct := percentileMS(paths[0], 50)
	b.ReportMetric(direct, "direct-p50-ms")
	b.ReportMetric(percentileMS(paths[0], 99)-direct, "direct-p99-over-p50-ms")
	b.ReportMetric(percentileMS(paths[1], 99)-direct, "added-one-p99-ms")
	b.ReportMetric(percentileMS(paths[2], 50)-direct, "added-p50-ms")
	b.ReportMetric(percentileMS(paths[2], 99)-direct, "added-p99-ms")
}

// announceExternalTarget announces a target whose requests another server of the
// test handles.
func (fleet *fleet) announceExternalTarget(daemon *daemon, address string) {
	fleet.t.Helper()
	standin := service.New(service.Options{
		Daemon: daemon.settings.TargetAddress,
		Target: balsamproxy.Target{ID: "played", Service: "venues", Address: address, Slots: 100, Connections: 200},
	})
	assert.NilError(fleet.t, standin.Announce(fleet.t.Context(), balsamproxy.TargetReady))
	go keepAnnouncing(fleet.t, standin)
}

func keepAnnouncing(t testing.TB, standin *service.Server) {
	ticker := time.NewTicker(5 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-t.Context().Done():
			return
		case <-ticker.C:
			_ = standin.Announce(t.Context(), balsamproxy.TargetReady)
		}
	}
}

// cpuTime returns the CPU time that all daemons have used.
func (fleet *fleet) cpuTime() time.Duration {
	var total time.Duration
	for _, daemon := range fleet.daemons {
		total += cpuTime(fleet.t, daemon.process.Process.Pid)
	}
	return total
}

// cpuTime returns the user and system time of a process.
func cpuTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	return time.Duration(user+system) * clockTick
}
