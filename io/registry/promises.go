package registry

import (
	"context"
	"sync"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// Promise answers the holder of a tenure that asks its backup to leave the
// tenure alone for a while. It says false if this daemon may be taking it.
func (registry *Registry) Promise(group allowance.Group) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	_, holds := registry.held[group]
	if holds || registry.acquiring[group] || registry.leaving {
		return false
	}
	if registry.promised == nil {
		registry.promised = map[allowance.Group]balsamproxy.BootTime{}
	}
	registry.promised[group] = registry.Clock.Boot() + balsamproxy.BootTime(homes.PromiseDuration)
	return true
}

// askPromises asks the backups of all tenures for promises while the lease
// cannot be renewed.
func (registry *Registry) askPromises(ctx context.Context) {
	now := registry.Clock.Boot()
	requested := map[allowance.Group]balsamproxy.HostID{}
	registry.mutex.Lock()
	if now.Sub(registry.renewedAt) >= 2*renewInterval {
		for group := range registry.held {
			current := registry.terms[group]
			if current.backup != "" && now.Sub(current.askedAt) >= promiseInterval {
				current.askedAt = now
				registry.terms[group] = current
				requested[group] = current.backup
			}
		}
	}
	registry.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for group, backup := range requested {
		asking.Go(func() {
			if registry.AskPromise(ctx, backup, group) {
				registry.recordPromise(group, now)
			}
		})
	}
	asking.Wait()
}

// rely notes a promise that was asked for at an instant.
func (registry *Registry) recordPromise(group allowance.Group, requested balsamproxy.BootTime) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	current, found := registry.terms[group]
	if !found {
		return
	}
	current.promisedUntil = max(current.promisedUntil, requested+balsamproxy.BootTime(homes.PromiseValidity))
	registry.terms[group] = current
}

// Suspect notes that the home of a group did not answer. The daemon that would
// follow it reads the records at once, and often for a while.
func (registry *Registry) Suspect(group allowance.Group) {
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	if registry.suspected == nil {
		registry.suspected = map[allowance.Group]balsamproxy.BootTime{}
	}
	registry.suspected[group] = now
	listDue := now.Sub(registry.lastListAt) >= urgentInterval
	registry.mutex.Unlock()
	if listDue && registry.takeoverExpected() {
		registry.requestList()
	}
}
