package admission

import "time"

// attributionWindow is how long after a failed downstream call an error
// response of the same target is attributed to that call. A target responds as
// soon as it learns of the failure.
const attributionWindow = 150 * time.Millisecond

// DownstreamFailures distinguishes error responses caused by a failed
// downstream call of the target from failures of the target itself. Each
// failed downstream call accounts for one error response. The zero value is
// ready to use.
type DownstreamFailures struct {
	times []time.Time
}

// Record registers a failed downstream call of the target.
func (failures *DownstreamFailures) Record(now time.Time) {
	failures.expire(now)
	failures.times = append(failures.times, now)
}

// Consume reports whether a recent downstream failure accounts for an error
// response, and removes that failure.
func (failures *DownstreamFailures) Consume(now time.Time) bool {
	failures.expire(now)
	if len(failures.times) == 0 {
		return false
	}
	failures.times = failures.times[1:]
	return true
}

func (failures *DownstreamFailures) expire(now time.Time) {
	for len(failures.times) > 0 && now.Sub(failures.times[0]) > attributionWindow {
		failures.times = failures.times[1:]
	}
}
