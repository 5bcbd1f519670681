package admission

import "time"

// blameMemory is how long after a failed call of a target its own failed
// answer is put down to that call. A target answers as soon as it learns of
// the failure.
const blameMemory = 150 * time.Millisecond

// DownstreamFailures tells a target that failed on its own from one that failed since a
// call of its own did: each failed call explains one failed answer. Its zero
// value works.
type DownstreamFailures struct {
	failures []time.Time
}

// Record notes that a call of the target failed.
func (blame *DownstreamFailures) Record(now time.Time) {
	blame.drop(now)
	blame.failures = append(blame.failures, now)
}

// Consume says whether a failed call explains a failed answer, and uses it
// up.
func (blame *DownstreamFailures) Consume(now time.Time) bool {
	blame.drop(now)
	if len(blame.failures) == 0 {
		return false
	}
	blame.failures = blame.failures[1:]
	return true
}

func (blame *DownstreamFailures) drop(now time.Time) {
	for len(blame.failures) > 0 && now.Sub(blame.failures[0]) > blameMemory {
		blame.failures = blame.failures[1:]
	}
}
