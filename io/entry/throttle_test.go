package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/io/http1"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (clock *manualClock) Now() time.Time { return clock.now }

// TestRequestsWithFailingCallsAreShed guards against a collapse that lasts: work
// spent on requests whose calls deeper down are rejected or time out.
func TestRequestsWithFailingCallsAreShed(t *testing.T) {
	const requests = 500
	cases := map[string]struct {
		failing step
		shed    bool
	}{
		"call rejected":     {step{status: 500, dependencyFailed: true, congestion: balsamproxy.CongestionRejected}, true},
		"call timed out":    {step{status: 500, dependencyFailed: true, congestion: balsamproxy.CongestionTimedOut}, true},
		"target timed out":  {step{status: 504}, true},
		"no answer in time": {step{refusal: balsamproxy.MayHaveRun(balsamproxy.ReasonDeadline, "")}, true},
		"call failed":       {step{status: 500, dependencyFailed: true}, false},
		"target full":       {step{refusal: balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "")}, false},
		"served":            {step{status: 200}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			script := &script{steps: []step{test.failing}}
			handler := newEntry(script, 0)
			clock := &manualClock{now: time.Now()}
			handler.Clock = clock
			handler.Random = rand.New(rand.NewPCG(1, 2)).Float64
			shed := func() int {
				count := 0
				for range requests {
					clock.now = clock.now.Add(20 * time.Millisecond)
					head := httptest.NewRequest(http.MethodGet, "/order/a", nil)
					head.Header.Set("Secret", "secret")
					response := handler.Handle(context.Background(), &http1.Request{Head: head, ReadAt: clock.now})
					if response.Header.Get("Reason") == string(balsamproxy.ReasonDeepServiceOverloaded) {
						assert.Equal(t, response.Status, http.StatusServiceUnavailable)
						count++
					}
				}
				return count
			}
			if !test.shed {
				assert.Equal(t, shed(), 0)
				return
			}
			assert.Assert(t, shed() > requests/2)
			script.steps = []step{{status: 200}}
			shed()
			assert.Equal(t, shed(), 0)
		})
	}
}

// TestNestedCallsWaitBriefly guards against calls of targets that use up the time
// of their request in the queue of a full target.
func TestNestedCallsWaitBriefly(t *testing.T) {
	full := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "")
	full.Load.Wait = 20 * time.Millisecond
	script := &script{steps: []step{{refusal: full}}}
	handler := newEntry(script, 0)
	document := *handler.Config.Index().Document()
	document.Routes = append(document.Routes, config.Route{
		ID: "call", Service: "s1", Path: "/call/", Methods: []string{config.AnyMethod}, Access: config.AccessOpen, Deadline: 5000, Objective: 2000,
	})
	handler.Config.Update(config.NewIndex(&document, 2))
	head := httptest.NewRequest(http.MethodGet, "/call/a", nil)
	handler.Handle(context.Background(), &http1.Request{Head: head, ReadAt: time.Now()})
	assert.Assert(t, len(script.calls) > 1)
	for _, call := range script.calls {
		assert.Assert(t, call.Nested)
		assert.Assert(t, call.MaxQueueWait <= 100*time.Millisecond, "%v", call.MaxQueueWait)
	}
}
