// Package standing maintains a daemon's standing by polling the store and,
// while the store does not respond, the peers. It also rolls out shared
// documents to all daemons and maintains the roster.
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
	// readInterval is the time between two reads of the store. It is short
	// enough that standing lasts when two reads in a row fail.
	readInterval = 800 * time.Millisecond
	// maxStoreSilence is how long the store may fail to respond before peers
	// are asked.
	maxStoreSilence = 1500 * time.Millisecond
	// askTimeout bounds one request to a peer.
	askTimeout = 700 * time.Millisecond
)

// Keeper maintains a daemon's standing. Its exported fields must be set before
// use.
type Keeper struct {
	Host      balsamproxy.HostID
	Standing  *core.Standing
	Documents *store.Documents
	Pool      *peer.Pool
	Clock     balsamproxy.Clock
	Log       zerolog.Logger

	basis core.Basis
}

// Run maintains the standing until ctx is done.
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
			<-reading //nolint:errcheck // SinceStoreRead tells whether reads fail
			return ctx.Err()
		case <-reading: //nolint:errcheck // SinceStoreRead tells whether reads fail
		}
		keeper.logBasisChange()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readStore reads the revisions, and the documents if a later revision exists.
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

// logBasisChange logs a change of the source that confirms the standing.
func (keeper *Keeper) logBasisChange() {
	basis := keeper.Standing.Basis(keeper.Clock.Now())
	if basis != keeper.basis {
		keeper.Log.Info().Str("basis", string(basis)).Msg("standing changed")
		keeper.basis = basis
	}
}

// askPeers asks all hosts of the roster concurrently for the revisions that
// they hold.
func (keeper *Keeper) askPeers(ctx context.Context) {
	asked := Question{Wanted: keeper.Standing.Held()}
	askHosts(ctx, keeper.Pool, keeper.Host, keeper.Standing.Roster().Hosts, asked, func(host balsamproxy.HostID, sentAt time.Time, held balsamproxy.Revisions) {
		keeper.Standing.RecordPeerRevisions(sentAt, host, held)
		if keeper.Standing.Behind() {
			keeper.fetchFrom(ctx, host)
		}
	})
}

// fetchFrom fetches the documents of which a peer holds a later revision than
// this daemon.
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
