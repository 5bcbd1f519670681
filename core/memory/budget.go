// Package memory bounds the memory that a daemon holds for the bodies of others.
package memory

import "sync"

// Budget is a number of bytes shared by many holders. The zero value allows
// nothing.
type Budget struct {
	// Bytes is the size of the budget.
	Bytes int64

	mutex sync.Mutex
	used  int64
}

// Grow takes more bytes for a holder that has held bytes, and reports whether
// they were available. A holder may have no more than is free for the others, so
// a few endless bodies do not use up the budget.
func (budget *Budget) Grow(held, more int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if held+more > budget.Bytes-budget.used-more {
		return false
	}
	budget.used += more
	return true
}

// Release returns bytes.
func (budget *Budget) Release(held int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.used -= held
}
