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
	// removalDelay is how long a host must be missing from the members before
	// it is removed from the roster.
	removalDelay = time.Minute
)

// RosterManager adds this host to the roster and removes hosts that are gone.
// Its exported fields must be set before use.
type RosterManager struct {
	Monitor *Monitor
	Members *membership.Table

	missing map[balsamproxy.HostID]time.Time
}

// Run maintains the roster until ctx is done.
func (roster *RosterManager) Run(ctx context.Context) error {
	return task.Every(ctx, rosterInterval, roster.step)
}

// step makes at most one change to the roster. Adding this host takes
// precedence over removing others.
func (roster *RosterManager) step(ctx context.Context, now time.Time) {
	held := roster.Monitor.Standing.Roster()
	if !slices.Contains(held.Hosts, roster.Monitor.Host) {
		roster.change(ctx, func(stored balsamproxy.Roster) (balsamproxy.Roster, bool) {
			if slices.Contains(stored.Hosts, roster.Monitor.Host) {
				return stored, false
			}
			return core.AddHost(stored, roster.Monitor.Host), true
		})
		return
	}
	hostToRemove, found := roster.hostToRemove(held, now)
	if !found || roster.Monitor.Standing.Basis(now) != core.BasisStore {
		return
	}
	roster.change(ctx, func(stored balsamproxy.Roster) (balsamproxy.Roster, bool) {
		return core.RemoveHost(stored, hostToRemove), slices.Contains(stored.Hosts, hostToRemove)
	})
}

// hostToRemove returns a host that has been missing for longer than
// removalDelay, and whether this host should remove it. Only the first present
// host of the roster does so, to avoid conflicting writes; correctness does
// not depend on it.
func (roster *RosterManager) hostToRemove(held balsamproxy.Roster, now time.Time) (balsamproxy.HostID, bool) {
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
	return longest, longest != "" && first == roster.Monitor.Host
}

// change replaces the roster by compare-and-swap, once more than half of the
// hosts before its last change are known to hold the current one.
func (roster *RosterManager) change(ctx context.Context, next func(balsamproxy.Roster) (balsamproxy.Roster, bool)) {
	monitor := roster.Monitor
	if err := monitor.Documents.Fetch(ctx); err != nil {
		return
	}
	entry, _ := monitor.Documents.Held(store.DocumentRoster)
	stored := monitor.Standing.Roster()
	changed, wanted := next(stored)
	if !wanted || !core.MayChange(stored, roster.holders(ctx, stored, entry.Revision)) {
		return
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return
	}
	swap := balsamproxy.StoreSwap{Key: monitor.Documents.Key(store.DocumentRoster), Value: value, Expected: entry.Revision}
	revision, err := monitor.Documents.Store.Swap(ctx, swap)
	if err != nil {
		return
	}
	monitor.Log.Info().Str("changed", string(changed.Changed)).Bool("added", changed.Added).Int("hosts", len(changed.Hosts)).Msg("roster changed")
	monitor.Documents.Update(balsamproxy.StoreEntry{Key: swap.Key, Value: value, Revision: revision})
}

// holders asks the hosts before the last change whether they hold the current
// roster.
func (roster *RosterManager) holders(ctx context.Context, stored balsamproxy.Roster, revision balsamproxy.Revision) func(balsamproxy.HostID) bool {
	monitor := roster.Monitor
	wanted := monitor.Documents.RevisionsFor(store.DocumentRoster, revision)
	holding := map[balsamproxy.HostID]bool{monitor.Host: true}
	askHosts(ctx, monitor.Pool, monitor.Host, core.PreviousHosts(stored), Question{Wanted: wanted}, func(host balsamproxy.HostID, _ time.Time, held balsamproxy.Revisions) {
		holding[host] = held.Covers(wanted)
	})
	return func(host balsamproxy.HostID) bool { return holding[host] }
}
