package mesh

import (
	"context"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/io/peer"
)

const kindPromise peer.Kind = "tenure-promise"

// promiseRequest asks the backup of a group for a promise not to take over its
// tenure.
type promiseRequest struct {
	Group allowance.Group `cbor:"1,keyasint"`
}

type promiseResponse struct {
	Promised bool `cbor:"1,keyasint"`
}

// servePromises answers the holders of tenures for which this daemon is the
// backup.
func (daemon *Daemon) servePromises(server *peer.Server) {
	peer.Handle(server, kindPromise, func(_ context.Context, _ balsamproxy.HostID, request promiseRequest) (promiseResponse, error) {
		return promiseResponse{Promised: daemon.registry.Promise(request.Group)}, nil
	})
}

// askPromise reports whether a backup gave the promise.
func (daemon *Daemon) askPromise(ctx context.Context, host balsamproxy.HostID, group allowance.Group) bool {
	answer, err := peer.Ask[promiseRequest, promiseResponse](ctx, daemon.pool, host, kindPromise, promiseRequest{Group: group})
	if err != nil {
		daemon.log.Debug().Str("event", "promise-not-given").Str("peer", string(host)).Err(err).Send()
		return false
	}
	return answer.Promised
}
