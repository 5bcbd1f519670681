// Package retry bounds the retries of one customer request over its whole call
// graph.
package retry

import (
	"balsamproxy"
	"balsamproxy/core/shard"
)

// Limiter tracks the remaining retries of the requests that entered the fleet
// at this host. The zero value is ready to use.
type Limiter struct {
	remaining shard.Map[balsamproxy.RequestID, int]
}

// Open registers a request with its maximum number of retries.
func (limiter *Limiter) Open(request balsamproxy.RequestID, limit int) {
	limiter.remaining.Put(request, limit)
}

// Take uses one retry. It returns false if none is left or the request is not
// open on this host.
func (limiter *Limiter) Take(request balsamproxy.RequestID) bool {
	granted := false
	limiter.remaining.Update(request, func(remaining int) int {
		granted = remaining > 0
		return max(remaining-1, 0)
	})
	return granted
}

// Close removes a request. Further retries are denied.
func (limiter *Limiter) Close(request balsamproxy.RequestID) {
	limiter.remaining.Delete(request)
}
