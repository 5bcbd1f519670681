// Package inflight tracks the calls being processed by targets on this host, so
// that a nested call made by a target can inherit from its parent call.
package inflight

import (
	"context"
	"sync/atomic"
	"time"

	"balsamproxy"
	"balsamproxy/core/shard"
)

// Parent is a call being processed by a target.
type Parent struct {
	Head     balsamproxy.CallHead
	Deadline time.Time
	// Context is cancelled when the answer is no longer needed.
	Context context.Context
	// congestion is that of the last nested call that failed.
	congestion *atomic.Int32
}

// RecordCongestion records why a nested call of the target failed. A parent that
// is not in a table ignores it.
func (parent Parent) RecordCongestion(congestion balsamproxy.Congestion) {
	if parent.congestion != nil && congestion != balsamproxy.CongestionNone {
		parent.congestion.Store(int32(congestion))
	}
}

// Table maps the span id passed to a target to the call being processed. The
// zero value is ready to use.
type Table struct {
	parents shard.Map[balsamproxy.SpanID, Parent]
}

// Begin adds the parent call of a span.
func (table *Table) Begin(span balsamproxy.SpanID, parent Parent) {
	parent.congestion = &atomic.Int32{}
	table.parents.Put(span, parent)
}

// End removes the parent call of a span.
func (table *Table) End(span balsamproxy.SpanID) {
	table.parents.Delete(span)
}

// Congestion returns the congestion recorded for the parent call of a span.
func (table *Table) Congestion(span balsamproxy.SpanID) balsamproxy.Congestion {
	parent, found := table.parents.Get(span)
	if !found {
		return balsamproxy.CongestionNone
	}
	return balsamproxy.Congestion(parent.congestion.Load())
}

// Find returns the parent call of a span.
func (table *Table) Find(span balsamproxy.SpanID) (Parent, bool) {
	return table.parents.Get(span)
}
