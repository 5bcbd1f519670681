package registry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// RunLists reads all records periodically until ctx is done. Lists that only
// refresh what links report may be stale; those that a change of homes waits for are
// not, nor the first one of a daemon that starts again, nor the one by which the
// daemons of a new fleet find each other.
func (registry *Registry) RunLists(ctx context.Context) error {
	relist := registry.relistChannel()
	// Without knowledge of its own a daemon cannot tell a tenure that is free from one
	// that was a moment ago.
	kind := currentList
	if registry.FirstStart {
		kind = staleList
	}
	first := true
	for {
		wait := listInterval + time.Duration(len(registry.Present()))*listPerHost
		err := registry.list(ctx, kind)
		switch {
		case err != nil:
			registry.Log.Debug().Str("event", "list-failed").Err(err).Send()
			wait = listRetryInterval
		case registry.takeoverExpected():
			wait, kind = urgentInterval, currentList
		case first && registry.mayBeAlone():
			// Daemons that started at the same time have not found each other yet.
			wait, kind = startupDelay/2, currentList
		default:
			kind = staleList
		}
		first = first && err != nil
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case <-relist:
			timer.Stop()
			kind = currentList
		}
	}
}

// listKind is how a list is read.
type listKind int

const (
	// staleList may show a state of seconds ago.
	staleList listKind = iota
	// currentList shows the state at the time of the read.
	currentList
)

// mayBeAlone reports whether the first list may lack daemons that are starting at
// the same time.
func (registry *Registry) mayBeAlone() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	_, own := registry.members[registry.Host]
	return registry.FirstStart || !own
}

func (registry *Registry) relistChannel() chan struct{} {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.relist == nil {
		registry.relist = make(chan struct{}, 1)
	}
	return registry.relist
}

func (registry *Registry) requestList() {
	select {
	case registry.relistChannel() <- struct{}{}:
	default:
	}
}

// list reads all records.
func (registry *Registry) list(ctx context.Context, kind listKind) error {
	registry.mutex.Lock()
	registry.lastListAt = registry.Clock.Boot()
	begun := registry.era.current
	if registry.era.raised && !registry.listed {
		kind = currentList
	}
	registry.mutex.Unlock()
	read := registry.Store.RangeStale
	if kind == currentList {
		read = registry.Store.Range
	}
	snapshot, err := read(ctx, registry.Prefix)
	if err != nil {
		return err
	}
	members, tenures, previousHomes := registry.classifyAll(snapshot.Entries)
	registry.mutex.Lock()
	if !registry.era.same(begun) {
		registry.mutex.Unlock()
		return errEraRaised
	}
	registry.dropFormerErasLocked(tenures, previousHomes)
	if kind == currentList {
		registry.recordUnheldLocked(snapshot.Entries, tenures)
	}
	if !registry.listed {
		registry.recordRevision = ownRevision(snapshot.Entries, registry.hostKey())
	} else if kind == staleList {
		registry.keepKnownLocked(tenures, previousHomes)
	}
	for group, previous := range previousHomes {
		if _, free := registry.freeSince[group]; free {
			registry.resetFreeSinceLocked(group, previous)
		}
	}
	registry.previousHomes = previousHomes
	list := registry.applyRecordsLocked(members, tenures)
	registry.mutex.Unlock()
	registry.MembersRead(list)
	return nil
}

// ownRevision returns the revision of an entry, or zero if there is none.
func ownRevision(entries []balsamproxy.StoreEntry, key balsamproxy.StoreKey) balsamproxy.Revision {
	for _, entry := range entries {
		if entry.Key == key {
			return entry.Revision
		}
	}
	return 0
}

// keepKnownLocked replaces the homes in a stale list by those that are known. What
// links and current lists report is later, and a tenure that seems to be free must not
// be taken for one that has been free since.
func (registry *Registry) keepKnownLocked(tenures map[allowance.Group]tenure, previousHomes map[allowance.Group]homes.PreviousHome) {
	for group := range allowance.Group(allowance.Groups) {
		if known, found := registry.previousHomes[group]; found {
			previousHomes[group] = known
		}
		if known, found := registry.tenures[group]; found {
			tenures[group] = known
		} else if _, free := registry.freeSince[group]; free {
			delete(tenures, group)
		}
	}
}

// recordUnheldLocked records the groups that had no tenure when the records were
// read.
func (registry *Registry) recordUnheldLocked(entries []balsamproxy.StoreEntry, tenures map[allowance.Group]tenure) {
	now := registry.Clock.Boot()
	unheldGroups := map[allowance.Group]unheld{}
	for _, entry := range entries {
		if !strings.HasPrefix(string(entry.Key), string(registry.remaindersPrefix())) {
			continue
		}
		group, err := groupFromKey(entry.Key, registry.remaindersPrefix())
		if _, held := tenures[group]; err != nil || held {
			continue
		}
		unheldGroups[group] = unheld{revision: entry.Revision, since: now}
		if known, found := registry.unheld[group]; found && known.revision == entry.Revision {
			unheldGroups[group] = known
		}
	}
	registry.unheld = unheldGroups
}

// classifyAll returns what the records contain, without those that are invalid.
func (registry *Registry) classifyAll(entries []balsamproxy.StoreEntry) (
	map[balsamproxy.HostID]balsamproxy.Member, map[allowance.Group]tenure, map[allowance.Group]homes.PreviousHome,
) {
	members := map[balsamproxy.HostID]balsamproxy.Member{}
	tenures := map[allowance.Group]tenure{}
	previousHomes := map[allowance.Group]homes.PreviousHome{}
	for _, entry := range entries {
		if err := registry.classify(entry, members, tenures, previousHomes); err != nil {
			registry.Log.Error().Str("event", "record-invalid").Str("key", string(entry.Key)).Err(err).Send()
		}
	}
	return members, tenures, previousHomes
}

var errInvalidRecord = errors.New("registry: host record names another host or has no valid peer address")

func (registry *Registry) classify(
	entry balsamproxy.StoreEntry,
	members map[balsamproxy.HostID]balsamproxy.Member,
	tenures map[allowance.Group]tenure,
	previousHomes map[allowance.Group]homes.PreviousHome,
) error {
	switch {
	case strings.HasPrefix(string(entry.Key), string(registry.hostsPrefix())):
		var member balsamproxy.Member
		if err := json.Unmarshal(entry.Value, &member); err != nil {
			return err
		}
		if member.Host != hostFromKey(entry.Key, registry.hostsPrefix()) || !validAddress(member.PeerAddress) {
			return errInvalidRecord
		}
		members[member.Host] = member
	case strings.HasPrefix(string(entry.Key), string(registry.homesPrefix())):
		group, err := groupFromKey(entry.Key, registry.homesPrefix())
		if err != nil {
			return err
		}
		found := tenure{revision: entry.Revision}
		if err := json.Unmarshal(entry.Value, &found.Tenure); err != nil {
			return err
		}
		tenures[group] = found
	case strings.HasPrefix(string(entry.Key), string(registry.remaindersPrefix())):
		group, err := groupFromKey(entry.Key, registry.remaindersPrefix())
		if err != nil {
			return err
		}
		var record remainderRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		previousHomes[group] = record.PreviousHome
	}
	return nil
}

// validAddress reports whether an address consists of a host and a port number.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && number > 0
}

func groupFromKey(key, prefix balsamproxy.StoreKey) (allowance.Group, error) {
	group, err := strconv.Atoi(strings.TrimPrefix(string(key), string(prefix)))
	return allowance.Group(group), err
}

// applyRecordsLocked applies the records that were read. A host that is missing is
// kept for maxMissedLists reads, since its record may have expired during an
// outage of the store.
func (registry *Registry) applyRecordsLocked(members map[balsamproxy.HostID]balsamproxy.Member, tenures map[allowance.Group]tenure) []balsamproxy.Member {
	missedLists := map[balsamproxy.HostID]int{}
	for host, member := range registry.members {
		if _, found := members[host]; found {
			continue
		}
		if missedLists[host] = registry.missedLists[host] + 1; missedLists[host] <= maxMissedLists {
			members[host] = member
		}
	}
	registry.members = members
	registry.missedLists = missedLists
	registry.tenures = tenures
	now := registry.Clock.Boot()
	if !registry.listed {
		// The links to other daemons are not established yet, so the ranks are
		// not known.
		now += balsamproxy.BootTime(startupDelay)
	}
	registry.listed = true
	for group := range allowance.Group(allowance.Groups) {
		if _, exists := tenures[group]; exists {
			delete(registry.freeSince, group)
			continue
		}
		registry.markFreeLocked(group, now)
	}
	list := make([]balsamproxy.Member, 0, len(members))
	for _, member := range members {
		list = append(list, member)
	}
	return list
}

// markFreeLocked records that a group has no tenure, unless that is already
// recorded.
func (registry *Registry) markFreeLocked(group allowance.Group, now balsamproxy.BootTime) {
	if registry.freeSince == nil {
		registry.freeSince = map[allowance.Group]balsamproxy.BootTime{}
	}
	if _, known := registry.freeSince[group]; !known {
		registry.freeSince[group] = now
	}
}

// Ready reports whether the records have been read at least once.
func (registry *Registry) Ready() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.listed
}

// takeoverExpected reports whether this daemon should acquire a tenure as soon
// as it is free, and must therefore read the records frequently.
func (registry *Registry) takeoverExpected() bool {
	present := registry.Present()
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.leaving || !registry.listed {
		return false
	}
	// A starting daemon has no links yet and would take itself for the only one.
	starting := now.Sub(registry.startedAt) < startupDelay
	for group := range allowance.Group(allowance.Groups) {
		if _, holds := registry.held[group]; holds {
			continue
		}
		found, exists := registry.tenures[group]
		suspectedAt, suspected := registry.suspected[group]
		suspected = suspected && now.Sub(suspectedAt) < suspicionDuration
		follows := registry.previousHomes[group].Backup == registry.Host ||
			!starting && homes.IsSuccessor(group, registry.Host, found.Host, present)
		if exists && follows && (suspected || !slices.Contains(present, found.Host)) {
			return true
		}
	}
	return false
}
