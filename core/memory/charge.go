package memory

import "sync"

// ConnectionBytes is the memory of a connection for its buffers and stacks.
const ConnectionBytes = 24 << 10

// WindowBytes is the most that is held of a body while it is passed on over a link.
const WindowBytes = 64 << 10

// Charges are the charges of the requests of one connection. The zero value is ready to use.
type Charges struct {
	mutex   sync.Mutex
	charges map[*Charge]struct{}
}

// Add adds a charge.
func (charges *Charges) Add(charge *Charge) {
	charges.mutex.Lock()
	defer charges.mutex.Unlock()
	if charges.charges == nil {
		charges.charges = map[*Charge]struct{}{}
	}
	charges.charges[charge] = struct{}{}
}

// Release releases a charge and removes it.
func (charges *Charges) Release(charge *Charge) {
	charge.Release()
	charges.mutex.Lock()
	defer charges.mutex.Unlock()
	delete(charges.charges, charge)
}

// Held returns how many bytes of what is short the charges hold.
func (charges *Charges) Held(shortage Shortage) int64 {
	charges.mutex.Lock()
	defer charges.mutex.Unlock()
	held := int64(0)
	for charge := range charges.charges {
		held += charge.Held(shortage)
	}
	return held
}

// Charge is memory that a connection or a call holds besides a Body. A nil Charge holds
// nothing.
type Charge struct {
	budget                 *Budget
	overhead, head, window int64
}

// Charge takes memory for a call: overhead for its buffers and stacks, and a window for
// the parts of bodies that are on their way. It returns what the budget lacks, if anything.
func (budget *Budget) Charge(overhead, window int64) (*Charge, Shortage) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if window > 0 && budget.totalLocked()+window > budget.Bytes-budget.Reserve {
		return nil, ShortOfBodies
	}
	if !budget.fitsOverheadLocked(overhead, window) {
		return nil, ShortOfOverhead
	}
	return budget.chargeLocked(overhead, window), NoShortage
}

// ChargeConnection takes the overhead of a connection. Connections have a bound of their
// own, so it always succeeds.
func (budget *Budget) ChargeConnection(overhead int64) *Charge {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.chargeLocked(overhead, 0)
}

// fitsOverheadLocked reports whether there is room for more overhead beside a new window.
// What exceeds the memory for it uses what bodies leave, since callers within the limits may
// have many small requests in flight, or a few large ones.
func (budget *Budget) fitsOverheadLocked(overhead, window int64) bool {
	if budget.Overhead == 0 {
		return true
	}
	excess := budget.overhead + overhead - budget.Overhead
	return excess <= 0 || budget.usage.Total+window+excess <= budget.Bytes-budget.Reserve
}

func (budget *Budget) chargeLocked(overhead, window int64) *Charge {
	budget.overhead += overhead
	budget.usage.Total += window
	return &Charge{budget: budget, overhead: overhead, window: window}
}

// OverheadUsage returns the memory for connections and calls in use, in bytes.
func (budget *Budget) OverheadUsage() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.overhead
}

// OverheadHalfUsed reports whether half of the memory for connections and calls is in use. It
// never is if that memory is not bounded.
func (budget *Budget) OverheadHalfUsed() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.Overhead > 0 && budget.overhead >= budget.Overhead/2
}

// Held returns how many bytes of what is short the charge holds.
func (charge *Charge) Held(shortage Shortage) int64 {
	if charge == nil {
		return 0
	}
	charge.budget.mutex.Lock()
	defer charge.budget.mutex.Unlock()
	switch shortage {
	case ShortOfOverhead:
		return charge.overhead + charge.head
	case ShortOfHeads:
		return charge.head
	default:
		return charge.window
	}
}

// headDivisor gives the part of the overhead that heads may use while they are received.
// overheadReserveDivisor gives the part that is reserved for calls. Connections have the
// rest at the most, so requests that have come are not refused for those that still come.
const (
	headDivisor            = 8
	overheadReserveDivisor = 8
)

// GrowHead takes more memory for the head of a request that is being received, and returns
// what the budget lacks, if anything.
func (charge *Charge) GrowHead(bytes int64) Shortage {
	budget := charge.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	switch {
	case budget.Overhead == 0:
	case budget.heads+bytes > budget.Overhead/headDivisor:
		return ShortOfHeads
	case !budget.fitsOverheadLocked(bytes+budget.Overhead/overheadReserveDivisor, 0):
		return ShortOfOverhead
	}
	budget.overhead += bytes
	budget.heads += bytes
	charge.head += bytes
	return NoShortage
}

// ReleaseHead returns the memory for a head.
func (charge *Charge) ReleaseHead() {
	charge.budget.mutex.Lock()
	defer charge.budget.mutex.Unlock()
	charge.budget.overhead -= charge.head
	charge.budget.heads -= charge.head
	charge.head = 0
}

// GrowWindow takes more memory for a body, and returns what the budget lacks, if anything.
func (charge *Charge) GrowWindow(bytes int64) Shortage {
	budget := charge.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.totalLocked()+bytes > budget.Bytes-budget.Reserve {
		return ShortOfBodies
	}
	budget.usage.Total += bytes
	charge.window += bytes
	return NoShortage
}

// ShrinkWindow returns what exceeds a number of bytes of the window.
func (charge *Charge) ShrinkWindow(bytes int64) {
	if charge == nil {
		return
	}
	charge.budget.mutex.Lock()
	defer charge.budget.mutex.Unlock()
	if bytes < charge.window {
		charge.budget.usage.Total -= charge.window - bytes
		charge.window = bytes
	}
}

// Release returns all that the charge holds. It may be called more than once.
func (charge *Charge) Release() {
	if charge == nil {
		return
	}
	charge.ShrinkWindow(0)
	charge.ReleaseHead()
	charge.budget.mutex.Lock()
	defer charge.budget.mutex.Unlock()
	charge.budget.overhead -= charge.overhead
	charge.overhead = 0
}
