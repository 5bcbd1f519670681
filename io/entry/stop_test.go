package entry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/shutdown"
)

// TestLateRequestsInAPlannedStop guards against requests that begin late in a planned
// stop and may outlast it. The dialect's callers wait for 5 s.
func TestLateRequestsInAPlannedStop(t *testing.T) {
	cases := map[string]struct {
		grace  time.Duration
		status int
		sent   int
	}{
		"ends within the grace":  {time.Hour, http.StatusOK, 1},
		"may outlast the grace":  {time.Second, http.StatusServiceUnavailable, 0},
		"the grace is over soon": {5 * time.Second, http.StatusServiceUnavailable, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			script := &script{steps: []step{{status: http.StatusOK}}}
			handler := newEntry(script, 0)
			handler.RecallRequests(shutdown.Plan{Begin: time.Now(), Grace: test.grace})
			response := send(handler, "/order/", "secret")
			assert.Equal(t, response.Status, test.status)
			assert.Equal(t, len(script.calls), test.sent)
		})
	}
}
