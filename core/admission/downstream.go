package admission

import "time"

// blameMemory is how long after a failed call of a target its own failed
// answer is put down to that call. A target answers as soon as it learns of
// the failure.
const blameMemory = 150 * time.Millisecond

// Blame tells a target that failed on its own from one that failed since a
// call of its own did: each failed call explains one failed answer. Its zero
// value works.
type Blame struct {
	failures []time.Time
}

// CallFailed notes that a call of the target failed.
func (blame *Blame) CallFailed(now time.Time) {
	blame.drop(now)
	blame.failures = append(blame.failures, now)
}

// Explains says whether a failed call explains a failed answer, and uses it
// up.
func (blame *Blame) Explains(now time.Time) bool {
	blame.drop(now)
	if len(blame.failures) == 0 {
		return false
	}
	blame.failures = blame.failures[1:]
	return true
}

func (blame *Blame) drop(now time.Time) {
	for len(blame.failures) > 0 && now.Sub(blame.failures[0]) > blameMemory {
		blame.failures = blame.failures[1:]
	}
}
