package mesh

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy/core/announced"
	"balsamproxy/task"
)

const (
	// acknowledgeTimeout bounds the wait for the store or a peer before an announcement is
	// acknowledged. A target waits a second for that.
	acknowledgeTimeout = 700 * time.Millisecond
	// depositDelay is how long the store may take to write a record before peers are asked
	// to keep it.
	depositDelay = 150 * time.Millisecond
	// depositRetryInterval is the time between two attempts to deposit a record that no
	// peer keeps yet, and depositInterval that to renew the deposit, since peers restart.
	depositRetryInterval = 300 * time.Millisecond
	depositInterval      = 5 * time.Second
)

// recordTimeouts bound the attempts to write the record, in turn: a short one ends soon
// if the store does not answer, a long one suffices for a slow store.
var recordTimeouts = []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second}

// recorder keeps the announcements of the targets of this host where the next run of this
// daemon finds them: in the store, and with the peers for as long as the store does not
// take them.
type recorder struct {
	// write writes the present records to the store, deposit asks the peers to keep them
	// and returns how many do, and release tells the peers that the store has them.
	write   func(ctx context.Context) error
	deposit func(ctx context.Context) int
	release func(ctx context.Context)
	log     zerolog.Logger

	mutex sync.Mutex
	// latest is the number of changes, recorded and deposited are how many of them the
	// store and the peers have.
	latest, recorded, deposited int
	// atPeers is set if peers may keep a record, and stale if a new peer keeps none.
	atPeers, stale bool
	// changed is closed at the next change of these numbers.
	changed chan struct{}
}

// mark counts a change of the records and returns its number.
func (recorder *recorder) mark() int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.latest++
	recorder.notifyLocked()
	return recorder.latest
}

func (recorder *recorder) notifyLocked() {
	if recorder.changed != nil {
		close(recorder.changed)
		recorder.changed = nil
	}
}

// changeLocked returns a channel that is closed at the next change.
func (recorder *recorder) changeLocked() <-chan struct{} {
	if recorder.changed == nil {
		recorder.changed = make(chan struct{})
	}
	return recorder.changed
}

// noteKept records that peers keep a record of this host.
func (recorder *recorder) noteKept() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.atPeers = true
}

// renewDeposit has a deposit made again because another peer has become linked.
func (recorder *recorder) renewDeposit() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.recorded < recorder.latest {
		recorder.stale = true
		recorder.notifyLocked()
	}
}

// settled reports whether the store or a peer has a change.
func (recorder *recorder) settled(change int) (bool, <-chan struct{}) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return max(recorder.recorded, recorder.deposited) >= change, recorder.changeLocked()
}

// pending returns the latest change, and whether the store lacks it.
func (recorder *recorder) pending() (int, bool, <-chan struct{}) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.latest, recorder.recorded < recorder.latest, recorder.changeLocked()
}

// wait waits until the store or a peer has a change, or ctx ends, and reports whether one
// has it.
func (recorder *recorder) wait(ctx context.Context, change int) bool {
	for {
		settled, changed := recorder.settled(change)
		if settled {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// waitLatest is like wait for all changes until now.
func (recorder *recorder) waitLatest(ctx context.Context) bool {
	latest, _, _ := recorder.pending()
	return recorder.wait(ctx, latest)
}

// run writes each change to the store, and tries until the store takes it or ctx ends.
func (recorder *recorder) run(ctx context.Context) error {
	failures := 0
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		change, pending, changed := recorder.pending()
		if !pending {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := recorder.attempt(ctx, failures); err != nil {
			if failures == 0 {
				recorder.log.Warn().Str("event", "targets-not-recorded").Err(err).Send()
			}
			failures++
			task.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		if failures > 0 {
			recorder.log.Info().Str("event", "targets-recorded-late").Int("attempts", failures+1).Send()
		}
		failures, backoff = 0, minStoreBackoff
		if recorder.finish(change) {
			recorder.release(ctx)
		}
	}
	return ctx.Err()
}

func (recorder *recorder) attempt(ctx context.Context, failures int) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeouts[failures%len(recordTimeouts)])
	defer cancel()
	return recorder.write(ctx)
}

// finish records that the store has a change, and reports whether the peers can forget
// the records that they keep.
func (recorder *recorder) finish(change int) bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.recorded = change
	recorder.notifyLocked()
	if !recorder.atPeers || change < recorder.latest {
		return false
	}
	recorder.atPeers = false
	return true
}

// runDeposits deposits changes that the store does not take until ctx ends.
func (recorder *recorder) runDeposits(ctx context.Context) error {
	for ctx.Err() == nil {
		_, pending, changed := recorder.pending()
		if !pending {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if !task.Sleep(ctx, depositDelay) {
			break
		}
		change, pending := recorder.beginDeposit()
		if !pending {
			continue
		}
		kept := recorder.deposit(ctx)
		recorder.noteDeposit(change, kept)
		recorder.pauseDeposits(ctx, kept > 0)
	}
	return ctx.Err()
}

// beginDeposit returns the latest change, and whether the store lacks it.
func (recorder *recorder) beginDeposit() (int, bool) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.stale = false
	return recorder.latest, recorder.recorded < recorder.latest
}

func (recorder *recorder) noteDeposit(change, kept int) {
	if kept == 0 {
		return
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if change > recorder.deposited {
		recorder.log.Info().Str("event", "targets-deposited").Int("peers", kept).Send()
	}
	recorder.atPeers = true
	recorder.deposited = max(recorder.deposited, change)
	recorder.notifyLocked()
}

// pauseDeposits waits until the records change or a deposit has to be renewed.
func (recorder *recorder) pauseDeposits(ctx context.Context, deposited bool) {
	interval := depositRetryInterval
	if deposited {
		interval = depositInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	latest, _, _ := recorder.pending()
	for {
		current, pending, changed := recorder.pending()
		if current != latest || !pending || recorder.isStale() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

func (recorder *recorder) isStale() bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.stale
}

// recordTargets has the announcements of the targets of this host recorded before they
// are acknowledged. If neither the store nor a peer answers in time, they are acknowledged
// all the same, and bind this run of the daemon.
func (daemon *Daemon) recordTargets() {
	change := daemon.recorder.mark()
	ctx, cancel := context.WithTimeout(context.Background(), acknowledgeTimeout)
	defer cancel()
	if !daemon.recorder.wait(ctx, change) {
		daemon.log.Warn().Str("event", "targets-acknowledged-unrecorded").Send()
	}
}

// writeTargets writes the record of the targets to the store.
func (daemon *Daemon) writeTargets(ctx context.Context) error {
	return daemon.registry.RecordTargets(ctx, daemon.encodeTargets)
}

func (daemon *Daemon) encodeTargets() ([]byte, error) { return encodeRecords(daemon.local.Records()) }

func encodeRecords(records []announced.Record) ([]byte, error) { return json.Marshal(records) }

// decodeTargets returns the valid records in data.
func (daemon *Daemon) decodeTargets(data []byte) []announced.Record {
	records, err := announced.ParseRecords(data, daemon.clock.Now())
	if err != nil {
		daemon.log.Error().Str("event", "record-invalid").Str("record", "targets").Err(err).Send()
	}
	return records
}
