package admission

import (
	"time"

	"balsamproxy"
)

// attributionWindow is how long after a failed downstream call an error
// response of the same target is attributed to that call. A target responds as
// soon as it learns of the failure.
const attributionWindow = 150 * time.Millisecond

// DownstreamFailures distinguishes error responses caused by a failed
// downstream call of the target from failures of the target itself. Each
// failed downstream call accounts for one error response. The zero value is
// ready to use.
type DownstreamFailures struct {
	failures []downstreamFailure
}

type downstreamFailure struct {
	at         time.Time
	congestion balsamproxy.Congestion
}

// Record registers a failed downstream call of the target.
func (failures *DownstreamFailures) Record(congestion balsamproxy.Congestion, now time.Time) {
	failures.expire(now)
	failures.failures = append(failures.failures, downstreamFailure{at: now, congestion: congestion})
}

// Consume reports whether a recent downstream failure accounts for an error
// response, and of which kind it was. It removes that failure.
func (failures *DownstreamFailures) Consume(now time.Time) (balsamproxy.Congestion, bool) {
	failures.expire(now)
	if len(failures.failures) == 0 {
		return balsamproxy.CongestionNone, false
	}
	congestion := failures.failures[0].congestion
	failures.failures = failures.failures[1:]
	return congestion, true
}

func (failures *DownstreamFailures) expire(now time.Time) {
	for len(failures.failures) > 0 && now.Sub(failures.failures[0].at) > attributionWindow {
		failures.failures = failures.failures[1:]
	}
}
