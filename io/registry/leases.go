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
	registry.mutex.Unlock()
	switch {
	case leaving:
		return nil
	case lease == 0:
		return registry.grantHostLease(ctx, start)
	case start.Sub(renewedAt) >= hostRenewInterval:
		return registry.renewHost(ctx, lease, start)
	}
	return nil
}

// renewTenures renews the lease of the tenures when that is due.
func (registry *Registry) renewTenures(ctx context.Context) {
	start := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, holds := registry.lease, len(registry.held) > 0
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
		registry.recordRenewal(lease, start)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.recordStoreResult(nil)
		registry.loseTenures(err)
	default:
		registry.recordStoreResult(err)
	}
}

// recordRenewal records a renewal, unless the lease has been replaced since.
func (registry *Registry) recordRenewal(lease balsamproxy.LeaseID, start balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.lease == lease {
		registry.renewedAt = start
	}
}

func (registry *Registry) grantHostLease(ctx context.Context, start balsamproxy.BootTime) error {
	granted, err := registry.Store.Grant(ctx, hostLeaseTTL)
	if err != nil {
		return err
	}
	registry.setHostLease(granted, start)
	return nil
}

func (registry *Registry) renewHost(ctx context.Context, lease balsamproxy.LeaseID, start balsamproxy.BootTime) error {
	err := registry.Store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		registry.setHostLease(lease, start)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.loseHostLease(err)
		return nil
	}
	return err
}

func (registry *Registry) setHostLease(lease balsamproxy.LeaseID, start balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.hostLease = lease
	registry.hostRenewedAt = start
}

func (registry *Registry) loseHostLease(cause error) {
	registry.mutex.Lock()
	registry.hostLease = 0
	registry.published = 0
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "lease-lost").Str("lease", "host").Err(cause).Send()
}

func (registry *Registry) setTenureLease(lease balsamproxy.LeaseID, start balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.lease = lease
	registry.renewedAt = start
}

// loseTenures drops all tenures whose lease has ended.
func (registry *Registry) loseTenures(cause error) {
	registry.mutex.Lock()
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
	registry.mutex.Unlock()
	if lease != 0 && (holds || start.Sub(renewedAt) < renewInterval) {
		return lease, nil
	}
	granted, err := registry.Store.Grant(ctx, tenureLeaseTTL)
	if err != nil {
		return 0, err
	}
	registry.setTenureLease(granted, start)
	return granted, nil
}

// dropExpired drops the tenures once another daemon may have acquired them, so
// that other daemons are told.
func (registry *Registry) dropExpired() {
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	expired := len(registry.held) > 0 && !registry.leaseValidLocked(now)
	for group := range registry.held {
		expired = expired && !registry.promiseValidLocked(group, now)
	}
	registry.mutex.Unlock()
	if expired {
		registry.loseTenures(errLeaseExpired)
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
