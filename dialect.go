package balsamproxy

import (
	"net/http"
	"time"
)

// CallerHead is the request metadata in the header that a caller sent.
type CallerHead struct {
	// RequestID is the id that the caller assigned to this attempt; may be empty.
	RequestID RequestID
	// Timeout is how long the caller waits; zero if unspecified.
	Timeout time.Duration
	// Secret is the key that the caller presented; may be empty.
	Secret string
}

// TargetHead is the request metadata in the header sent to a target.
type TargetHead struct {
	RequestID RequestID
	// Timeout is the time remaining for the request.
	Timeout time.Duration
	// Target is the only target that may run the request.
	Target TargetID
	// Account is the client account of the request, if any.
	Account ClientAccountID
	// Caller is the service on whose host the request originated.
	Caller ServiceID
}

// ResponseMetadata is the metadata in the header of a target's response.
type ResponseMetadata struct {
	// RequestID is the id of the request that this responds to.
	RequestID RequestID
	// NotRun reports whether the target did not run the request.
	NotRun bool
	// ImpliesNotRun reports whether callers take the status as a guarantee
	// that the request has not run.
	ImpliesNotRun bool
	// AddressReassigned reports whether the address now belongs to another
	// target.
	AddressReassigned bool
	// IdleTimeout is how long the target keeps an idle connection open; zero
	// if unspecified.
	IdleTimeout time.Duration
}

// Dialect maps between call metadata and the HTTP header fields and statuses
// that callers and targets use.
type Dialect interface {
	// ExtractCallerHead parses a caller's header and removes the fields that
	// are meant for the daemon only.
	ExtractCallerHead(header http.Header) (CallerHead, error)
	// SetTargetHead replaces all metadata fields for the target in a header.
	SetTargetHead(header http.Header, head TargetHead)
	// ParseResponseMetadata parses the status and the header of a target's
	// response.
	ParseResponseMetadata(status int, header http.Header) ResponseMetadata
	// RemoveResponseID removes the request id from the header of a response.
	RemoveResponseID(header http.Header)
	// RestoreResponseID restores the request id in the header of a response.
	RestoreResponseID(header http.Header, request RequestID)
	// WriteRefusal adds the header fields that describe a refusal to the caller
	// and returns the status.
	WriteRefusal(header http.Header, request RequestID, refusal *Refusal) int
}
