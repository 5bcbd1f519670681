// Package decoding bounds the processor time that the decoding of bodies takes from
// everything else.
package decoding

import (
	"runtime"
	"sync"
)

// freeBytes is how much of a body is decoded without a turn, so that small ones never wait.
const freeBytes = 16 << 10

// Turns bounds how many bodies are decoded at the same time. Bodies in tiny chunks may take
// much processor time; with a turn for each part that has been received, requests without
// a long body wait for a few of them at most, however many there are. The zero value is
// ready to use.
type Turns struct {
	once  sync.Once
	slots chan struct{}
}

// channel returns a channel that has room for a value while there is a turn.
func (turns *Turns) channel() chan struct{} {
	turns.once.Do(func() { turns.slots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2)) })
	return turns.slots
}

// take waits for a turn. The scheduler runs a goroutine that was handed a turn before all
// that are ready already, so a chain of turns must let these run.
func (turns *Turns) take() {
	select {
	case turns.channel() <- struct{}{}:
	default:
		turns.channel() <- struct{}{}
		runtime.Gosched()
	}
}

// Turn is the turn of one connection. It is taken with each part that was received and
// given back before the connection waits for the next one. It is safe for concurrent use.
type Turn struct {
	// Turns must be set.
	Turns *Turns

	mutex   sync.Mutex
	enabled bool
	taken   bool
	// received is the length of the encoded body so far.
	received int
}

// Enable begins a body.
func (turn *Turn) Enable() {
	turn.mutex.Lock()
	defer turn.mutex.Unlock()
	turn.enabled = true
	turn.received = 0
}

// Disable ends a body.
func (turn *Turn) Disable() {
	turn.mutex.Lock()
	turn.enabled = false
	turn.mutex.Unlock()
	turn.End()
}

// Begin waits for the turn after bytes have been received.
func (turn *Turn) Begin(received int) {
	if !turn.needed(received) {
		return
	}
	turn.Turns.take()
	turn.mutex.Lock()
	taken := turn.enabled
	turn.taken = taken
	turn.mutex.Unlock()
	if !taken {
		// The body has ended meanwhile.
		<-turn.Turns.channel()
	}
}

// needed counts bytes that were received and reports whether they need a turn.
func (turn *Turn) needed(received int) bool {
	turn.mutex.Lock()
	defer turn.mutex.Unlock()
	turn.received += received
	return turn.enabled && turn.received > freeBytes
}

// End gives the turn back.
func (turn *Turn) End() {
	turn.mutex.Lock()
	taken := turn.taken
	turn.taken = false
	turn.mutex.Unlock()
	if taken {
		<-turn.Turns.channel()
	}
}
