package goruntime_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/io/goruntime"
)

func TestSchedulingDelayCountsSinceTheLastCall(t *testing.T) {
	var delay goruntime.SchedulingDelay
	delay.Mean()
	var running sync.WaitGroup
	for range 1000 {
		running.Go(func() {})
	}
	running.Wait()
	assert.Assert(t, delay.Mean() > 0)
}
