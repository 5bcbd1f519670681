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
	// Timeout is what is left of the deadline when the head is sent. It is
	// passed on as a duration, since the clocks of two hosts differ.
	Timeout time.Duration `cbor:"10,keyasint"`
	Method  string        `cbor:"11,keyasint"`
	// Path is the request target in origin form, with its query.
	Path   string      `cbor:"12,keyasint"`
	Header http.Header `cbor:"13,keyasint"`
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64 `cbor:"14,keyasint"`
	// Background says that the call serves no customer request.
	Background bool `cbor:"15,keyasint,omitempty"`
	// Authority is the host name that the request is for.
	Authority string `cbor:"16,keyasint,omitempty"`
	// Caller is the service on whose host the request began.
	Caller ServiceID `cbor:"17,keyasint,omitempty"`
	// Nested says that the call was made by a target at work.
	Nested bool `cbor:"18,keyasint,omitempty"`
	// Returning says that the caller was refused before and came back.
	Returning bool `cbor:"19,keyasint,omitempty"`
	// Patience is the longest time to wait for the target before another one
	// should be tried.
	Patience time.Duration `cbor:"20,keyasint,omitempty"`
	// Idempotent says that the call may run more than once.
	Idempotent bool `cbor:"21,keyasint,omitempty"`
}

// Call is one call to a target.
type Call struct {
	Head CallHead
	// Body is never nil. It ends with io.EOF only if it is whole.
	Body io.Reader
}

// AnswerHead describes one answer of a target, apart from its body.
type AnswerHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	// ContentLength is the length of the body in bytes, -1 if unknown.
	ContentLength int64 `cbor:"3,keyasint"`
	// Load is the state of the target when it answered.
	Load Load `cbor:"4,keyasint"`
	// CalleeFailed says that the target failed since one of its own calls
	// did: the same request would fail at another target too.
	CalleeFailed bool `cbor:"5,keyasint,omitempty"`
}

// Load is the state of one target as the daemon beside it sees it.
type Load struct {
	Limit    int `cbor:"1,keyasint"`
	InFlight int `cbor:"2,keyasint"`
	Queued   int `cbor:"3,keyasint"`
	// Wait is how long a call of the kind that was answered would wait now.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// Answer is one answer of a target.
type Answer struct {
	Head AnswerHead
	// Body ends with io.EOF only if it is whole. The receiver closes it.
	Body io.ReadCloser
}

// Carrier brings calls to targets.
type Carrier interface {
	// Carry brings one call to its target and returns the head of the
	// answer with a body that is still to be read. An error is a *Refusal.
	// Cancelling ctx cancels the call, also while the body is read.
	Carry(ctx context.Context, call Call) (*Answer, error)
}

// RemoteCarrier brings calls to the daemon of another host.
type RemoteCarrier interface {
	// CarryTo brings one call to a host, as Carrier does.
	CarryTo(ctx context.Context, host HostID, call Call) (*Answer, error)
}
