package claim

import (
	"sync"

	"balsamproxy"
)

// State is what became of a claim at its claimant.
type State string

// States of a claim.
const (
	// StateUnknown says that the claimant does not know the claim any more.
	StateUnknown State = "unknown"
	// StateClaiming says that the claim may be in the store, and that the
	// order has not been given to a target.
	StateClaiming State = "claiming"
	// StateRunning says that the order has been given to a target.
	StateRunning State = "running"
	// StateDone says that the order has ended and its answer is recorded.
	StateDone State = "done"
	// StateGivenUp says that the order was not run and never will be under
	// this claim.
	StateGivenUp State = "given-up"
)

// Record is the recorded end of an order: an answer or a refusal.
type Record struct {
	Answer  *balsamproxy.ResponseHead `cbor:"1,keyasint,omitempty"`
	Body    []byte                    `cbor:"2,keyasint,omitempty"`
	Refusal *balsamproxy.Refusal      `cbor:"3,keyasint,omitempty"`
}

const (
	// recordsMax bounds the ended claims that a claimant remembers.
	recordsMax = 16_384
	// recordBytesMax bounds the bytes of the answers among them.
	recordBytesMax = 16 << 20
)

// Ledger holds the claims that this run of this daemon made. Its zero value
// works.
type Ledger struct {
	mutex  sync.Mutex
	claims map[ID]*entry
	// ended holds the ids of ended claims, the oldest first.
	ended []ID
	// bytes is the size of all recorded answers.
	bytes int
}

type entry struct {
	state  State
	record Record
}

// Open notes a claim before it is made.
func (ledger *Ledger) Open(id ID) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.claims == nil {
		ledger.claims = map[ID]*entry{}
	}
	ledger.claims[id] = &entry{state: StateClaiming}
}

// Start notes that an order is about to be given to a target. It says false
// if the claim has been given up: then the order must not run.
func (ledger *Ledger) Start(id ID) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	held, found := ledger.claims[id]
	if !found || held.state != StateClaiming {
		return false
	}
	held.state = StateRunning
	return true
}

// GiveUp notes that an order has not run and never will under a claim.
func (ledger *Ledger) GiveUp(id ID) {
	ledger.finish(id, StateGivenUp, Record{})
}

// Finish records the end of an order.
func (ledger *Ledger) Finish(id ID, record Record) {
	ledger.finish(id, StateDone, record)
}

func (ledger *Ledger) finish(id ID, state State, record Record) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	held, found := ledger.claims[id]
	if !found {
		return
	}
	if held.state != StateDone && held.state != StateGivenUp {
		ledger.ended = append(ledger.ended, id)
	}
	ledger.bytes += len(record.Body) - len(held.record.Body)
	held.state = state
	held.record = record
	for len(ledger.ended) > recordsMax || ledger.bytes > recordBytesMax {
		ledger.forget(ledger.ended[0])
		ledger.ended = ledger.ended[1:]
	}
}

func (ledger *Ledger) forget(id ID) {
	ledger.bytes -= len(ledger.claims[id].record.Body)
	delete(ledger.claims, id)
}

// Look returns the state of a claim and, if the order has ended, its record.
func (ledger *Ledger) Look(id ID) (State, Record) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	held, found := ledger.claims[id]
	if !found {
		return StateUnknown, Record{}
	}
	return held.state, held.record
}
