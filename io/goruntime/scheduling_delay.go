// Package goruntime reads measurements of the Go runtime.
package goruntime

import (
	"math"
	"runtime/metrics"
	"time"
)

// latenciesMetric is the distribution of the times that goroutines waited for a
// processor while they could run.
const latenciesMetric = "/sched/latencies:seconds"

// SchedulingDelay measures how long goroutines wait for a processor. The zero
// value is ready to use. It is not safe for concurrent use.
type SchedulingDelay struct {
	counts []uint64
}

// Mean returns the mean delay since the last call, or since the start of the
// process.
func (delay *SchedulingDelay) Mean() time.Duration {
	sample := []metrics.Sample{{Name: latenciesMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := sample[0].Value.Float64Histogram()
	previous := delay.counts
	delay.counts = append([]uint64(nil), histogram.Counts...)
	var total, sum float64
	for index, count := range histogram.Counts {
		if index < len(previous) {
			count -= previous[index]
		}
		total += float64(count)
		sum += float64(count) * bucketValue(histogram.Buckets[index], histogram.Buckets[index+1])
	}
	if total == 0 {
		return 0
	}
	return time.Duration(sum / total * float64(time.Second))
}

// bucketValue returns the middle of a bucket, or its finite bound.
func bucketValue(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return high
	case math.IsInf(high, 1):
		return low
	default:
		return (low + high) / 2
	}
}
