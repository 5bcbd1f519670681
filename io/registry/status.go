package registry

import (
	"slices"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// ApplyStatus applies what a daemon reports about its tenures. The records are
// read rarely, and links report acquired and released tenures immediately.
func (registry *Registry) ApplyStatus(status balsamproxy.Status) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if status.Era < registry.era.current {
		// It says nothing about tenures of this era.
		return
	}
	for group, found := range registry.tenures {
		if found.Host == status.Host && !slices.Contains(status.Homes, int(group)) {
			if status.Stopping && found.Incarnation == status.Incarnation {
				registry.recordClosedLocked(group, found.Tenure)
			}
			delete(registry.tenures, group)
			registry.markFreeLocked(group, registry.Clock.Boot())
		}
	}
	for index, home := range status.Homes {
		group := allowance.Group(home)
		previous := homes.PreviousHome{Host: status.Host, Incarnation: status.Incarnation, Era: status.Era}
		if index < len(status.Backups) {
			previous.Backup = status.Backups[index]
		}
		registry.setPreviousHomeLocked(group, previous)
		if registry.tenures == nil {
			registry.tenures = map[allowance.Group]tenure{}
		}
		registry.tenures[group] = tenure{Tenure: homes.Tenure{Host: status.Host, Incarnation: status.Incarnation, Era: status.Era}}
		delete(registry.freeSince, group)
	}
}

// recordClosedLocked records that a home has announced the end of its tenure
// and cannot acquire it again soon.
func (registry *Registry) recordClosedLocked(group allowance.Group, tenure homes.Tenure) {
	if registry.closedIncarnations == nil {
		registry.closedIncarnations = map[allowance.Group]string{}
	}
	registry.closedIncarnations[group] = tenure.Incarnation
	registry.setPreviousHomeLocked(group, homes.PreviousHome{Host: tenure.Host, Incarnation: tenure.Incarnation, Closed: true, Era: tenure.Era})
}

// Holds reports whether this daemon is home of a group at an instant, and
// since when.
func (registry *Registry) Holds(group allowance.Group, now balsamproxy.BootTime) (balsamproxy.BootTime, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	since, holds := registry.held[group]
	if !holds || !registry.leaseValidLocked(now) && !registry.promiseValidLocked(group, now) {
		return 0, false
	}
	return since, true
}

// Held returns the groups whose tenure this daemon holds.
func (registry *Registry) Held() []int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	groups := []int{}
	for group := range allowance.Group(allowance.Groups) {
		if _, holds := registry.held[group]; holds {
			groups = append(groups, int(group))
		}
	}
	return groups
}

// RecordedHome returns the last known home of a group.
func (registry *Registry) RecordedHome(group allowance.Group) (balsamproxy.HostID, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	found, exists := registry.tenures[group]
	return found.Host, exists
}

// Backups returns the hosts that may take over first from this daemon, in the
// order of Held.
func (registry *Registry) Backups() []balsamproxy.HostID {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	backups := []balsamproxy.HostID{}
	for group := range allowance.Group(allowance.Groups) {
		if _, holds := registry.held[group]; holds {
			backups = append(backups, registry.terms[group].backup)
		}
	}
	return backups
}

// Member returns the record of a host.
func (registry *Registry) Member(host balsamproxy.HostID) (balsamproxy.Member, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	member, found := registry.members[host]
	return member, found
}
