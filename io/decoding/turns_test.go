package decoding_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/io/decoding"
)

// TestTurns guards against long bodies that are decoded all at the same time, against small
// ones that wait for them, and against turns that are lost when a body ends.
func TestTurns(t *testing.T) {
	const bodies, parts = 50, 20
	var turns decoding.Turns
	var decoded sync.WaitGroup
	var running, most atomic.Int64
	for range bodies {
		decoded.Go(func() {
			turn := &decoding.Turn{Turns: &turns}
			turn.Enable()
			defer turn.Disable()
			for range parts {
				turn.End()
				turn.Begin(32 << 10)
				now := running.Add(1)
				for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
				}
				runtime.Gosched()
				running.Add(-1)
			}
			small := &decoding.Turn{Turns: &turns}
			small.Enable()
			small.Begin(4 << 10)
		})
	}
	decoded.Wait()
	assert.Assert(t, most.Load() <= int64(max(1, runtime.GOMAXPROCS(0)/2)), "%d at the same time", most.Load())
}

// TestTurnsLetOthersRun guards against turns that are handed on from one body to the next
// while goroutines without a turn do not run.
func TestTurnsLetOthersRun(t *testing.T) {
	const bodies, rounds, turnsPerRound = 50, 200, 10
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	var turns decoding.Turns
	var decoded sync.WaitGroup
	var stopped atomic.Bool
	var taken atomic.Int64
	for range bodies {
		decoded.Go(func() {
			turn := &decoding.Turn{Turns: &turns}
			turn.Enable()
			defer turn.Disable()
			for !stopped.Load() {
				turn.End()
				turn.Begin(32 << 10)
				taken.Add(1)
			}
		})
	}
	for range rounds {
		// Until all of them have begun, one may go on alone.
		runtime.Gosched()
	}
	begun := taken.Load()
	for range rounds {
		runtime.Gosched()
	}
	count := taken.Load() - begun
	stopped.Store(true)
	decoded.Wait()
	assert.Assert(t, count <= rounds*turnsPerRound, "%d turns in %d rounds of the others", count, rounds)
}
