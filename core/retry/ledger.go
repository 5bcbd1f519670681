// Package retry bounds the extra attempts of one customer request over its
// whole call graph.
package retry

import (
	"balsamproxy"
	"balsamproxy/core/shard"
)

// Limiter counts the extra attempts of the requests whose root is this host.
// Its zero value works.
type Limiter struct {
	left shard.Map[balsamproxy.RequestID, int]
}

// Open starts a request with a limit of extra attempts.
func (ledger *Limiter) Open(request balsamproxy.RequestID, limit int) {
	ledger.left.Put(request, limit)
}

// Take spends one extra attempt. It says false if none is left or the request
// is not open here.
func (ledger *Limiter) Take(request balsamproxy.RequestID) bool {
	granted := false
	ledger.left.Update(request, func(left int) int {
		granted = left > 0
		return max(left-1, 0)
	})
	return granted
}

// Close ends a request. Later extra attempts are refused.
func (ledger *Limiter) Close(request balsamproxy.RequestID) {
	ledger.left.Delete(request)
}
