// Package standing keeps a daemon's standing by asking the store and, while
// that is silent, the peers; it brings documents into force on all daemons
// and keeps the roster.
package standing

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
	core "balsamproxy/core/standing"
	"balsamproxy/io/peer"
	"balsamproxy/io/store"
	"balsamproxy/task"
)

const (
	// readInterval is the time between two reads of the store. Two reads may
	// be lost within the validity of one.
	readInterval = 800 * time.Millisecond
	// silence is how long the store may not answer before peers are asked.
	maxStoreSilence = 1500 * time.Millisecond
	// askTimeout bounds one question to a peer.
	askTimeout = 700 * time.Millisecond
)

// Keeper keeps one daemon's standing. Its fields must be set.
type Keeper struct {
	Host      balsamproxy.HostID
	Standing  *core.Standing
	Documents *store.Documents
	Pool      *peer.Pool
	Clock     balsamproxy.Clock
	Log       zerolog.Logger

	basis core.Basis
}

// Run keeps the standing until ctx ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		reading := task.Start(ctx, keeper.readStore)
		if keeper.Standing.SinceStoreRead(keeper.Clock.Now()) > maxStoreSilence {
			keeper.askPeers(ctx)
		}
		select {
		case <-ctx.Done():
			<-reading //nolint:errcheck // the store's silence is measured
			return ctx.Err()
		case <-reading: //nolint:errcheck // the store's silence is measured
		}
		keeper.logBasisChange()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readStore reads the revisions, and the documents if some are later.
func (keeper *Keeper) readStore(ctx context.Context) error {
	sentAt := keeper.Clock.Now()
	snapshot, err := keeper.Documents.Store.Revisions(ctx, keeper.Documents.Prefix)
	if err != nil {
		return err
	}
	keeper.Standing.RecordStoreRead(sentAt, keeper.Documents.SnapshotRevisions(snapshot))
	if keeper.Standing.Behind() {
		return keeper.Documents.Fetch(ctx)
	}
	return nil
}

// note logs a change of what the standing rests on.
func (keeper *Keeper) logBasisChange() {
	basis := keeper.Standing.Basis(keeper.Clock.Now())
	if basis != keeper.basis {
		keeper.Log.Info().Str("basis", string(basis)).Msg("standing changed")
		keeper.basis = basis
	}
}

// askPeers asks all hosts of the roster at once what they hold.
func (keeper *Keeper) askPeers(ctx context.Context) {
	asked := Question{Wanted: keeper.Standing.Held()}
	askHosts(ctx, keeper.Pool, keeper.Host, keeper.Standing.Roster().Hosts, asked, func(host balsamproxy.HostID, sentAt time.Time, held balsamproxy.Revisions) {
		keeper.Standing.RecordPeerRevisions(sentAt, host, held)
		if keeper.Standing.Behind() {
			keeper.fetchFrom(ctx, host)
		}
	})
}

// fetchFrom takes the documents that a peer holds and this daemon does not.
func (keeper *Keeper) fetchFrom(ctx context.Context, host balsamproxy.HostID) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	held := keeper.Standing.Held()
	answer, err := peer.Ask[fetchQuestion, fetchAnswer](ctx, keeper.Pool, host, kindFetch, fetchQuestion{Held: held})
	if err != nil {
		return
	}
	for _, document := range answer.Documents {
		keeper.Documents.Update(balsamproxy.StoreEntry{
			Key:      keeper.Documents.Key(document.Name),
			Value:    document.Value,
			Revision: document.Revision,
		})
	}
}
