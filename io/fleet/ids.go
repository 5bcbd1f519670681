package fleet

import (
	"crypto/rand"
	"encoding/hex"

	"balsamproxy"
	"balsamproxy/core/config"
)

const (
	requestBytes = 16
	traceBytes   = 16
	spanBytes    = 8
)

// Routes looks up routes in the current configuration.
type Routes interface {
	// ServiceRoute returns the route of a call from a target to a service.
	ServiceRoute(service balsamproxy.ServiceID, method, path string) (config.Route, bool)
}

// IDs generates random ids. The zero value is ready to use.
type IDs struct{}

func randomHex(count int) string {
	random := make([]byte, count)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// NewRequest returns a new request id.
func (IDs) NewRequest() balsamproxy.RequestID {
	return balsamproxy.RequestID(randomHex(requestBytes))
}

// NewTrace returns a new trace id.
func (IDs) NewTrace() balsamproxy.TraceID {
	return balsamproxy.TraceID(randomHex(traceBytes))
}

// NewSpan returns a new span id.
func (IDs) NewSpan() balsamproxy.SpanID {
	return balsamproxy.SpanID(randomHex(spanBytes))
}
