// Package balance selects the target of a call by the load that responses
// reported.
package balance

import (
	"time"

	"balsamproxy"
	"balsamproxy/core/shard"
)

const (
	// avoidDuration is how long a target is avoided after a failed call.
	avoidDuration = 500 * time.Millisecond
	// remotePenalty is how much higher the utilization of a local target may be
	// before a target in another data centre is preferred.
	remotePenalty = 0.25
)

// Chooser selects targets by their load. The zero value is ready to use.
type Chooser struct {
	// DataCentre is the data centre of this host.
	DataCentre balsamproxy.DataCentreID
	targets    shard.Map[balsamproxy.TargetID, targetState]
}

type targetState struct {
	load       balsamproxy.Load
	inFlight   int
	avoidUntil time.Time
}
