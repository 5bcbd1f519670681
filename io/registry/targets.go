package registry

import (
	"context"
	"errors"
	"sync"

	"balsamproxy"
)

// targetsRecord is the stored record of the targets of this host.
type targetsRecord struct {
	// mutex serializes writes.
	mutex sync.Mutex
	// era is that of the store in which the other fields were read.
	era       balsamproxy.StoreEra
	revision  balsamproxy.Revision
	lease     balsamproxy.LeaseID
	grantedAt balsamproxy.BootTime
}

// RecordTargets persists the last known state of the targets of this host.
// After a restart the daemon then knows them, and sends no work to a target
// that is leaving. It calls records when no other write is under way, so that an
// earlier state never replaces a later one. The deadline of ctx bounds the write; a slow
// store needs up to four calls.
func (registry *Registry) RecordTargets(ctx context.Context, records func() ([]byte, error)) error {
	targets := &registry.targets
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	begun := registry.currentEra()
	if targets.era != begun {
		targets.era, targets.lease, targets.revision = begun, 0, 0
	}
	if now := registry.Clock.Boot(); targets.lease == 0 || now.Sub(targets.grantedAt) >= targetsLeaseReuse {
		lease, err := registry.Store.Grant(ctx, targetsTTL)
		if err != nil {
			return err
		}
		targets.lease, targets.grantedAt = lease, now
	}
	value, err := records()
	if err != nil {
		return err
	}
	swap := balsamproxy.StoreSwap{Key: registry.targetsKey(), Value: value, Expected: targets.revision, Lease: targets.lease}
	revision, err := registry.overwrite(ctx, swap)
	if err == nil {
		err = registry.inEra(begun, func() {})
	}
	if err != nil {
		// The lease may be gone, and the write may have taken effect.
		targets.lease = 0
		return err
	}
	targets.revision = revision
	return nil
}

// Targets returns what an earlier run of this daemon persisted with
// RecordTargets, or nil if there is nothing.
func (registry *Registry) Targets(ctx context.Context) ([]byte, error) {
	if registry.FirstStart {
		return nil, nil
	}
	begun := registry.currentEra()
	entry, err := registry.Store.Get(ctx, registry.targetsKey())
	if errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return nil, nil
	}
	if err == nil {
		registry.targets.mutex.Lock()
		err = registry.inEra(begun, func() {
			registry.targets.revision, registry.targets.era = entry.Revision, registry.era.current
		})
		registry.targets.mutex.Unlock()
	}
	return entry.Value, err
}
