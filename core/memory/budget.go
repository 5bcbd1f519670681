// Package memory bounds the memory that a daemon holds for others, and decides which of
// them is given up when there is too little. The budget is designed for some thousand
// connections and bodies of any length up to the budget at once, most of which may come
// from hostile callers.
package memory

import "sync"

// SmallBytes is the length up to which the body of a request is small.
const SmallBytes = 64 << 10

// Budget is a number of bytes shared by the bodies of requests and responses. The zero
// value allows nothing.
type Budget struct {
	// Bytes is the size of the budget.
	Bytes int64
	// Requests is the part of Bytes that bodies of requests may use.
	Requests int64
	// Reserve is the part of Requests that only small bodies may use.
	Reserve int64
	// Overhead is the memory for connections and calls besides bodies, which may use what
	// bodies leave of Bytes, too. Zero means that it is not bounded.
	Overhead int64
	// Holders are those that may be evicted when there is too little memory. Requesting
	// and Responding are those who wait for that, for requests and for responses.
	Holders                Holders
	Requesting, Responding Queue

	mutex    sync.Mutex
	usage    Usage
	overhead int64
	// heads is the part of overhead for heads that are being received.
	heads int64
}

// Usage is how much of a budget is in use for bodies, in bytes.
type Usage struct {
	// Total includes the windows of calls and Requests, which includes Large, the use by
	// bodies that are not small.
	Total, Requests, Large int64
}

// reserveDivisor gives the part of the request memory that is reserved for small
// bodies. With 184 MB of memory, the rest has to hold a body of 64 MiB.
const reserveDivisor = 16

// NewBudget returns a budget with the usual reserve for small bodies.
func NewBudget(bytes, requests int64) *Budget {
	return &Budget{Bytes: bytes, Requests: requests, Reserve: requests / reserveDivisor}
}

// Usage returns how much of the budget is in use.
func (budget *Budget) Usage() Usage {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.usage
}

// Grow takes more bytes for the body of a response that has held bytes, and reports
// whether they were available. A body may have no more than is free for the others, so
// a few endless bodies do not use up the budget.
func (budget *Budget) Grow(held, more int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if held+more > budget.Bytes-budget.Reserve-budget.totalLocked()-more {
		return false
	}
	budget.usage.Total += more
	return true
}

// totalLocked returns how much of Bytes is in use, with the overhead that exceeds its own part.
func (budget *Budget) totalLocked() int64 {
	if budget.Overhead == 0 {
		return budget.usage.Total
	}
	return budget.usage.Total + max(0, budget.overhead-budget.Overhead)
}

// Attainable reports whether the body of a response that has held bytes could have more if
// nothing else were held.
func (budget *Budget) Attainable(held, more int64) bool {
	return held+more <= budget.Bytes-budget.Reserve-held-more
}

// Release returns the bytes of the body of a response.
func (budget *Budget) Release(held int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.usage.Total -= held
}

// Fits reports whether the body of a request of this length could be held now.
func (budget *Budget) Fits(length int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.fitsLocked(0, length)
}

// fitsLocked reports whether the body of a request that has held bytes can have more.
func (budget *Budget) fitsLocked(held, more int64) bool {
	usage := budget.usage
	if usage.Requests+more > budget.Requests || budget.totalLocked()+more > budget.Bytes {
		return false
	}
	return usage.Large+largeBytes(held+more)-largeBytes(held) <= budget.Requests-budget.Reserve || held+more <= SmallBytes
}

// largeBytes returns how much of a body of a request counts as large.
func largeBytes(held int64) int64 {
	if held <= SmallBytes {
		return 0
	}
	return held
}

// growRequest takes more bytes for the body of a request that has held bytes, and
// reports whether they were available.
func (budget *Budget) growRequest(held, more int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.fitsLocked(held, more) {
		return false
	}
	budget.usage.Total += more
	budget.usage.Requests += more
	budget.usage.Large += largeBytes(held+more) - largeBytes(held)
	return true
}

// releaseRequest returns the bytes of the body of a request.
func (budget *Budget) releaseRequest(held int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.usage.Total -= held
	budget.usage.Requests -= held
	budget.usage.Large -= largeBytes(held)
}
