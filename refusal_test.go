package balsamproxy_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

// TestFaultyTargetsAreNoCongestion guards against shedding requests because
// targets refuse calls that they have room for.
func TestFaultyTargetsAreNoCongestion(t *testing.T) {
	refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "")
	assert.Equal(t, refusal.Congestion(), balsamproxy.CongestionRejected)
	refusal.RefusedByTarget = true
	assert.Equal(t, refusal.Congestion(), balsamproxy.CongestionNone)
}
