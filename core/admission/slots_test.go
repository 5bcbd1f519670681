package admission_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/admission"
)

// TestATwentiethOfTheSlotsStaysFree guards against targets that slow down because
// more than 95 % of their slots are in use.
func TestATwentiethOfTheSlotsStaysFree(t *testing.T) {
	for slots := 20; slots <= 300; slots++ {
		assert.Assert(t, 20*admission.UsableSlots(slots, false) <= 19*slots, "%d slots", slots)
	}
	assert.Equal(t, admission.UsableSlots(1, false), 1)
	assert.Equal(t, admission.UsableSlots(100, true), 47)
}
