package mesh

import (
	"context"

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

// Terms returns the terms that this daemon holds.
func (homes homes) Terms() []allowance.Term { return homes.daemon.registry.Terms() }

// RemainingTokens returns the number of an account's tokens that the previous home
// had left when the given term began, or 0 if that is not the current term.
func (homes homes) RemainingTokens(term allowance.Term, account balsamproxy.ClientAccountID) int {
	return homes.daemon.registry.RemainingTokens(term, account)
}

// WriteFloors stores the floors that a term leaves to the next home.
func (homes homes) WriteFloors(ctx context.Context, term allowance.Term, floors allowance.Floors) error {
	return homes.daemon.registry.WriteFloors(ctx, term, floors)
}
