package mesh

import (
	"context"

	"balsamproxy"
	"balsamproxy/core/allowance"
)

// homes finds the homes of accounts in the view and in the store.
type homes struct {
	daemon *Daemon
}

// Home returns the host that is home of a group.
func (homes homes) Home(group allowance.Group) (balsamproxy.HostID, bool) {
	if host, found := homes.daemon.view.home(group); found {
		return host, true
	}
	return homes.daemon.registry.RecordedHome(group)
}

// Holds says whether this daemon is home of a group.
func (homes homes) Holds(group allowance.Group, now balsamproxy.BootTime) (balsamproxy.BootTime, bool) {
	return homes.daemon.registry.Holds(group, now)
}

// Suspect notes that the home of a group did not answer.
func (homes homes) Suspect(group allowance.Group) { homes.daemon.registry.Suspect(group) }

// Terms returns the terms that this daemon holds.
func (homes homes) Terms() []allowance.Term { return homes.daemon.registry.Terms() }

// RemainingTokens returns how many tokens of an account the previous home left
// to a term.
func (homes homes) RemainingTokens(term allowance.Term, account balsamproxy.ClientAccountID) int {
	return homes.daemon.registry.RemainingTokens(term, account)
}

// WriteFloors writes down what is left to the home after a term.
func (homes homes) WriteFloors(ctx context.Context, term allowance.Term, floors allowance.Floors) error {
	return homes.daemon.registry.WriteFloors(ctx, term, floors)
}
