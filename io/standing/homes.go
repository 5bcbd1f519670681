package standing

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"balsamproxy"
	core "balsamproxy/core/allowance"
	"balsamproxy/core/membership"
	corestanding "balsamproxy/core/standing"
	"balsamproxy/io/allowance"
	"balsamproxy/io/store"
	"balsamproxy/task"
)

const (
	homesInterval = 250 * time.Millisecond
	// settleTime is how long the members must be unchanged before homes are
	// reassigned.
	settleTime = 2 * time.Second
)

// HomesManager assigns the homes of allowances and lets this host act as one.
// Its exported fields must be set before use.
type HomesManager struct {
	Monitor *Monitor
	Members *membership.Table
	Spender *allowance.Spender

	locations []core.HostLocation
	wanted    core.Homes
	changedAt time.Time
}

// Run maintains the homes until ctx is done.
func (homes *HomesManager) Run(ctx context.Context) error {
	return task.Every(ctx, homesInterval, func(ctx context.Context, now time.Time) {
		homes.putInForce(ctx)
		homes.assign(ctx, now)
	})
}

// putInForce lets this host act as a home once the document is in force on all
// daemons.
func (homes *HomesManager) putInForce(ctx context.Context) {
	_, revision, inForce := homes.Spender.Homes()
	if revision == 0 || inForce {
		return
	}
	if _, accepted := homes.Monitor.Spread(ctx, store.DocumentHomes, revision); accepted {
		homes.Spender.MarkHomesInForce(revision, homes.Monitor.Clock.Now())
	}
}

// assign stores a new document if the members require different homes. Only
// the first present host of the roster does so, to avoid conflicting writes;
// correctness does not depend on it.
func (homes *HomesManager) assign(ctx context.Context, now time.Time) {
	locations, first := homes.present()
	if !slices.Equal(locations, homes.locations) {
		homes.locations = locations
		homes.wanted = core.AssignHomes(locations)
		homes.changedAt = now
		return
	}
	wanted := homes.wanted
	current, revision, _ := homes.Spender.Homes()
	monitor := homes.Monitor
	switch {
	case first != monitor.Host, now.Sub(homes.changedAt) < settleTime, wanted.Equal(current):
		return
	case monitor.Standing.Basis(now) != corestanding.BasisStore:
		return
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return
	}
	swap := balsamproxy.StoreSwap{Key: monitor.Documents.Key(store.DocumentHomes), Value: value, Expected: revision}
	stored, err := monitor.Documents.Store.Swap(ctx, swap)
	if err != nil {
		return
	}
	monitor.Log.Info().Int64("revision", int64(stored)).Msg("assigned homes of allowances")
	monitor.Documents.Update(balsamproxy.StoreEntry{Key: swap.Key, Value: value, Revision: stored})
}

// present returns the locations of the present hosts of the roster, and the
// first of these hosts.
func (homes *HomesManager) present() ([]core.HostLocation, balsamproxy.HostID) {
	locations := []core.HostLocation{}
	for _, host := range homes.Monitor.Standing.Roster().Hosts {
		member, present := homes.Members.Member(host)
		if present && !member.Leaving {
			locations = append(locations, core.HostLocation{Host: host, DataCentre: member.DataCentre})
		}
	}
	if len(locations) == 0 {
		return locations, ""
	}
	hosts := make([]balsamproxy.HostID, 0, len(locations))
	for _, location := range locations {
		hosts = append(hosts, location.Host)
	}
	return locations, slices.Min(hosts)
}
