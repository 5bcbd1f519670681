package standing

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/membership"
	core "balsamproxy/core/standing"
	"balsamproxy/io/store"
	"balsamproxy/task"
)

const (
	rosterInterval = 250 * time.Millisecond
	// absence is how long a host must be missing from the members before it
	// is taken off the roster.
	removalDelay = time.Minute
)

// RosterKeeper puts this host on the roster and takes hosts off that are gone.
// Its fields must be set.
type RosterKeeper struct {
	Keeper  *Keeper
	Members *membership.Table

	missing map[balsamproxy.HostID]time.Time
}

// Run keeps the roster until ctx ends.
func (roster *RosterKeeper) Run(ctx context.Context) error {
	return task.Every(ctx, rosterInterval, roster.step)
}

// step makes the one change that the roster needs most, if any.
func (roster *RosterKeeper) step(ctx context.Context, now time.Time) {
	held := roster.Keeper.Standing.Roster()
	if !slices.Contains(held.Hosts, roster.Keeper.Host) {
		roster.change(ctx, func(stored balsamproxy.Roster) (balsamproxy.Roster, bool) {
			if slices.Contains(stored.Hosts, roster.Keeper.Host) {
				return stored, false
			}
			return core.AddHost(stored, roster.Keeper.Host), true
		})
		return
	}
	hostToRemove, found := roster.hostToRemove(held, now)
	if !found || roster.Keeper.Standing.Basis(now) != core.BasisStore {
		return
	}
	roster.change(ctx, func(stored balsamproxy.Roster) (balsamproxy.Roster, bool) {
		return core.RemoveHost(stored, hostToRemove), slices.Contains(stored.Hosts, hostToRemove)
	})
}

// gone returns a host that has long been missing, if it falls to this host to
// take it off: the first present host of the roster does so, as a hint only.
func (roster *RosterKeeper) hostToRemove(held balsamproxy.Roster, now time.Time) (balsamproxy.HostID, bool) {
	if roster.missing == nil {
		roster.missing = map[balsamproxy.HostID]time.Time{}
	}
	first := balsamproxy.HostID("")
	longest := balsamproxy.HostID("")
	for _, host := range held.Hosts {
		if _, present := roster.Members.Member(host); present {
			delete(roster.missing, host)
			if first == "" {
				first = host
			}
			continue
		}
		if _, known := roster.missing[host]; !known {
			roster.missing[host] = now
		}
		if longest == "" && now.Sub(roster.missing[host]) > removalDelay {
			longest = host
		}
	}
	return longest, longest != "" && first == roster.Keeper.Host
}

// change makes one step by compare-and-swap, after more than half of the hosts
// before the last step have been found to hold that one.
func (roster *RosterKeeper) change(ctx context.Context, next func(balsamproxy.Roster) (balsamproxy.Roster, bool)) {
	keeper := roster.Keeper
	if err := keeper.Documents.Fetch(ctx); err != nil {
		return
	}
	entry, _ := keeper.Documents.Held(store.DocumentRoster)
	stored := keeper.Standing.Roster()
	changed, wanted := next(stored)
	if !wanted || !core.MayChange(stored, roster.holders(ctx, stored, entry.Revision)) {
		return
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return
	}
	swap := balsamproxy.StoreSwap{Key: keeper.Documents.Key(store.DocumentRoster), Value: value, Expected: entry.Revision}
	revision, err := keeper.Documents.Store.Swap(ctx, swap)
	if err != nil {
		return
	}
	keeper.Log.Info().Str("changed", string(changed.Changed)).Bool("added", changed.Added).Int("hosts", len(changed.Hosts)).Msg("roster changed")
	keeper.Documents.Update(balsamproxy.StoreEntry{Key: swap.Key, Value: value, Revision: revision})
}

// holders asks the hosts before the last step whether they hold it.
func (roster *RosterKeeper) holders(ctx context.Context, stored balsamproxy.Roster, revision balsamproxy.Revision) func(balsamproxy.HostID) bool {
	keeper := roster.Keeper
	wanted := keeper.Documents.RevisionsFor(store.DocumentRoster, revision)
	holding := map[balsamproxy.HostID]bool{keeper.Host: true}
	askHosts(ctx, keeper.Pool, keeper.Host, core.PreviousHosts(stored), Question{Wanted: wanted}, func(host balsamproxy.HostID, _ time.Time, held balsamproxy.Revisions) {
		holding[host] = held.Covers(wanted)
	})
	return func(host balsamproxy.HostID) bool { return holding[host] }
}
