package balsamproxy

import (
	"net/http"
	"time"
)

// CallerHead is what the header of a request says of the request itself.
type CallerHead struct {
	// RequestID is the id that the caller gave this attempt; it may be empty.
	RequestID RequestID
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// Secret is the key that the caller shows; it may be empty.
	Secret string
}

// TargetHead is what a target is told of a request.
type TargetHead struct {
	RequestID RequestID
	// Timeout is what is left of the time for the request.
	Timeout time.Duration
	// Target is the only target that may run the request.
	Target TargetID
	// Account is the client account that the request runs for, if any.
	Account ClientAccountID
	// Caller is the service on whose host the request began.
	Caller ServiceID
}

// AnswerMark is what the header of a target's answer says of the answer.
type AnswerMark struct {
	// RequestID is the id of the request that was answered.
	RequestID RequestID
	// NotRun says that the target did not run the request.
	NotRun bool
	// Promise says that callers take the status for a promise that the
	// request has not run.
	Promise bool
	// Moved says that another target has the address now.
	Moved bool
	// IdleTimeout is how long the target keeps the connection; zero if it
	// does not say.
	IdleTimeout time.Duration
}

// Dialect reads and writes the header fields and statuses that callers and
// targets use.
type Dialect interface {
	// TakeCallerHead reads a caller's header and removes what only concerns
	// the daemon.
	TakeCallerHead(header http.Header) (CallerHead, error)
	// PutTargetHead replaces all that a header says to a target.
	PutTargetHead(header http.Header, head TargetHead)
	// ReadAnswerMark reads the header of a target's answer.
	ReadAnswerMark(status int, header http.Header) AnswerMark
	// TakeAnswerID removes the id of the request from the header of an
	// answer, and PutAnswerID puts it back.
	TakeAnswerID(header http.Header)
	PutAnswerID(header http.Header, request RequestID)
	// PutRefusal adds what a caller is told of a refusal and returns the
	// status.
	PutRefusal(header http.Header, request RequestID, refusal *Refusal) int
}
