package throttle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/throttle"
)

// TestIdleClassIsAdmittedAgain guards against callers that return after a pause
// and are shed for a congestion that has long ended.
func TestIdleClassIsAdmittedAgain(t *testing.T) {
	var shedder throttle.Throttle
	class := throttle.Class{Route: "look"}
	now := time.Unix(1_000_000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		shedder.Admit(class, 0, now)
		shedder.Record(class, throttle.Rejected, now, now)
	}
	assert.Assert(t, !shedder.Admit(class, 0.5, now))
	assert.Assert(t, shedder.Admit(class, 0.99, now.Add(time.Minute)))
}
