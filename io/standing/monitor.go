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

// Monitor maintains a daemon's standing. Its exported fields must be set before
// use.
type Monitor struct {
	Host      balsamproxy.HostID
	Standing  *core.Standing
	Documents *store.Documents
	Pool      *peer.Pool
	Clock     balsamproxy.Clock
	Log       zerolog.Logger

	basis core.Basis
}

// Run maintains the standing until ctx is done.
func (monitor *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		reading := task.Start(ctx, monitor.readStore)
		if monitor.Standing.SinceStoreRead(monitor.Clock.Now()) > maxStoreSilence {
			monitor.askPeers(ctx)
		}
		select {
		case <-ctx.Done():
			<-reading //nolint:errcheck // SinceStoreRead tells whether reads fail
			return ctx.Err()
		case <-reading: //nolint:errcheck // SinceStoreRead tells whether reads fail
		}
		monitor.logBasisChange()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readStore reads the revisions, and the documents if a later revision exists.
func (monitor *Monitor) readStore(ctx context.Context) error {
	sentAt := monitor.Clock.Now()
	snapshot, err := monitor.Documents.Store.Revisions(ctx, monitor.Documents.Prefix)
	if err != nil {
		return err
	}
	monitor.Standing.RecordStoreRead(sentAt, monitor.Documents.SnapshotRevisions(snapshot))
	if monitor.Standing.Behind() {
		return monitor.Documents.Fetch(ctx)
	}
	return nil
}

// logBasisChange logs a change of the source that confirms the standing.
func (monitor *Monitor) logBasisChange() {
	basis := monitor.Standing.Basis(monitor.Clock.Now())
	if basis != monitor.basis {
		monitor.Log.Info().Str("basis", string(basis)).Msg("standing changed")
		monitor.basis = basis
	}
}

// askPeers asks all hosts of the roster concurrently for the revisions that
// they hold.
func (monitor *Monitor) askPeers(ctx context.Context) {
	asked := Question{Wanted: monitor.Standing.Held()}
	askHosts(ctx, monitor.Pool, monitor.Host, monitor.Standing.Roster().Hosts, asked, func(host balsamproxy.HostID, sentAt time.Time, held balsamproxy.Revisions) {
		monitor.Standing.RecordPeerRevisions(sentAt, host, held)
		if monitor.Standing.Behind() {
			monitor.fetchFrom(ctx, host)
		}
	})
}

// fetchFrom fetches the documents of which a peer holds a later revision than
// this daemon.
func (monitor *Monitor) fetchFrom(ctx context.Context, host balsamproxy.HostID) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	held := monitor.Standing.Held()
	answer, err := peer.Ask[fetchQuestion, fetchAnswer](ctx, monitor.Pool, host, kindFetch, fetchQuestion{Held: held})
	if err != nil {
		return
	}
	for _, document := range answer.Documents {
		monitor.Documents.Update(balsamproxy.StoreEntry{
			Key:      monitor.Documents.Key(document.Name),
			Value:    document.Value,
			Revision: document.Revision,
		})
	}
}
