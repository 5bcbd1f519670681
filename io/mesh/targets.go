package mesh

import (
	"context"
	"encoding/json"

	"balsamproxy/core/announced"
	"balsamproxy/task"
)

// recordTargets stores the announcements of the targets of this host. They are
// acknowledged afterwards, or without a record if the store does not answer in
// time.
func (daemon *Daemon) recordTargets(records func() []announced.Record) {
	daemon.writeTargets(context.Background(), records)
}

// writeTargets writes the record of the targets and reports whether that succeeded.
func (daemon *Daemon) writeTargets(ctx context.Context, records func() []announced.Record) bool {
	err := daemon.registry.RecordTargets(ctx, func() ([]byte, error) { return json.Marshal(records()) })
	if err != nil {
		daemon.log.Warn().Str("event", "targets-not-recorded").Err(err).Send()
	}
	return err == nil
}

// recordTargetsAgain writes the state of the targets of this host after each rise of the
// era, since the store has lost what it acknowledged to them, until ctx ends.
func (daemon *Daemon) recordTargetsAgain(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-daemon.eraRaised:
		}
		backoff := minStoreBackoff
		for ctx.Err() == nil {
			if len(daemon.local.Records()) == 0 || daemon.writeTargets(ctx, daemon.local.Records) {
				break
			}
			task.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
}
