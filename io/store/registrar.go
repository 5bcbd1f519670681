package store

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
)

const (
	leaseTTL           = 10 * time.Second
	renewInterval      = 3 * time.Second
	minPublishInterval = 50 * time.Millisecond
	revokeTimeout      = 2 * time.Second
)

// Registrar publishes a daemon's record under a lease. Its exported fields
// must be set before use.
type Registrar struct {
	Store balsamproxy.Store
	Key   balsamproxy.StoreKey
	Log   zerolog.Logger
	// Record returns the current record.
	Record func() balsamproxy.Member

	once     sync.Once
	changed  chan struct{}
	lease    balsamproxy.LeaseID
	revision balsamproxy.Revision
	stale    bool
}

func (registrar *Registrar) changes() chan struct{} {
	registrar.once.Do(func() { registrar.changed = make(chan struct{}, 1) })
	return registrar.changed
}

// Publish requests that the record be published again. It does not block.
func (registrar *Registrar) Publish() {
	select {
	case registrar.changes() <- struct{}{}:
	default:
	}
}

// Run keeps the record published until ctx is done, then revokes the lease.
func (registrar *Registrar) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	registrar.stale = true
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := registrar.step(ctx); err != nil {
			backoff = sleepBackoff(ctx, backoff)
			continue
		}
		backoff = minBackoff
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-registrar.changes():
			registrar.stale = true
			sleepBackoff(ctx, minPublishInterval)
		}
	}
	registrar.revoke(context.WithoutCancel(ctx))
	return ctx.Err()
}

// step renews the lease or obtains a new one, and publishes the record if it
// is stale.
func (registrar *Registrar) step(ctx context.Context) error {
	if err := registrar.ensureLease(ctx); err != nil {
		return err
	}
	if !registrar.stale {
		return nil
	}
	return registrar.publish(ctx)
}

func (registrar *Registrar) ensureLease(ctx context.Context) error {
	if registrar.lease != 0 {
		err := registrar.Store.KeepAlive(ctx, registrar.lease)
		if !errors.Is(err, balsamproxy.ErrStoreLeaseLost) {
			return err
		}
		registrar.Log.Warn().Msg("lease lapsed")
		registrar.lease = 0
	}
	lease, err := registrar.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	registrar.lease = lease
	registrar.stale = true
	return nil
}

func (registrar *Registrar) publish(ctx context.Context) error {
	value, err := json.Marshal(registrar.Record())
	if err != nil {
		return err
	}
	swap := balsamproxy.StoreSwap{Key: registrar.Key, Value: value, Expected: registrar.revision, Lease: registrar.lease}
	revision, err := registrar.Store.Swap(ctx, swap)
	if err != nil {
		return registrar.refreshRevision(ctx, err)
	}
	registrar.revision = revision
	registrar.stale = false
	registrar.Log.Info().Int64("revision", int64(revision)).Msg("record published")
	return nil
}

// refreshRevision reads the current revision of the record, so that the next
// swap replaces it. Only the daemon of this host writes the key, so the record
// was written by this run or an earlier one.
func (registrar *Registrar) refreshRevision(ctx context.Context, cause error) error {
	if errors.Is(cause, balsamproxy.ErrStoreLeaseLost) {
		registrar.lease = 0
		return cause
	}
	entry, err := registrar.Store.Get(ctx, registrar.Key)
	if err != nil && !isNotFound(err) {
		return err
	}
	registrar.revision = entry.Revision
	return cause
}

func (registrar *Registrar) revoke(ctx context.Context) {
	if registrar.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := registrar.Store.Revoke(ctx, registrar.lease); err != nil {
		registrar.Log.Warn().Err(err).Msg("cannot revoke lease; it will expire")
	}
}
