package registry

import (
	"errors"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/era"
	"balsamproxy/core/homes"
)

// errEraRaised means that the store came back from an older copy during a step, so that
// what the step has read or written is no longer known to hold.
var errEraRaised = errors.New("registry: the era of the store has been raised")

// eraState is the era of the store. Its zero value is that of a store that reports none.
type eraState struct {
	current balsamproxy.StoreEra
	// since is when this daemon first saw it.
	since balsamproxy.BootTime
	// raised is set if this daemon has seen an earlier one.
	raised bool
}

// same reports whether what was begun in an era still counts.
func (state eraState) same(begun balsamproxy.StoreEra) bool {
	return era.Same(begun, state.current, state.raised)
}

func (registry *Registry) currentEra() balsamproxy.StoreEra {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.era.current
}

// inEra calls apply with the mutex held if what was begun in an era still counts.
// Otherwise it returns errEraRaised.
func (registry *Registry) inEra(begun balsamproxy.StoreEra, apply func()) error {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if !registry.era.same(begun) {
		return errEraRaised
	}
	apply()
	return nil
}

// EnterEra records the era that follows a former one, or the first one if that is zero.
// After a rise it drops all that depends on writes to the store, ends the terms
// of this daemon at once, and has the records read and written again. It must be called
// before a response of the era is used.
func (registry *Registry) EnterEra(former, current balsamproxy.StoreEra) {
	registry.mutex.Lock()
	registry.era.current, registry.era.since = current, registry.Clock.Boot()
	if former == 0 {
		registry.mutex.Unlock()
		return
	}
	registry.era.raised = true
	ended := map[allowance.Group]term{}
	for group := range registry.held {
		ended[group] = registry.terms[group]
	}
	registry.dropStateLocked()
	registry.mutex.Unlock()
	for group, term := range ended {
		// A request that found this daemon to be the home a moment ago gets no token.
		registry.Close(allowance.Term{Group: group, Since: term.since.Time()}, term.since)
	}
	registry.requestList()
}

// dropStateLocked drops what was read from or written to the store.
func (registry *Registry) dropStateLocked() {
	registry.hostLease, registry.published, registry.recordRevision = 0, 0, 0
	registry.lease = 0
	registry.held = nil
	registry.terms = nil
	registry.previousHomes = nil
	registry.closedIncarnations = nil
	registry.promised = nil
	registry.suspected = nil
	registry.tenures = nil
	registry.freeSince = nil
	registry.unheld = nil
	// Nothing is acquired before the next list.
	registry.listed = false
}

// formerEraLocked reports whether the last home of a group may be one of an earlier era
// of the store, whose records are lost. A daemon cannot know when the era that it starts in
// was raised, unless its fleet has just started for the first time.
func (registry *Registry) formerEraLocked(group allowance.Group) bool {
	if registry.era.current == 0 || registry.FirstStart && !registry.era.raised {
		return false
	}
	return registry.previousHomes[group].Era != registry.era.current
}

// formerEraEndedFor returns how long a home of an earlier era cannot have granted tokens
// at least, and false if the last home of the group is one of this era.
func (registry *Registry) formerEraEndedFor(group allowance.Group, since balsamproxy.BootTime) (bool, time.Duration) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if !registry.formerEraLocked(group) {
		return false, 0
	}
	return true, max(0, since.Sub(registry.era.since)-homes.FormerEraDelay)
}

// dropFormerErasLocked removes the homes of earlier eras from a list. Their tenures end
// with their leases.
func (registry *Registry) dropFormerErasLocked(tenures map[allowance.Group]tenure, previousHomes map[allowance.Group]homes.PreviousHome) {
	current := registry.era.current
	if current == 0 {
		return
	}
	for group, found := range tenures {
		// A daemon of a version without eras writes none.
		if found.Era != 0 && found.Era != current {
			delete(tenures, group)
		}
	}
	for group, previous := range previousHomes {
		if previous.Era != current {
			delete(previousHomes, group)
		}
	}
}
