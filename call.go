package balsamproxy

import (
	"context"
	"io"
	"net/http"
	"time"
)

// CallHead describes one call to a target, apart from its body.
type CallHead struct {
	RequestID RequestID       `cbor:"1,keyasint"`
	Root      HostID          `cbor:"2,keyasint"`
	Account   ClientAccountID `cbor:"3,keyasint,omitempty"`
	Route     RouteID         `cbor:"4,keyasint,omitempty"`
	Service   ServiceID       `cbor:"5,keyasint"`
	Target    TargetID        `cbor:"6,keyasint"`
	Priority  Priority        `cbor:"7,keyasint"`
	Depth     Depth           `cbor:"8,keyasint"`
	Trace     TraceID         `cbor:"9,keyasint"`
	// Timeout is the time remaining until the deadline when the head is sent.
	// It is sent as a duration because the clocks of two hosts differ.
	Timeout time.Duration `cbor:"10,keyasint"`
	Method  string        `cbor:"11,keyasint"`
	// Path is the request target in origin form, with its query.
	Path   string      `cbor:"12,keyasint"`
	Header http.Header `cbor:"13,keyasint"`
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64 `cbor:"14,keyasint"`
	// Background reports whether the call serves no customer request.
	Background bool `cbor:"15,keyasint,omitempty"`
	// Authority is the host name that the request addresses.
	Authority string `cbor:"16,keyasint,omitempty"`
	// Caller is the service on whose host the request originated.
	Caller ServiceID `cbor:"17,keyasint,omitempty"`
	// Nested reports whether a target made the call while serving another.
	Nested bool `cbor:"18,keyasint,omitempty"`
	// Retried reports whether the caller retries after a refusal.
	Retried bool `cbor:"19,keyasint,omitempty"`
	// Objective is the time left to respond at full value, zero if there is none.
	Objective time.Duration `cbor:"22,keyasint,omitempty"`
	// MaxQueueWait is the maximum time that the call may wait for this target
	// before the sender should try another one.
	MaxQueueWait time.Duration `cbor:"20,keyasint,omitempty"`
	// Idempotent reports whether the call may run more than once.
	Idempotent bool `cbor:"21,keyasint,omitempty"`
}

// Call is one call to a target.
type Call struct {
	Head CallHead
	// Body is never nil. It ends with io.EOF only if it is complete.
	Body io.Reader
	// Recalled is closed when the call is to be refused unless it has been sent to
	// its target. If nil, the call is never recalled.
	Recalled <-chan struct{}
}

// IsRecalled reports whether Recalled is closed.
func (call Call) IsRecalled() bool {
	select {
	case <-call.Recalled:
		return true
	default:
		return false
	}
}

// RecalledRefusal returns the refusal of a call that was recalled before it was sent
// to its target.
func RecalledRefusal() *Refusal {
	return NotRun(ReasonShuttingDown, "recalled by a daemon that shuts down before it was sent to a target")
}

// ResponseHead describes one response of a target, apart from its body.
type ResponseHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64 `cbor:"3,keyasint"`
	// Load is the load of the target when it responded.
	Load Load `cbor:"4,keyasint"`
	// DependencyFailed reports whether the target failed because one of its own
	// calls failed. The same request would then fail at any other target too.
	DependencyFailed bool `cbor:"5,keyasint,omitempty"`
	// Congestion is the reason of that failure, if it was congestion.
	Congestion Congestion `cbor:"6,keyasint,omitempty"`
	// Costs is what one request of the route uses of each service on average, if
	// the daemon beside the target reports it.
	Costs []ServiceCost `cbor:"7,keyasint,omitempty"`
}

// ServiceCost is what one request uses of one service.
type ServiceCost struct {
	Service ServiceID `cbor:"1,keyasint"`
	// Work is the time for which slots of the service's targets are in use.
	Work time.Duration `cbor:"2,keyasint,omitempty"`
	// Pressure is the fraction of the slots in use at the targets that took the calls,
	// and higher if no target took some of them.
	Pressure float64 `cbor:"3,keyasint,omitempty"`
}

// statusMax is the greatest status of HTTP.
const statusMax = 599

// IsFinalStatus reports whether a status may be that of a final response. 101 is
// none: the daemons do not switch protocols.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= statusMax
}

// ShownCongestion returns the kind of congestion that a response shows.
func (head ResponseHead) ShownCongestion() Congestion {
	if head.Status == http.StatusGatewayTimeout && head.Congestion == CongestionNone {
		return CongestionTimedOut
	}
	return head.Congestion
}

// Congestion classifies calls that failed because of too much load.
type Congestion int

// Kinds of congestion.
const (
	// CongestionNone means that the call did not fail, or for another reason.
	CongestionNone Congestion = iota
	// CongestionRejected means that the call was rejected for lack of capacity.
	CongestionRejected
	// CongestionTimedOut means that the call was sent and not answered in time.
	CongestionTimedOut
)

// Load is the load of one target as observed by the daemon on its host.
type Load struct {
	Limit    int `cbor:"1,keyasint"`
	InFlight int `cbor:"2,keyasint"`
	Queued   int `cbor:"3,keyasint"`
	// Wait is the expected queueing time of another call of the same kind.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// Pressure is the fraction of the slots in use, averaged over some time; zero if it
	// is not reported.
	Pressure float64 `cbor:"5,keyasint,omitempty"`
}

// Response is one response of a target.
type Response struct {
	Head ResponseHead
	// Body ends with io.EOF only if it is complete. The receiver closes it.
	Body io.ReadCloser
}

// Forwarder forwards calls to targets.
type Forwarder interface {
	// Forward forwards one call to its target and returns the head of the
	// response with an unread body. Any error is a *Refusal. Cancelling ctx
	// cancels the call, also while the body is being read.
	Forward(ctx context.Context, call Call) (*Response, error)
}

// RemoteForwarder forwards calls to the daemons of other hosts.
type RemoteForwarder interface {
	// ForwardTo forwards one call to a host, with the contract of
	// Forwarder.Forward.
	ForwardTo(ctx context.Context, host HostID, call Call) (*Response, error)
}
