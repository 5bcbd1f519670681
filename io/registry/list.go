package registry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// RunLists reads all records again and again until ctx ends.
func (registry *Registry) RunLists(ctx context.Context) error {
	relist := registry.relists()
	first := true
	for {
		wait := listInterval + time.Duration(len(registry.Present()))*listPerHost
		if first {
			// Daemons that started together did not find each other yet.
			wait = settleTime / 2
			first = false
		}
		if err := registry.list(ctx); err != nil {
			registry.Log.Debug().Str("event", "list-failed").Err(err).Send()
			wait = failedInterval
		} else if registry.urgent() {
			wait = urgentInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case <-relist:
			timer.Stop()
		}
	}
}

func (registry *Registry) relists() chan struct{} {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.relist == nil {
		registry.relist = make(chan struct{}, 1)
	}
	return registry.relist
}

func (registry *Registry) wakeLists() {
	select {
	case registry.relists() <- struct{}{}:
	default:
	}
}

// list reads all records.
func (registry *Registry) list(ctx context.Context) error {
	registry.mutex.Lock()
	registry.listedAt = registry.Clock.Boot()
	registry.mutex.Unlock()
	snapshot, err := registry.Store.Range(ctx, registry.Prefix)
	if err != nil {
		return err
	}
	members := map[balsamproxy.HostID]balsamproxy.Member{}
	tenures := map[allowance.Group]tenure{}
	formers := map[allowance.Group]homes.PreviousHome{}
	for _, entry := range snapshot.Entries {
		if err := registry.sort(entry, members, tenures, formers); err != nil {
			registry.Log.Error().Str("event", "record-invalid").Str("key", string(entry.Key)).Err(err).Send()
		}
	}
	registry.mutex.Lock()
	for group, former := range formers {
		if _, free := registry.freeSince[group]; free {
			registry.restartFreeLocked(group, former)
		}
	}
	registry.formers = formers
	registry.mutex.Unlock()
	registry.MembersRead(registry.take(members, tenures))
	return nil
}

var errNoRecord = errors.New("registry: not a record of this kind")

func (registry *Registry) sort(
	entry balsamproxy.StoreEntry,
	members map[balsamproxy.HostID]balsamproxy.Member,
	tenures map[allowance.Group]tenure,
	formers map[allowance.Group]homes.PreviousHome,
) error {
	switch {
	case strings.HasPrefix(string(entry.Key), string(registry.hostsPrefix())):
		var member balsamproxy.Member
		if err := json.Unmarshal(entry.Value, &member); err != nil {
			return err
		}
		if member.Host != hostOf(entry.Key, registry.hostsPrefix()) || member.PeerAddress == "" {
			return errNoRecord
		}
		members[member.Host] = member
	case strings.HasPrefix(string(entry.Key), string(registry.homesPrefix())):
		group, err := groupOf(entry.Key, registry.homesPrefix())
		if err != nil {
			return err
		}
		found := tenure{revision: entry.Revision}
		if err := json.Unmarshal(entry.Value, &found.Tenure); err != nil {
			return err
		}
		tenures[group] = found
	case strings.HasPrefix(string(entry.Key), string(registry.floorsPrefix())):
		group, err := groupOf(entry.Key, registry.floorsPrefix())
		if err != nil {
			return err
		}
		var record floorsRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		formers[group] = record.PreviousHome
	}
	return nil
}

func groupOf(key, prefix balsamproxy.StoreKey) (allowance.Group, error) {
	group, err := strconv.Atoi(strings.TrimPrefix(string(key), string(prefix)))
	return allowance.Group(group), err
}

// take keeps what was read. A host that is missing for the first time is
// kept: its record may have lapsed while the store was away.
func (registry *Registry) take(members map[balsamproxy.HostID]balsamproxy.Member, tenures map[allowance.Group]tenure) []balsamproxy.Member {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	missed := map[balsamproxy.HostID]int{}
	for host, member := range registry.members {
		if _, found := members[host]; found {
			continue
		}
		if missed[host] = registry.missed[host] + 1; missed[host] <= missedMax {
			members[host] = member
		}
	}
	registry.members = members
	registry.missed = missed
	registry.tenures = tenures
	now := registry.Clock.Boot()
	if !registry.listed {
		// Links to the others are not there yet, so the ranks are not known.
		now += balsamproxy.BootTime(settleTime)
	}
	registry.listed = true
	for group := range allowance.Group(allowance.Groups) {
		if _, stands := tenures[group]; stands {
			delete(registry.freeSince, group)
			continue
		}
		registry.freeLocked(group, now)
	}
	list := make([]balsamproxy.Member, 0, len(members))
	for _, member := range members {
		list = append(list, member)
	}
	return list
}

// freeLocked notes that no tenure of a group stands, unless that is known.
func (registry *Registry) freeLocked(group allowance.Group, now balsamproxy.BootTime) {
	if registry.freeSince == nil {
		registry.freeSince = map[allowance.Group]balsamproxy.BootTime{}
	}
	if _, known := registry.freeSince[group]; !known {
		registry.freeSince[group] = now
	}
}

// Ready says whether the records have been read once.
func (registry *Registry) Ready() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.listed
}

// urgent says whether this daemon should look often, since it is the one that
// should take a tenure as soon as it is free.
func (registry *Registry) urgent() bool {
	present := registry.Present()
	now := registry.Clock.Boot()
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.leaving || !registry.listed {
		return false
	}
	for group := range allowance.Group(allowance.Groups) {
		if _, holds := registry.held[group]; holds {
			continue
		}
		found, stands := registry.tenures[group]
		suspectedAt, suspected := registry.suspected[group]
		suspected = suspected && now.Sub(suspectedAt) < suspectTime
		follows := registry.formers[group].Backup == registry.Host ||
			homes.IsSuccessor(group, registry.Host, found.Host, present)
		if stands && follows && (suspected || !slices.Contains(present, found.Host)) {
			return true
		}
	}
	return false
}

// takeTenures takes the tenures whose turn it is to be taken by this daemon.
func (registry *Registry) takeTenures(ctx context.Context) error {
	present := registry.Present()
	for group := range allowance.Group(allowance.Groups) {
		swap, due := registry.dueSwap(group, present)
		if !due {
			continue
		}
		lease, err := registry.tenureLease(ctx)
		if err != nil {
			return err
		}
		swap.Lease = lease
		err = registry.takeTenure(ctx, group, swap)
		if errors.Is(err, balsamproxy.ErrStoreConflict) {
			registry.forget(group)
			return nil
		}
		if errors.Is(err, balsamproxy.ErrStoreLeaseLost) {
			registry.loseTenures(err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (registry *Registry) dueSwap(group allowance.Group, present []balsamproxy.HostID) (balsamproxy.StoreSwap, bool) {
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
		PreviousHome: registry.formers[group],
		FreeFor:      now.Sub(registry.freeSince[group]),
		Promised:     now < registry.promised[group],
	}
	if registry.ended[group] == candidate.PreviousHome.Incarnation {
		candidate.PreviousHome.Closed = true
	}
	found, stands := registry.tenures[group]
	if _, known := registry.freeSince[group]; !stands && !known {
		return balsamproxy.StoreSwap{}, false
	}
	if stands {
		candidate.Tenure = &found.Tenure
	}
	if !homes.ShouldTake(group, candidate) {
		return balsamproxy.StoreSwap{}, false
	}
	value, err := json.Marshal(homes.Tenure{Host: registry.Host, Incarnation: registry.Incarnation})
	if err != nil {
		return balsamproxy.StoreSwap{}, false
	}
	return balsamproxy.StoreSwap{
		Key: registry.homeKey(group), Value: value, Expected: found.revision,
	}, true
}

// forget lets a tenure that another daemon took be read anew first.
func (registry *Registry) forget(group allowance.Group) {
	defer registry.wakeLists()
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.tenures == nil {
		registry.tenures = map[allowance.Group]tenure{}
	}
	registry.tenures[group] = tenure{Tenure: homes.Tenure{Host: "(not read yet)"}}
}

// ApplyStatus takes what a daemon says of its tenures: lists of the records are
// rare, and links tell at once who took a tenure or gave it up.
func (registry *Registry) ApplyStatus(status balsamproxy.Status) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for group, found := range registry.tenures {
		if found.Host == status.Host && !slices.Contains(status.Homes, int(group)) {
			if status.Stopping && found.Incarnation == status.Incarnation {
				registry.endedLocked(group, found.Tenure)
			}
			delete(registry.tenures, group)
			registry.freeLocked(group, registry.Clock.Boot())
		}
	}
	for index, home := range status.Homes {
		group := allowance.Group(home)
		former := homes.PreviousHome{Host: status.Host, Incarnation: status.Incarnation}
		if index < len(status.Backups) {
			former.Backup = status.Backups[index]
		}
		registry.setFormerLocked(group, former)
		if registry.tenures == nil {
			registry.tenures = map[allowance.Group]tenure{}
		}
		registry.tenures[group] = tenure{Tenure: homes.Tenure{Host: status.Host, Incarnation: status.Incarnation}}
		delete(registry.freeSince, group)
	}
}

// endedLocked notes that a home said that it holds a tenure no more, and cannot
// take it again soon.
func (registry *Registry) endedLocked(group allowance.Group, tenure homes.Tenure) {
	if registry.ended == nil {
		registry.ended = map[allowance.Group]string{}
	}
	registry.ended[group] = tenure.Incarnation
	registry.setFormerLocked(group, homes.PreviousHome{Host: tenure.Host, Incarnation: tenure.Incarnation, Closed: true})
}

// Holds says whether this daemon is home of a group at an instant, and since
// when.
func (registry *Registry) Holds(group allowance.Group, now balsamproxy.BootTime) (balsamproxy.BootTime, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	since, holds := registry.held[group]
	if !holds || !registry.leaseHoldsLocked(now) && !registry.promiseHoldsLocked(group, now) {
		return 0, false
	}
	return since, true
}

// Held returns the groups that this daemon holds.
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

// RecordedHome returns the host that the store showed as home of a group.
func (registry *Registry) RecordedHome(group allowance.Group) (balsamproxy.HostID, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	found, stands := registry.tenures[group]
	return found.Host, stands
}

// Backups returns the hosts that may follow this daemon, in the order of Held.
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
