package registry

import (
	"context"
	"encoding/json"
	"errors"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// candidates returns the hosts that may take tenures, including this one.
func (registry *Registry) candidates() []balsamproxy.HostID {
	registry.mutex.Lock()
	outageEnds := !registry.storeReachable || registry.Clock.Boot().Sub(registry.reachableSince) < outageEndPeriod
	registry.mutex.Unlock()
	if outageEnds {
		return registry.Linked()
	}
	return registry.Present()
}

// acquireTenures acquires the tenures that are due to this daemon.
func (registry *Registry) acquireTenures(ctx context.Context) error {
	present := registry.candidates()
	begun := registry.currentEra()
	for group := range allowance.Group(allowance.Groups) {
		swap, due := registry.acquisitionSwap(group, present)
		if !due {
			continue
		}
		lease, err := registry.ensureTenureLease(ctx)
		if err != nil {
			return err
		}
		swap.Lease = lease
		err = registry.acquireTenure(ctx, group, swap)
		if errors.Is(err, balsamproxy.ErrStoreConflict) {
			registry.invalidateTenure(begun, group)
			return nil
		}
		if errors.Is(err, balsamproxy.ErrStoreLeaseLost) {
			registry.loseTenures(begun, err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (registry *Registry) acquisitionSwap(group allowance.Group, present []balsamproxy.HostID) (balsamproxy.StoreSwap, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if _, holds := registry.held[group]; holds || registry.leaving || !registry.listed {
		return balsamproxy.StoreSwap{}, false
	}
	now := registry.Clock.Boot()
	candidate := homes.Candidate{
		Host:         registry.Host,
		Present:      present,
		Uptime:       now.Sub(registry.startedAt),
		PreviousHome: registry.previousHomes[group],
		FreeFor:      now.Sub(registry.freeSince[group]),
		Promised:     now < registry.promised[group],
		FormerEra:    registry.formerEraLocked(group),
		InEraFor:     now.Sub(registry.era.since),
	}
	if registry.closedIncarnations[group] == candidate.PreviousHome.Incarnation {
		candidate.PreviousHome.Closed = true
	}
	found, exists := registry.tenures[group]
	if _, known := registry.freeSince[group]; !exists && !known {
		return balsamproxy.StoreSwap{}, false
	}
	if exists {
		candidate.Tenure = &found.Tenure
	}
	if !homes.ShouldTake(group, candidate) {
		return balsamproxy.StoreSwap{}, false
	}
	value, err := json.Marshal(homes.Tenure{Host: registry.Host, Incarnation: registry.Incarnation, Era: registry.era.current})
	if err != nil {
		return balsamproxy.StoreSwap{}, false
	}
	return balsamproxy.StoreSwap{
		Key: registry.homeKey(group), Value: value, Expected: found.revision,
	}, true
}

// invalidateTenure prevents another attempt to acquire a tenure that another
// daemon has acquired until the records have been read again.
func (registry *Registry) invalidateTenure(begun balsamproxy.StoreEra, group allowance.Group) {
	defer registry.requestList()
	_ = registry.inEra(begun, func() {
		if registry.tenures == nil {
			registry.tenures = map[allowance.Group]tenure{}
		}
		registry.tenures[group] = tenure{Tenure: homes.Tenure{Host: "(not read yet)"}}
	})
}
