// Package inflight tracks the calls being processed by targets on this host, so
// that a nested call made by a target can inherit from its parent call.
package inflight

import (
	"context"
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
}

// Table maps the span id passed to a target to the call being processed. The
// zero value is ready to use.
type Table struct {
	parents shard.Map[balsamproxy.SpanID, Parent]
}

// Begin adds the parent call of a span.
func (table *Table) Begin(span balsamproxy.SpanID, parent Parent) {
	table.parents.Put(span, parent)
}

// End removes the parent call of a span.
func (table *Table) End(span balsamproxy.SpanID) {
	table.parents.Delete(span)
}

// Find returns the parent call of a span.
func (table *Table) Find(span balsamproxy.SpanID) (Parent, bool) {
	return table.parents.Get(span)
}
