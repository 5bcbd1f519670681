package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/retry"
)

func takeAll(ledger *retry.Limiter, request balsamproxy.RequestID) int {
	taken := 0
	for ledger.Take(request) {
		taken++
	}
	return taken
}

func TestLedger(t *testing.T) {
	cases := map[string]struct {
		steps func(*retry.Limiter)
		want  int
	}{
		"not open":          {func(*retry.Limiter) {}, 0},
		"open":              {func(ledger *retry.Limiter) { ledger.Open("r", 3) }, 3},
		"no extra attempts": {func(ledger *retry.Limiter) { ledger.Open("r", 0) }, 0},
		"some taken":        {func(ledger *retry.Limiter) { ledger.Open("r", 3); ledger.Take("r") }, 2},
		"closed":            {func(ledger *retry.Limiter) { ledger.Open("r", 3); ledger.Close("r") }, 0},
		"other request":     {func(ledger *retry.Limiter) { ledger.Open("q", 3) }, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ledger := &retry.Limiter{}
			test.steps(ledger)
			assert.Equal(t, takeAll(ledger, "r"), test.want)
		})
	}
}
