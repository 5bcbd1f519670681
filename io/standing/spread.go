package standing

import (
	"context"
	"time"

	"balsamproxy"
	core "balsamproxy/core/standing"
	"balsamproxy/io/peer"
	"balsamproxy/io/store"
)

const (
	spreadTimeout = 8 * time.Second
	spreadPause   = 200 * time.Millisecond
)

// Spread brings a document that is in the store into force on all daemons,
// and waits until it is. It returns the hosts that are not known to hold it,
// and whether it is in force all the same, since a daemon without it has no
// standing any more.
func (keeper *Keeper) Spread(ctx context.Context, name store.DocumentName, revision balsamproxy.Revision) ([]balsamproxy.HostID, bool) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	wanted := keeper.Documents.RevisionsFor(name, revision)
	acceptance := &core.Rollout{
		Wanted:   wanted,
		Hosts:    keeper.Standing.Roster().Hosts,
		StoredAt: keeper.Clock.Now(),
	}
	for {
		keeper.spreadOnce(ctx, name, acceptance)
		if acceptance.InForce(keeper.Clock.Now()) {
			return acceptance.Missing(), true
		}
		select {
		case <-ctx.Done():
			return acceptance.Missing(), false
		case <-time.After(spreadPause):
		}
	}
}

func (keeper *Keeper) spreadOnce(ctx context.Context, name store.DocumentName, acceptance *core.Rollout) {
	if !keeper.Standing.Held().Covers(acceptance.Wanted) {
		_ = keeper.Documents.Fetch(ctx)
	}
	acceptance.RecordHeld(keeper.Host, keeper.Standing.Held(), keeper.Clock.Now())
	asked := Question{Wanted: acceptance.Wanted}
	ask(ctx, keeper.Pool, keeper.Host, acceptance.Missing(), asked, func(host balsamproxy.HostID, _ time.Time, held balsamproxy.Revisions) {
		if !held.Covers(acceptance.Wanted) {
			keeper.offer(ctx, host, name)
		}
		acceptance.RecordHeld(host, held, keeper.Clock.Now())
	})
}

// offer gives a document to a host that cannot read the store itself.
func (keeper *Keeper) offer(ctx context.Context, host balsamproxy.HostID, name store.DocumentName) {
	entry, holds := keeper.Documents.Held(name)
	if !holds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	offered := document{Name: name, Value: entry.Value, Revision: entry.Revision}
	_, _ = peer.Ask[document, offerAnswer](ctx, keeper.Pool, host, kindOffer, offered)
}
