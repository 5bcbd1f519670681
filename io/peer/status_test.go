package peer_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

// TestInvalidStatusOfPeer guards against a response head of another daemon whose
// status is none that a caller may get. Other calls on the link must go on.
func TestInvalidStatusOfPeer(t *testing.T) {
	cases := map[string]int{"0": 0, "negative": -1, "99": 99, "interim": 103, "101": 101, "600": 600, "700": 700}
	for name, status := range cases {
		t.Run(name, func(t *testing.T) {
			pool, _ := newPair(t, forwarderFunc(func(ctx context.Context, call balsamproxy.Call) (*balsamproxy.Response, error) {
				answer, err := echo(ctx, call)
				if call.Head.Path == "/odd" {
					answer.Head.Status = status
				}
				return answer, err
			}))
			for _, body := range []string{"", strings.Repeat("x", 200<<10)} {
				answer, err := pool.ForwardTo(t.Context(), "there", newCall("/odd", []byte(body)))
				assert.Check(t, answer == nil, "a response of %d bytes was accepted", len(body))
				var refusal *balsamproxy.Refusal
				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Outcome, balsamproxy.OutcomeMayHaveRun)
				assert.NilError(t, checkEcho(t.Context(), pool, "/good"))
			}
		})
	}
}
