package placement_test

import (
	"fmt"
	"slices"
	"time"
)

// result holds the measurements of one simulation.
type result struct {
	// blocked counts the calls that were queued or turned away by a target while
	// another one had a free slot, waits those that were queued, refused those
	// that no target took.
	calls, blocked, waits, refused, remote int
	// ratios are those of the busiest target to the mean, for each window.
	ratios []float64
	// milliseconds are the times of the calls.
	milliseconds []float64
	// seconds are the counts of each second.
	seconds []secondCounts
}

type secondCounts struct{ calls, refused, remote int }

func (result *result) record(call *simulatedCall, now time.Time, refused, remote bool) {
	second := int(call.arrived.Sub(start) / time.Second)
	for len(result.seconds) <= second {
		result.seconds = append(result.seconds, secondCounts{})
	}
	counts := &result.seconds[second]
	count := func(condition bool, counters ...*int) {
		for _, counter := range counters {
			if condition {
				*counter++
			}
		}
	}
	count(true, &result.calls, &counts.calls)
	count(call.blocked, &result.blocked)
	count(call.waits, &result.waits)
	count(refused, &result.refused, &counts.refused)
	count(remote, &result.remote, &counts.remote)
	if !refused {
		result.milliseconds = append(result.milliseconds, float64(now.Sub(call.arrived))/float64(time.Millisecond))
	}
}

func (result result) share(count int) float64 { return float64(count) / float64(max(result.calls, 1)) }

// remoteShares returns the shares of the calls that left their data centre, for
// each of the given seconds.
func (result result) remoteShares(from, to int) []float64 {
	var shares []float64
	for _, counts := range result.seconds[from:to] {
		shares = append(shares, float64(counts.remote)/float64(max(counts.calls, 1)))
	}
	return shares
}

// String returns a row of the table in docs/design/even-load.md.
func (result result) String() string {
	return fmt.Sprintf("ratio %.2f (p99 %.2f) blocked %5.2f %% waits %5.2f %% refused %5.2f %% time %4.0f ms (p99 %4.0f) remote %4.1f %%",
		mean(result.ratios), percentile(result.ratios, 0.99), 100*result.share(result.blocked), 100*result.share(result.waits),
		100*result.share(result.refused), mean(result.milliseconds), percentile(result.milliseconds, 0.99), 100*result.share(result.remote))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(len(values), 1))
}

func percentile(values []float64, rank float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[int(rank*float64(len(values)-1))]
}
