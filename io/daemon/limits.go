package daemon

import (
	"context"
	"net"
	"time"

	"balsamproxy"
	"balsamproxy/task"
)

// limitsInterval is the interval between two updates of the metrics of limits.
const limitsInterval = time.Second

// reportEviction logs a caller that was refused or whose connection was closed for lack of
// room. The lines of each reason are bounded.
func (daemon *Daemon) reportEviction(reason string, caller net.Addr) {
	daemon.metrics.Tagged(map[string]string{"reason": reason}).Counter("callers_evicted").Inc(1)
	if line := daemon.evictions.Decision("caller-evicted", reason); line != nil {
		line.Str("caller", caller.String()).Send()
	}
}

// reportEvictedAnswer logs a response that was given up because the daemon of a caller took
// it too slowly.
func (daemon *Daemon) reportEvictedAnswer(host balsamproxy.HostID) {
	daemon.metrics.Tagged(map[string]string{"at": "target"}).Counter("answers_given_up").Inc(1)
	if line := daemon.evictions.Decision("answer-evicted", "slow-peer"); line != nil {
		line.Str("peer", string(host)).Send()
	}
}

// watchLimits exports the use of memory and connections, until ctx ends.
func (daemon *Daemon) watchLimits(ctx context.Context) error {
	bodies := daemon.metrics.Gauge("body_memory_bytes")
	overhead := daemon.metrics.Gauge("connection_memory_bytes")
	connections := daemon.metrics.Gauge("caller_connections")
	return task.Every(ctx, limitsInterval, func(context.Context, time.Time) {
		bodies.Update(float64(daemon.memory.Usage().Total))
		overhead.Update(float64(daemon.memory.OverheadUsage()))
		connections.Update(float64(daemon.callers.Connections()))
	})
}
