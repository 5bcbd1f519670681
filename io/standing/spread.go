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
	rolloutTimeout       = 8 * time.Second
	rolloutRetryInterval = 200 * time.Millisecond
)

// Spread rolls out a stored document to all daemons and waits until it is in
// force. It returns the hosts that are not known to hold it and whether it is
// in force. It can be in force although hosts are missing, since a daemon that
// does not hold it loses its standing.
func (keeper *Keeper) Spread(ctx context.Context, name store.DocumentName, revision balsamproxy.Revision) ([]balsamproxy.HostID, bool) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	wanted := keeper.Documents.RevisionsFor(name, revision)
	rollout := &core.Rollout{
		Wanted:   wanted,
		Hosts:    keeper.Standing.Roster().Hosts,
		StoredAt: keeper.Clock.Now(),
	}
	for {
		keeper.rolloutStep(ctx, name, rollout)
		if rollout.InForce(keeper.Clock.Now()) {
			return rollout.Missing(), true
		}
		select {
		case <-ctx.Done():
			return rollout.Missing(), false
		case <-time.After(rolloutRetryInterval):
		}
	}
}

func (keeper *Keeper) rolloutStep(ctx context.Context, name store.DocumentName, rollout *core.Rollout) {
	if !keeper.Standing.Held().Covers(rollout.Wanted) {
		_ = keeper.Documents.Fetch(ctx)
	}
	rollout.RecordHeld(keeper.Host, keeper.Standing.Held(), keeper.Clock.Now())
	asked := Question{Wanted: rollout.Wanted}
	askHosts(ctx, keeper.Pool, keeper.Host, rollout.Missing(), asked, func(host balsamproxy.HostID, _ time.Time, held balsamproxy.Revisions) {
		if !held.Covers(rollout.Wanted) {
			keeper.offer(ctx, host, name)
		}
		rollout.RecordHeld(host, held, keeper.Clock.Now())
	})
}

// offer sends a document to a host that cannot read the store itself.
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
