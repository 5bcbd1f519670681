package memory_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/memory"
)

// TestLag guards against peers that never lag because a byte of theirs comes now and then,
// or because they sent much before they stopped.
func TestLag(t *testing.T) {
	cases := map[string]struct {
		// waits are how long the peer was waited for before each number of bytes.
		waits  []time.Duration
		bytes  int
		lagged bool
	}{
		"a byte now and then":     {slices.Repeat([]time.Duration{100 * time.Millisecond}, 10), 1, true},
		"an upload":               {slices.Repeat([]time.Duration{20 * time.Millisecond}, 100), 1460, false},
		"much and then a pause":   {append(slices.Repeat([]time.Duration{time.Millisecond}, 100), 500*time.Millisecond), 32 << 10, false},
		"a short pause":           {[]time.Duration{200 * time.Millisecond}, 0, false},
		"a long pause":            {[]time.Duration{500 * time.Millisecond}, 0, true},
		"slower than the minimum": {slices.Repeat([]time.Duration{time.Second}, 5), memory.MinRate * 3 / 4, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var lag memory.Lag
			now := time.Unix(0, 0)
			for _, wait := range test.waits {
				lag.Begin(now)
				now = now.Add(wait)
				lag.End(now, test.bytes)
			}
			assert.Equal(t, lag.At(now), time.Duration(0))
			lag.Begin(now)
			assert.Equal(t, lag.At(now) >= memory.MinLag, test.lagged, "%v", lag.At(now))
		})
	}
}

// holder holds the same number of everything.
type holder struct {
	lag  time.Duration
	held int64
}

func (holder *holder) Lag(time.Time) time.Duration                   { return holder.lag }
func (holder *holder) Held(memory.Shortage) int64                    { return holder.held }
func (holder *holder) Evict(memory.Shortage) (<-chan struct{}, bool) { return nil, true }
func (holder *holder) String() string                                { return holder.lag.String() }

// TestCostliest guards against the eviction of those that hold nothing of what is short, or
// that keep up, in favour of those that cost others the most.
func TestCostliest(t *testing.T) {
	idle := &holder{lag: time.Minute}
	large := &holder{lag: time.Second, held: 64 << 20}
	small := &holder{lag: 10 * time.Second, held: 4 << 10}
	active := &holder{held: 128 << 20}
	cases := map[string]struct {
		holders []memory.Holder
		passed  map[memory.Holder]bool
		want    memory.Holder
	}{
		"lag and memory": {[]memory.Holder{idle, small, large, active}, nil, large},
		"passed over":    {[]memory.Holder{idle, small, large, active}, map[memory.Holder]bool{large: true}, small},
		"nothing of it":  {[]memory.Holder{idle}, nil, nil},
		"all keep up":    {[]memory.Holder{active}, nil, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cost := memory.Cost[memory.Holder](memory.ShortOfBodies, time.Now())
			got, found := memory.Costliest(slices.Values(test.holders), test.passed, cost)
			assert.Equal(t, got, test.want)
			assert.Equal(t, found, test.want != nil)
		})
	}
}

// TestCharges guards against memory that stays taken, and against requests that still come
// and leave nothing for those that have come.
func TestCharges(t *testing.T) {
	budget := memory.NewBudget(1<<20, 1<<20)
	budget.Overhead = 800
	others := budget.ChargeConnection(300)
	// Bodies leave a window and no room for overhead.
	bodies, shortage := budget.Charge(0, budget.Bytes-budget.Reserve-(64<<10))
	assert.Equal(t, shortage, memory.NoShortage)
	connection := budget.ChargeConnection(300)
	assert.Equal(t, connection.GrowHead(100), memory.NoShortage)
	assert.Equal(t, connection.GrowHead(1), memory.ShortOfHeads)
	assert.Equal(t, connection.Held(memory.ShortOfHeads), int64(100))
	assert.Equal(t, connection.Held(memory.ShortOfOverhead), int64(400))
	assert.Equal(t, others.Held(memory.ShortOfHeads), int64(0))
	charge, shortage := budget.Charge(100, 64<<10)
	assert.Equal(t, shortage, memory.NoShortage)
	_, shortage = budget.Charge(1, 0)
	assert.Equal(t, shortage, memory.ShortOfOverhead)
	connection.ReleaseHead()
	assert.Equal(t, connection.GrowHead(1), memory.ShortOfOverhead)
	_, shortage = budget.Charge(1, 1<<20)
	assert.Equal(t, shortage, memory.ShortOfBodies)
	assert.Equal(t, charge.GrowWindow(1<<20), memory.ShortOfBodies)
	bodies.Release()
	charge.ShrinkWindow(10)
	assert.Equal(t, budget.Usage(), memory.Usage{Total: 10})
	charge.Release()
	charge.Release()
	connection.Release()
	others.Release()
	assert.Equal(t, budget.Usage(), memory.Usage{})
	assert.Equal(t, budget.OverheadUsage(), int64(0))
}

// TestOverheadUsesRoomOfBodies guards against requests that are refused, or connections that
// are given up, while there is enough memory.
func TestOverheadUsesRoomOfBodies(t *testing.T) {
	budget := memory.NewBudget(1<<20, 1<<20)
	budget.Overhead = 800
	const room = 1<<20 - 1<<16
	assert.Equal(t, budget.Reserve, int64(1<<16))
	_, shortage := budget.Charge(801, room)
	assert.Equal(t, shortage, memory.ShortOfOverhead)
	charge, shortage := budget.Charge(800+room-100, 100)
	assert.Equal(t, shortage, memory.NoShortage)
	_, shortage = budget.Charge(1, 0)
	assert.Equal(t, shortage, memory.ShortOfOverhead)
	_, shortage = budget.Charge(0, 1)
	assert.Equal(t, shortage, memory.ShortOfBodies)
	assert.Equal(t, charge.GrowWindow(1), memory.ShortOfBodies)
	assert.Assert(t, !budget.Grow(0, 1))
	assert.Assert(t, budget.Fits(1<<16))
	assert.Assert(t, !budget.Fits(1<<16+1))
	charge.Release()
	assert.Assert(t, budget.Fits(room))
}

// TestIdleLag guards against closing a connection whose caller is about to send.
func TestIdleLag(t *testing.T) {
	since := time.Unix(0, 0)
	for idle, want := range map[time.Duration]time.Duration{
		-time.Second: 0, 0: 0, memory.MinIdle - 1: 0, memory.MinIdle: memory.MinIdle, time.Second: time.Second,
	} {
		assert.Equal(t, memory.IdleLag(since, since.Add(idle)), want)
	}
}

// TestPace guards against places that all change hands at once, after which none can be had
// for a while.
func TestPace(t *testing.T) {
	var pace memory.Pace
	now := time.Unix(0, 0)
	assert.Assert(t, pace.Allows(now))
	pace.Evicted(now, time.Second, 50)
	assert.Assert(t, !pace.Allows(now.Add(19*time.Millisecond)))
	assert.Equal(t, pace.Wait(now, 5*time.Millisecond), 5*time.Millisecond)
	assert.Equal(t, pace.Wait(now.Add(18*time.Millisecond), 5*time.Millisecond), 2*time.Millisecond)
	assert.Assert(t, pace.Allows(now.Add(20*time.Millisecond)))
}
