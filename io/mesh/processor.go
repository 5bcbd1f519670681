package mesh

import (
	"context"
	"time"

	"balsamproxy/io/goruntime"
	"balsamproxy/task"
)

const (
	// processorInterval is the interval between two measurements of the
	// scheduling delay.
	processorInterval = time.Second
	// maxSchedulingDelay is the mean delay above which the daemon is short of
	// processor time. A request with several nested calls is scheduled dozens of
	// times, so its latency grows by a multiple of it.
	maxSchedulingDelay = 4 * time.Millisecond
)

// watchProcessor reports when this daemon is short of processor time, until ctx
// ends.
func (daemon *Daemon) watchProcessor(ctx context.Context) error {
	var delay goruntime.SchedulingDelay
	delay.Mean()
	short := false
	gauge := daemon.metrics.Gauge("scheduling_delay_seconds")
	return task.Every(ctx, processorInterval, func(context.Context, time.Time) {
		mean := delay.Mean()
		gauge.Update(mean.Seconds())
		if short == (mean > maxSchedulingDelay) {
			return
		}
		short = !short
		event := "processor-sufficient"
		if short {
			event = "processor-short"
		}
		daemon.log.Info().Str("event", event).Dur("delay", mean).Send()
	})
}
