package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/suspect"
)

// TestCrashesSpread lets two daemons see one crash each: either learns from
// the other that the request must not be tried again.
func TestCrashesSpread(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	announced := 0
	newCrashes := func() *crashes { return &crashes{changed: func() { announced++ }} }
	first, second := newCrashes(), newCrashes()
	deadly, harmless := suspect.Fingerprint{1}, suspect.Fingerprint{2}
	first.RecordCrash(deadly, "target-1/5", now)
	first.RecordCrash(harmless, "target-1/5", now)
	second.RecordCrash(deadly, "target-2/9", now)
	assert.Equal(t, announced, 3)
	assert.Assert(t, !first.Blocked(deadly, now))
	first.learn(second.told(now), now)
	second.learn(first.told(now), now)
	for _, daemon := range []*crashes{first, second} {
		assert.Assert(t, daemon.Blocked(deadly, now))
		assert.Assert(t, !daemon.Blocked(harmless, now))
	}
	// What was told once is not told for ever.
	assert.Equal(t, len(first.told(now.Add(time.Minute))), 0)
}
