package mesh

import (
	"balsamproxy"
	"balsamproxy/core/allowance"
)

// homes looks up which host is home of an account group, in the statuses of
// peers and in the store.
type homes struct {
	daemon *Daemon
}

// Home returns the home of a group.
func (homes homes) Home(group allowance.Group) (balsamproxy.HostID, bool) {
	if host, found := homes.daemon.view.home(group); found {
		return host, true
	}
	return homes.daemon.registry.RecordedHome(group)
}

// Holds reports whether this daemon is home of a group at now, and since when.
func (homes homes) Holds(group allowance.Group, now balsamproxy.BootTime) (balsamproxy.BootTime, bool) {
	return homes.daemon.registry.Holds(group, now)
}

// Suspect records that the home of a group did not answer.
func (homes homes) Suspect(group allowance.Group) { homes.daemon.registry.Suspect(group) }

// Remainder returns what the previous home left of an account when the given
// term began, or nothing if that is not the current term.
func (homes homes) Remainder(term allowance.Term, account balsamproxy.ClientAccountID) allowance.Remainder {
	return homes.daemon.registry.Remainder(term, account)
}
