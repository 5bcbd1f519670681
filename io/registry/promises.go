package registry

import (
	"context"
	"sync"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// Promise handles the request of the holder of a tenure to its backup not to
// acquire the tenure for a while. It returns false if this daemon may be
// acquiring it, holds it or is shutting down.
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

// askPromises requests promises from the backups of all tenures while the
// lease cannot be renewed.
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

// recordPromise records a promise that was requested at an instant.
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

// Suspect records that the home of a group did not respond. The daemon that
// would take over reads the records immediately, and then frequently for a
// while.
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
