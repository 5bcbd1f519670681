package mesh

import (
	"context"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/io/peer"
)

const kindPromise peer.Kind = "tenure-promise"

// promiseQuestion asks a backup to leave the tenure of a group alone.
type promiseQuestion struct {
	Group allowance.Group `cbor:"1,keyasint"`
}

type promiseAnswer struct {
	Promised bool `cbor:"1,keyasint"`
}

// servePromises answers holders of tenures whose backup this daemon is.
func (daemon *Daemon) servePromises(server *peer.Server) {
	peer.Handle(server, kindPromise, func(_ context.Context, _ balsamproxy.HostID, question promiseQuestion) (promiseAnswer, error) {
		return promiseAnswer{Promised: daemon.registry.Promise(question.Group)}, nil
	})
}

// askPromise asks a backup.
func (daemon *Daemon) askPromise(ctx context.Context, host balsamproxy.HostID, group allowance.Group) bool {
	answer, err := peer.Ask[promiseQuestion, promiseAnswer](ctx, daemon.pool, host, kindPromise, promiseQuestion{Group: group})
	if err != nil {
		daemon.log.Debug().Str("event", "promise-not-given").Str("peer", string(host)).Err(err).Send()
		return false
	}
	return answer.Promised
}
