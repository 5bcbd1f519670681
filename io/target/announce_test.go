package target

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/announced"
)

// TestRestoredTargetIsPublished guards against a target of an earlier run that announces
// itself unchanged and that peers are not told of, so that it gets no calls for many seconds.
func TestRestoredTargetIsPublished(t *testing.T) {
	target := balsamproxy.Target{ID: "i-1", Service: "s1", Address: "127.0.0.1:1", Slots: 4, State: balsamproxy.TargetReady}
	published, recorded := 0, 0
	local := &Local{
		Clock: balsamproxy.SystemClock{}, Log: zerolog.Nop(),
		Changed: func() { published++ }, Record: func() { recorded++ },
	}
	local.Restore([]announced.Record{{Target: target, Born: 5, Sequence: 1}})
	assert.Equal(t, len(local.Targets()), 0)
	published = 0
	for sequence := range int64(3) {
		assert.NilError(t, local.Announce(balsamproxy.Announcement{Target: target, Born: 5, Sequence: 2 + sequence}))
		assert.Equal(t, len(local.Targets()), 1)
		assert.Equal(t, published, 1)
		// The record in the store says the same.
		assert.Equal(t, recorded, 0)
	}
}
