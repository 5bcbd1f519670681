package config

import (
	"sync/atomic"

	"balsamproxy"
)

// Current holds the newest configuration received by a daemon and the one
// before it. The zero value holds none. It is safe for concurrent use.
type Current struct {
	index atomic.Pointer[Index]
	// previous is the index that was replaced by the current one.
	previous atomic.Pointer[Index]
}

// Update stores an index if its revision is higher than the current one, and
// reports whether it did. The configuration of a daemon therefore never goes
// back to an older revision.
func (current *Current) Update(index *Index) bool {
	for {
		latest := current.index.Load()
		if latest != nil && index.revision <= latest.revision {
			return false
		}
		if current.index.CompareAndSwap(latest, index) {
			current.previous.Store(latest)
			return true
		}
	}
}

// Index returns the current index, or nil if there is none.
func (current *Current) Index() *Index { return current.index.Load() }

// AtRevision returns the index of a revision if it is the current or the
// previous one, and nil otherwise.
func (current *Current) AtRevision(revision balsamproxy.Revision) *Index {
	for _, index := range []*Index{current.index.Load(), current.previous.Load()} {
		if index != nil && index.revision == revision {
			return index
		}
	}
	return nil
}

// ServiceRoute looks up the route of a target's call in the current index.
func (current *Current) ServiceRoute(service balsamproxy.ServiceID, method, path string) (Route, bool) {
	index := current.Index()
	if index == nil {
		return Route{}, false
	}
	return index.ServiceRoute(service, method, path)
}
