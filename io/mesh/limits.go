package mesh

import (
	"context"
	"net"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/io/http1"
	"balsamproxy/task"
)

// limitsInterval is the interval between two updates of the metrics of limits.
const limitsInterval = time.Second

// reportEviction logs a caller that was refused or whose connection was closed for lack of
// room. The lines of each reason are bounded.
func (daemon *Daemon) reportEviction(eviction http1.Eviction, caller net.Addr) {
	if line := daemon.evictions.Decision("caller-evicted", string(eviction)); line != nil {
		line.Str("caller", caller.String()).Send()
	}
}

// reportEvictedAnswer logs a response that was given up because the daemon of a caller took
// it too slowly.
func (daemon *Daemon) reportEvictedAnswer(host balsamproxy.HostID) {
	daemon.evictedAnswers.Add(1)
	if line := daemon.evictions.Decision("answer-evicted", "slow-peer"); line != nil {
		line.Str("peer", string(host)).Send()
	}
}

// watchLimits exports the use of memory for bodies and of connections, until ctx ends.
func (daemon *Daemon) watchLimits(ctx context.Context) error {
	tagged := func(key, value string) tally.Scope {
		return daemon.metrics.Tagged(map[string]string{key: value})
	}
	total := tagged("bodies", "all").Gauge("body_memory_bytes")
	requests := tagged("bodies", "requests").Gauge("body_memory_bytes")
	large := tagged("bodies", "large-requests").Gauge("body_memory_bytes")
	connections := daemon.metrics.Gauge("caller_connections")
	refused := tagged("cause", "no-memory").Counter("bodies_given_up")
	abandoned := tagged("cause", "stalled").Counter("bodies_given_up")
	closed := daemon.metrics.Counter("caller_connections_closed")
	unread := tagged("at", "entry").Counter("answers_given_up")
	unsent := tagged("at", "target").Counter("answers_given_up")
	overhead := daemon.metrics.Gauge("connection_memory_bytes")
	var last http1.Counts
	return task.Every(ctx, limitsInterval, func(context.Context, time.Time) {
		usage := daemon.bodies.Usage()
		total.Update(float64(usage.Total))
		requests.Update(float64(usage.Requests))
		large.Update(float64(usage.Large))
		connections.Update(float64(daemon.callers.Connections()))
		counts := daemon.callers.Counts()
		refused.Inc(counts.RefusedBodies - last.RefusedBodies)
		abandoned.Inc(counts.AbandonedBodies - last.AbandonedBodies)
		closed.Inc(counts.ClosedConnections - last.ClosedConnections)
		unread.Inc(counts.AbandonedAnswers - last.AbandonedAnswers)
		unsent.Inc(daemon.evictedAnswers.Swap(0))
		overhead.Update(float64(daemon.bodies.OverheadUsage()))
		last = counts
	})
}
