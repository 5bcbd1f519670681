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
	pause := stepIdle
	for task.Sleep(ctx, pause) {
		if !registry.holds() {
			pause = stepIdle
			continue
		}
		pause = stepInterval
		registry.renewTenures(ctx)
		registry.askPromises(ctx)
		registry.dropLapsed()
	}
	return ctx.Err()
}

// keepHostLease grants the lease of the host or renews it when that is due.
func (registry *Registry) keepHostLease(ctx context.Context) error {
	began := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, renewedAt, leaving := registry.hostLease, registry.hostRenewedAt, registry.leaving
	registry.mutex.Unlock()
	switch {
	case leaving:
		return nil
	case lease == 0:
		return registry.grantHostLease(ctx, began)
	case began.Sub(renewedAt) >= hostRenewInterval:
		return registry.renewHost(ctx, lease, began)
	}
	return nil
}

// renewTenures renews the lease of the tenures when that is due.
func (registry *Registry) renewTenures(ctx context.Context) {
	began := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, holds := registry.lease, len(registry.held) > 0
	due := began.Sub(registry.renewedAt) >= renewInterval && began.Sub(registry.triedAt) >= renewPause
	if holds && lease != 0 && due {
		registry.triedAt = began
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
		registry.note(nil)
		registry.renewed(lease, began)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.note(nil)
		registry.loseTenures(err)
	default:
		registry.note(err)
	}
}

// renewed notes a renewal, unless the lease was replaced meanwhile.
func (registry *Registry) renewed(lease balsamproxy.LeaseID, began balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.lease == lease {
		registry.renewedAt = began
	}
}

func (registry *Registry) grantHostLease(ctx context.Context, began balsamproxy.BootTime) error {
	granted, err := registry.Store.Grant(ctx, hostLeaseTime)
	if err != nil {
		return err
	}
	registry.setHostLease(granted, began)
	return nil
}

func (registry *Registry) renewHost(ctx context.Context, lease balsamproxy.LeaseID, began balsamproxy.BootTime) error {
	err := registry.Store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		registry.setHostLease(lease, began)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.loseHostLease(err)
		return nil
	}
	return err
}

func (registry *Registry) setHostLease(lease balsamproxy.LeaseID, began balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.hostLease = lease
	registry.hostRenewedAt = began
}

func (registry *Registry) loseHostLease(cause error) {
	registry.mutex.Lock()
	registry.hostLease = 0
	registry.published = 0
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "lease-lost").Str("lease", "host").Err(cause).Send()
}

func (registry *Registry) setLease(lease balsamproxy.LeaseID, began balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.lease = lease
	registry.renewedAt = began
}

// loseTenures gives up all that hung on a lease that has ended.
func (registry *Registry) loseTenures(cause error) {
	registry.mutex.Lock()
	registry.lease = 0
	now := registry.Clock.Boot()
	for group := range registry.held {
		delete(registry.tenures, group)
		registry.freeLocked(group, now)
	}
	registry.held = nil
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "lease-lost").Str("lease", "tenures").Err(cause).Send()
	registry.HomesChanged()
}

// tenureLease returns a lease for tenures that is young enough to take one
// under it.
func (registry *Registry) tenureLease(ctx context.Context) (balsamproxy.LeaseID, error) {
	began := registry.Clock.Boot()
	registry.mutex.Lock()
	lease, renewedAt, holds := registry.lease, registry.renewedAt, len(registry.held) > 0
	registry.mutex.Unlock()
	if lease != 0 && (holds || began.Sub(renewedAt) < renewInterval) {
		return lease, nil
	}
	granted, err := registry.Store.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	registry.setLease(granted, began)
	return granted, nil
}

// dropLapsed gives tenures up that another daemon may have taken, so that
// others learn of it.
func (registry *Registry) dropLapsed() {
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	lapsed := len(registry.held) > 0 && !registry.leaseHoldsLocked(now)
	for group := range registry.held {
		lapsed = lapsed && !registry.promiseHoldsLocked(group, now)
	}
	registry.mutex.Unlock()
	if lapsed {
		registry.loseTenures(errLapsed)
	}
}

// leaseHoldsLocked says whether the store still has the tenures at an instant.
func (registry *Registry) leaseHoldsLocked(now balsamproxy.BootTime) bool {
	return now.Sub(registry.renewedAt) < leaseTime-leaseMargin
}

// promiseHoldsLocked says whether nobody can have taken a tenure though the
// store may not have it any more: its backup has promised not to, and others
// wait for longer.
func (registry *Registry) promiseHoldsLocked(group allowance.Group, now balsamproxy.BootTime) bool {
	return now < registry.terms[group].promisedUntil &&
		now.Sub(registry.renewedAt) < leaseTime+homes.NonBackupDelay-leaseMargin
}

var errLapsed = errors.New("registry: the lease could not be renewed in time")
