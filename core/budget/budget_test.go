package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/budget"
)

func TestRepeats(t *testing.T) {
	cases := map[string]struct {
		limit  float64
		sent   int
		wanted int
		want   int
	}{
		"nothing sent":                  {3, 0, 5, 0},
		"a tenth of what was sent":      {3, 20, 5, 2},
		"accumulates up to the maximum": {3, 1000, 5, 3},
		"maximum of zero":               {0, 1000, 5, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			retries := budget.Budget{Ratio: 0.1}
			retries.SetMax(test.limit)
			for range test.sent {
				retries.RecordAttempt("lofts")
			}
			taken := 0
			for range test.wanted {
				if retries.Take("lofts") {
					taken++
				}
			}
			assert.Equal(t, taken, test.want)
			assert.Assert(t, !retries.Take("venues"))
		})
	}
}
