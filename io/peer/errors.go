package peer

import "errors"

// Errors of this package.
var (
	// ErrLinkLost says that a link ended before an answer came.
	ErrLinkLost = errors.New("peer: link lost")
	// ErrLinkOverrun says that a peer read too slowly for too long.
	ErrLinkOverrun = errors.New("peer: too much unwritten data")
	// ErrLinkProtocol says that a peer broke the protocol.
	ErrLinkProtocol = errors.New("peer: protocol violated")
	// ErrUnreachable says that a host is not known or did not answer a dial.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrQuestionRefused says that a peer could not answer a question.
	ErrQuestionRefused = errors.New("peer: question refused")
)
