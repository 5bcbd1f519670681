package fleet

import (
	"context"
	"time"

	"balsamproxy"
	"balsamproxy/core/retry"
	"balsamproxy/io/peer"
)

// permitTimeout bounds the wait for the response of the root host.
const permitTimeout = 250 * time.Millisecond

const kindPermit peer.Kind = "retry-permit"

type permitQuestion struct {
	Request balsamproxy.RequestID `cbor:"1,keyasint"`
}

type permitAnswer struct {
	Granted bool `cbor:"1,keyasint"`
}

// RootPermits takes retry permits from the root of a request, the host on which the
// request originated. Local is the limiter of requests whose root is this host.
type RootPermits struct {
	Host  balsamproxy.HostID
	Local *retry.Limiter
	Pool  *peer.Pool
}

// Serve registers the handler with which other hosts take permits for requests
// whose root is this host.
func (permits *RootPermits) Serve(server *peer.Server) {
	peer.Handle(server, kindPermit, func(_ context.Context, _ balsamproxy.HostID, question permitQuestion) (permitAnswer, error) {
		return permitAnswer{Granted: permits.Local.Take(question.Request)}, nil
	})
}

// Take asks the root of a request for permission to make one more attempt. It
// returns false if the root does not respond within permitTimeout.
func (permits *RootPermits) Take(ctx context.Context, root balsamproxy.HostID, request balsamproxy.RequestID) bool {
	if root == permits.Host {
		return permits.Local.Take(request)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	answer, err := peer.Ask[permitQuestion, permitAnswer](ctx, permits.Pool, root, kindPermit, permitQuestion{Request: request})
	return err == nil && answer.Granted
}
