package memory_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/memory"
)

func TestBudgetLeavesHalfOfWhatIsFree(t *testing.T) {
	budget := memory.Budget{Bytes: 64}
	held := int64(0)
	for budget.Grow(held, 1) {
		held++
	}
	assert.Equal(t, held, int64(32))
	assert.Assert(t, budget.Grow(0, 16))
	assert.Assert(t, !budget.Grow(16, 1))
	budget.Release(held)
	assert.Assert(t, budget.Grow(16, 16))
}
