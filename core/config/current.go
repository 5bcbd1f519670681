package config

import (
	"sync/atomic"

	"balsamproxy"
)

// Current holds the newest configuration that a daemon has seen. Its zero
// value holds none.
type Current struct {
	index atomic.Pointer[Index]
	// former is the index that the one held has replaced.
	former atomic.Pointer[Index]
}

// Update takes an index if its revision is higher than the one held, and says
// whether it did. So a daemon never goes back.
func (current *Current) Update(index *Index) bool {
	for {
		held := current.index.Load()
		if held != nil && index.revision <= held.revision {
			return false
		}
		if current.index.CompareAndSwap(held, index) {
			current.former.Store(held)
			return true
		}
	}
}

// Index returns the index held, or nil.
func (current *Current) Index() *Index { return current.index.Load() }

// AtRevision returns the index of a revision if it is the one held or the one before
// it, or nil.
func (current *Current) AtRevision(revision balsamproxy.Revision) *Index {
	for _, index := range []*Index{current.index.Load(), current.former.Load()} {
		if index != nil && index.revision == revision {
			return index
		}
	}
	return nil
}

// ServiceRoute returns the route of a target's call in the index held.
func (current *Current) ServiceRoute(service balsamproxy.ServiceID, method, path string) (Route, bool) {
	index := current.Index()
	if index == nil {
		return Route{}, false
	}
	return index.ServiceRoute(service, method, path)
}
