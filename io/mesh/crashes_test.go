package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/suspect"
)

// TestCrashesSpread checks that a request is blocked everywhere after two
// crashes that two different daemons have seen, once they exchange reports.
func TestCrashesSpread(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	notified := 0
	newCrashes := func() *crashes { return &crashes{onReport: func() { notified++ }} }
	first, second := newCrashes(), newCrashes()
	poison, harmless := suspect.Fingerprint{1}, suspect.Fingerprint{2}
	first.RecordCrash(poison, "target-1/5", now)
	first.RecordCrash(harmless, "target-1/5", now)
	second.RecordCrash(poison, "target-2/9", now)
	assert.Equal(t, notified, 3)
	assert.Assert(t, !first.Blocked(poison, now))
	first.merge(second.recent(now), now)
	second.merge(first.recent(now), now)
	for _, daemon := range []*crashes{first, second} {
		assert.Assert(t, daemon.Blocked(poison, now))
		assert.Assert(t, !daemon.Blocked(harmless, now))
	}
	// Reports expire.
	assert.Equal(t, len(first.recent(now.Add(time.Minute))), 0)
}
