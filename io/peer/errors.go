package peer

import "errors"

// Errors returned by this package.
var (
	// ErrLinkLost means that the link ended before the response arrived.
	ErrLinkLost = errors.New("peer: link lost")
	// ErrLinkOverrun means that the write queue of a link is full because the
	// peer reads too slowly.
	ErrLinkOverrun = errors.New("peer: too much unwritten data")
	// ErrLinkProtocol means that the peer violated the link protocol.
	ErrLinkProtocol = errors.New("peer: protocol violated")
	// ErrUnreachable means that a host is unknown or could not be dialled.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrQuestionRefused means that the peer returned an error for a question.
	ErrQuestionRefused = errors.New("peer: question refused")
)
