package admission

import (
	"math"
	"time"
)

// demandWindow is the time constant of the measured demand.
const demandWindow = time.Second

// demand measures the work that is asked of a target, whether it is admitted or
// not.
type demand struct {
	// nested and direct are decaying sums of service times, in seconds.
	nested, direct float64
	at             time.Time
}

func (demand *demand) record(nested bool, work time.Duration, now time.Time) {
	decay := math.Exp(-float64(now.Sub(demand.at)) / float64(demandWindow))
	demand.at = now
	demand.nested *= decay
	demand.direct *= decay
	if nested {
		demand.nested += work.Seconds()
		return
	}
	demand.direct += work.Seconds()
}

// directShare returns the share of direct calls in the demand.
func (demand *demand) directShare() float64 {
	if demand.direct == 0 {
		return 0
	}
	return demand.direct / (demand.direct + demand.nested)
}
