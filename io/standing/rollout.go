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
func (monitor *Monitor) Spread(ctx context.Context, name store.DocumentName, revision balsamproxy.Revision) ([]balsamproxy.HostID, bool) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	wanted := monitor.Documents.RevisionsFor(name, revision)
	rollout := &core.Rollout{
		Wanted:   wanted,
		Hosts:    monitor.Standing.Roster().Hosts,
		StoredAt: monitor.Clock.Now(),
	}
	for {
		monitor.rolloutStep(ctx, name, rollout)
		if rollout.InForce(monitor.Clock.Now()) {
			return rollout.Missing(), true
		}
		select {
		case <-ctx.Done():
			return rollout.Missing(), false
		case <-time.After(rolloutRetryInterval):
		}
	}
}

func (monitor *Monitor) rolloutStep(ctx context.Context, name store.DocumentName, rollout *core.Rollout) {
	if !monitor.Standing.Held().Covers(rollout.Wanted) {
		_ = monitor.Documents.Fetch(ctx)
	}
	rollout.RecordHeld(monitor.Host, monitor.Standing.Held(), monitor.Clock.Now())
	asked := Question{Wanted: rollout.Wanted}
	askHosts(ctx, monitor.Pool, monitor.Host, rollout.Missing(), asked, func(host balsamproxy.HostID, _ time.Time, held balsamproxy.Revisions) {
		if !held.Covers(rollout.Wanted) {
			monitor.offer(ctx, host, name)
		}
		rollout.RecordHeld(host, held, monitor.Clock.Now())
	})
}

// offer sends a document to a host that cannot read the store itself.
func (monitor *Monitor) offer(ctx context.Context, host balsamproxy.HostID, name store.DocumentName) {
	entry, holds := monitor.Documents.Held(name)
	if !holds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	offered := document{Name: name, Value: entry.Value, Revision: entry.Revision}
	_, _ = peer.Ask[document, offerAnswer](ctx, monitor.Pool, host, kindOffer, offered)
}
