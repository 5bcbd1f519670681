package registry

import (
	"context"
	"errors"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
	"balsamproxy/task"
)

// RunLeases keeps the tenures until ctx ends.
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

// keepHostLease grants the lease of the host or renews it when that is due.
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

// renewed notes a renewal, unless the lease was replaced meanwhile.
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

// loseTenures gives up all that hung on a lease that has ended.
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

// tenureLease returns a lease for tenures that is young enough to take one
// under it.
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

// dropLapsed gives tenures up that another daemon may have taken, so that
// others learn of it.
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

// leaseHoldsLocked says whether the store still has the tenures at an instant.
func (registry *Registry) leaseValidLocked(now balsamproxy.BootTime) bool {
	return now.Sub(registry.renewedAt) < tenureLeaseTTL-leaseMargin
}

// promiseHoldsLocked says whether nobody can have taken a tenure though the
// store may not have it any more: its backup has promised not to, and others
// wait for longer.
func (registry *Registry) promiseValidLocked(group allowance.Group, now balsamproxy.BootTime) bool {
	return now < registry.terms[group].promisedUntil &&
		now.Sub(registry.renewedAt) < tenureLeaseTTL+homes.NonBackupDelay-leaseMargin
}

var errLeaseExpired = errors.New("registry: the lease could not be renewed in time")
