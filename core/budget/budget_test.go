package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/budget"
)

func TestRepeats(t *testing.T) {
	cases := map[string]struct {
		most   float64
		sent   int
		wanted int
		want   int
	}{
		"nothing sent":             {3, 0, 5, 0},
		"a tenth of what was sent": {3, 20, 5, 2},
		"saved up to the most":     {3, 1000, 5, 3},
		"no room at all":           {0, 1000, 5, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			held := budget.Budget{Ratio: 0.1}
			held.SetMax(test.most)
			for range test.sent {
				held.RecordAttempt("lofts")
			}
			taken := 0
			for range test.wanted {
				if held.Take("lofts") {
					taken++
				}
			}
			assert.Equal(t, taken, test.want)
			assert.Assert(t, !held.Take("venues"))
		})
	}
}
