package registry

import (
	"context"
	"errors"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
	"balsamproxy/task"
)

// RunLeases maintains the tenures until ctx is done.
func (registry *Registry) RunLeases(ctx context.Context) error {
	pause := idleStepInterval
	for task.Sleep(ctx, pause) {
		if !registry.holdsTenure() {
			pause = idleStepInterval
			continue
		}
		pause = stepInterval
		registry.renewTenures(ctx)
		registry.askPromises(ctx)
		registry.dropExpired()
	}
	return ctx.Err()
}

// keepHostLease obtains the lease of the host, or renews it when that is due.
func (registry *Registry) keepHostLease(ctx context.Context) error {
	start := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, renewedAt, leaving := registry.hostLease, registry.hostRenewedAt, registry.leaving
	begun := registry.era.current
	registry.mutex.Unlock()
	switch {
	case leaving:
		return nil
	case lease == 0:
		return registry.grantHostLease(ctx, begun, start)
	case start.Sub(renewedAt) >= hostRenewInterval:
		return registry.renewHost(ctx, begun, lease, start)
	}
	return nil
}

// renewTenures renews the lease of the tenures when that is due.
func (registry *Registry) renewTenures(ctx context.Context) {
	start := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, holds, begun := registry.lease, len(registry.held) > 0, registry.era.current
	due := start.Sub(registry.renewedAt) >= renewInterval && start.Sub(registry.lastRenewalAttempt) >= minRenewInterval
	if holds && lease != 0 && due {
		registry.lastRenewalAttempt = start
	}
	registry.mutex.Unlock()
	if !holds || lease == 0 || !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := registry.Store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		registry.recordStoreResult(nil)
		registry.recordRenewal(begun, lease, start)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.recordStoreResult(nil)
		registry.loseTenures(begun, err)
	default:
		registry.recordStoreResult(err)
	}
}

// recordRenewal records a renewal, unless the lease has been replaced since.
func (registry *Registry) recordRenewal(begun balsamproxy.StoreEra, lease balsamproxy.LeaseID, start balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.lease == lease && registry.era.same(begun) {
		registry.renewedAt = start
	}
}

func (registry *Registry) grantHostLease(ctx context.Context, begun balsamproxy.StoreEra, start balsamproxy.BootTime) error {
	granted, err := registry.Store.Grant(ctx, hostLeaseTTL)
	if err != nil {
		return err
	}
	return registry.setHostLease(begun, granted, start)
}

func (registry *Registry) renewHost(ctx context.Context, begun balsamproxy.StoreEra, lease balsamproxy.LeaseID, start balsamproxy.BootTime) error {
	err := registry.Store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		return registry.setHostLease(begun, lease, start)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.loseHostLease(begun, err)
		return nil
	}
	return err
}

func (registry *Registry) setHostLease(begun balsamproxy.StoreEra, lease balsamproxy.LeaseID, start balsamproxy.BootTime) error {
	return registry.inEra(begun, func() {
		registry.hostLease = lease
		registry.hostRenewedAt = start
	})
}

// loseHostLease drops the lease of the host, unless the era in which it was found to have
// ended is over.
func (registry *Registry) loseHostLease(begun balsamproxy.StoreEra, cause error) {
	err := registry.inEra(begun, func() {
		registry.hostLease = 0
		registry.published = 0
	})
	if err == nil {
		registry.Log.Warn().Str("event", "lease-lost").Str("lease", "host").Err(cause).Send()
	}
}

// loseTenures drops all tenures whose lease has ended, unless the era in which that was
// found is over.
func (registry *Registry) loseTenures(begun balsamproxy.StoreEra, cause error) {
	registry.mutex.Lock()
	if !registry.era.same(begun) {
		registry.mutex.Unlock()
		return
	}
	registry.lease = 0
	now := registry.Clock.Boot()
	for group := range registry.held {
		delete(registry.tenures, group)
		registry.markFreeLocked(group, now)
	}
	registry.held = nil
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "lease-lost").Str("lease", "tenures").Err(cause).Send()
	registry.HomesChanged()
}

// ensureTenureLease returns a lease for tenures, and obtains a new one if the
// current lease may be about to expire.
func (registry *Registry) ensureTenureLease(ctx context.Context) (balsamproxy.LeaseID, error) {
	start := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, renewedAt, holds := registry.lease, registry.renewedAt, len(registry.held) > 0
	begun := registry.era.current
	registry.mutex.Unlock()
	if lease != 0 && (holds || start.Sub(renewedAt) < renewInterval) {
		return lease, nil
	}
	granted, err := registry.Store.Grant(ctx, tenureLeaseTTL)
	if err != nil {
		return 0, err
	}
	err = registry.inEra(begun, func() {
		registry.lease = granted
		registry.renewedAt = start
	})
	return granted, err
}

// dropExpired drops the tenures once another daemon may have acquired them, so
// that other daemons are told.
func (registry *Registry) dropExpired() {
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	expired, begun := len(registry.held) > 0 && !registry.leaseValidLocked(now), registry.era.current
	for group := range registry.held {
		expired = expired && !registry.promiseValidLocked(group, now)
	}
	registry.mutex.Unlock()
	if expired {
		registry.loseTenures(begun, errLeaseExpired)
	}
}

// leaseValidLocked reports whether the store must still have the tenures at an
// instant.
func (registry *Registry) leaseValidLocked(now balsamproxy.BootTime) bool {
	return now.Sub(registry.renewedAt) < tenureLeaseTTL-leaseMargin
}

// promiseValidLocked reports whether no other daemon can have acquired a
// tenure although its lease may have expired: the backup has promised not to
// acquire it, and other daemons wait longer.
func (registry *Registry) promiseValidLocked(group allowance.Group, now balsamproxy.BootTime) bool {
	return now < registry.terms[group].promisedUntil &&
		now.Sub(registry.renewedAt) < tenureLeaseTTL+homes.NonBackupDelay-leaseMargin
}

var errLeaseExpired = errors.New("registry: the lease could not be renewed in time")
