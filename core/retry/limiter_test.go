package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/retry"
)

func takeAll(limiter *retry.Limiter, request balsamproxy.RequestID) int {
	taken := 0
	for limiter.Take(request) {
		taken++
	}
	return taken
}

func TestLimiter(t *testing.T) {
	cases := map[string]struct {
		steps func(*retry.Limiter)
		want  int
	}{
		"not open":          {func(*retry.Limiter) {}, 0},
		"open":              {func(limiter *retry.Limiter) { limiter.Open("r", 3) }, 3},
		"no extra attempts": {func(limiter *retry.Limiter) { limiter.Open("r", 0) }, 0},
		"some taken":        {func(limiter *retry.Limiter) { limiter.Open("r", 3); limiter.Take("r") }, 2},
		"closed":            {func(limiter *retry.Limiter) { limiter.Open("r", 3); limiter.Close("r") }, 0},
		"other request":     {func(limiter *retry.Limiter) { limiter.Open("q", 3) }, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			limiter := &retry.Limiter{}
			test.steps(limiter)
			assert.Equal(t, takeAll(limiter, "r"), test.want)
		})
	}
}
