package registry

import (
	"context"
	"errors"

	"balsamproxy"
)

// keepLeases grants the lease of the host and renews those that are due.
func (registry *Registry) keepLeases(ctx context.Context) error {
	began := registry.Clock.Boot()
	registry.mutex.Lock()
	hostLease, hostRenewedAt := registry.hostLease, registry.hostRenewedAt
	lease, renewedAt := registry.lease, registry.renewedAt
	holds, leaving := len(registry.held) > 0, registry.leaving
	registry.mutex.Unlock()
	if leaving {
		return nil
	}
	if holds && lease != 0 && began.Sub(renewedAt) >= renewInterval {
		if err := registry.renewTenures(ctx, lease, began); err != nil {
			return err
		}
	}
	if hostLease == 0 {
		return registry.grantHostLease(ctx, began)
	}
	if began.Sub(hostRenewedAt) >= hostRenewInterval {
		return registry.renewHost(ctx, hostLease, began)
	}
	return nil
}

func (registry *Registry) renewTenures(ctx context.Context, lease balsamproxy.LeaseID, began balsamproxy.BootTime) error {
	err := registry.Store.KeepAlive(ctx, lease)
	switch {
	case err == nil:
		registry.setLease(lease, began)
	case errors.Is(err, balsamproxy.ErrStoreLeaseLost):
		registry.loseTenures(err)
		return nil
	}
	return err
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

// dropLapsed gives tenures up whose lease may have ended while the store could
// not be reached, so that others learn of it.
func (registry *Registry) dropLapsed() {
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	lapsed := len(registry.held) > 0 && now.Sub(registry.renewedAt) >= leaseTime-leaseMargin
	registry.mutex.Unlock()
	if lapsed {
		registry.loseTenures(errLapsed)
	}
}

var errLapsed = errors.New("registry: the lease could not be renewed in time")
