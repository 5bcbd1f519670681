package claim

import (
	"sync"

	"balsamproxy"
)

// State is the state of a claim as known to its owner.
type State string

// States of a claim.
const (
	// StateUnknown means that the owner has no record of the claim.
	StateUnknown State = "unknown"
	// StateClaiming means that the claim may be in the store and the order has
	// not been sent to a target.
	StateClaiming State = "claiming"
	// StateRunning means that the order has been sent to a target.
	StateRunning State = "running"
	// StateDone means that the order has ended and its outcome is recorded.
	StateDone State = "done"
	// StateAbandoned means that the order was not executed and never will be
	// under this claim.
	StateAbandoned State = "given-up"
)

// Record is the outcome of an order: an answer or a refusal.
type Record struct {
	Answer  *balsamproxy.ResponseHead `cbor:"1,keyasint,omitempty"`
	Body    []byte                    `cbor:"2,keyasint,omitempty"`
	Refusal *balsamproxy.Refusal      `cbor:"3,keyasint,omitempty"`
}

const (
	// maxEndedClaims bounds the number of ended claims in a Table.
	maxEndedClaims = 16_384
	// maxRecordBytes bounds the total size of the recorded answer bodies.
	maxRecordBytes = 16 << 20
)

// Table holds the claims made by this daemon process. When a bound is exceeded,
// the claims that ended first are evicted. The zero value is ready to use.
type Table struct {
	mutex  sync.Mutex
	claims map[ID]*entry
	// ended holds the ids of ended claims in the order in which they ended.
	ended []ID
	// bytes is the total size of the recorded answer bodies.
	bytes int
}

type entry struct {
	state  State
	record Record
}

// Open adds a claim in StateClaiming. It must be called before the claim is sent
// to the store.
func (table *Table) Open(id ID) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.claims == nil {
		table.claims = map[ID]*entry{}
	}
	table.claims[id] = &entry{state: StateClaiming}
}

// Start marks an order as running; it must be called before the order is sent to
// a target. It returns false if the claim is not in StateClaiming: the order
// must then not be executed.
func (table *Table) Start(id ID) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	existing, found := table.claims[id]
	if !found || existing.state != StateClaiming {
		return false
	}
	existing.state = StateRunning
	return true
}

// Abandon marks a claim as abandoned: its order was not executed and never will
// be under this claim.
func (table *Table) Abandon(id ID) {
	table.finish(id, StateAbandoned, Record{})
}

// Finish records the outcome of an order.
func (table *Table) Finish(id ID, record Record) {
	table.finish(id, StateDone, record)
}

func (table *Table) finish(id ID, state State, record Record) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	existing, found := table.claims[id]
	if !found {
		return
	}
	if existing.state != StateDone && existing.state != StateAbandoned {
		table.ended = append(table.ended, id)
	}
	table.bytes += len(record.Body) - len(existing.record.Body)
	existing.state = state
	existing.record = record
	for len(table.ended) > maxEndedClaims || table.bytes > maxRecordBytes {
		table.evict(table.ended[0])
		table.ended = table.ended[1:]
	}
}

func (table *Table) evict(id ID) {
	table.bytes -= len(table.claims[id].record.Body)
	delete(table.claims, id)
}

// Lookup returns the state of a claim and, if the order has ended, its record.
func (table *Table) Lookup(id ID) (State, Record) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	existing, found := table.claims[id]
	if !found {
		return StateUnknown, Record{}
	}
	return existing.state, existing.record
}
