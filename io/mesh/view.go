package mesh

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/membership"
)

// replacedTTL is how long a host is not dialled after another host answered at its
// address. Its record in the store expires within that time.
const replacedTTL = 20 * time.Second

// greetingTTL is how long a host is dialled that has sent a greeting but has no
// record in the store, from the greeting or the loss of the link to it.
const greetingTTL = 10 * time.Second

// view is this daemon's knowledge of its peers. Addresses come from the store and
// from greetings, everything else from the links to the peers. It is safe for
// concurrent use.
type view struct {
	host balsamproxy.HostID
	// dataCentre is the data centre of this host.
	dataCentre balsamproxy.DataCentreID

	table *membership.Table
	log   zerolog.Logger
	now   func() time.Time

	mutex     sync.Mutex
	revision  balsamproxy.Revision
	members   map[balsamproxy.HostID]balsamproxy.Member
	greetings map[balsamproxy.HostID]greeting
	statuses  map[balsamproxy.HostID]balsamproxy.Status
	// replaced holds the hosts at whose address another host answered, with the
	// time when it did.
	replaced map[balsamproxy.HostID]time.Time
	// former holds the last status of the former runs of daemons.
	former map[balsamproxy.HostID]formerRun
	homes  map[allowance.Group]balsamproxy.HostID
}

// formerRun is the last status that a run of a daemon sent.
type formerRun struct {
	status balsamproxy.Status
	at     time.Time
}

type greeting struct {
	address    string
	dataCentre balsamproxy.DataCentreID
	at         time.Time
}

func newView(host balsamproxy.HostID, dataCentre balsamproxy.DataCentreID, table *membership.Table, log zerolog.Logger, now func() time.Time) *view {
	return &view{
		host: host,

		dataCentre: dataCentre,

		table:     table,
		log:       log,
		now:       now,
		members:   map[balsamproxy.HostID]balsamproxy.Member{},
		greetings: map[balsamproxy.HostID]greeting{},
		statuses:  map[balsamproxy.HostID]balsamproxy.Status{},
		homes:     map[allowance.Group]balsamproxy.HostID{},

		replaced: map[balsamproxy.HostID]time.Time{},
		former:   map[balsamproxy.HostID]formerRun{},
	}
}

// markReplaced records that another host answered at the address of a host.
func (view *view) markReplaced(host balsamproxy.HostID) {
	view.mutex.Lock()
	view.replaced[host] = view.now()
	delete(view.greetings, host)
	view.mutex.Unlock()
	view.log.Info().Str("event", "peer-replaced").Str("peer", string(host)).Send()
}

// isReplacedLocked reports whether a host is not to be dialled for now because
// another one answered at its address.
func (view *view) isReplacedLocked(host balsamproxy.HostID, now time.Time) bool {
	at, found := view.replaced[host]
	if found && now.Sub(at) > replacedTTL {
		delete(view.replaced, host)
		return false
	}
	return found
}

// setMembers replaces the member records read from the store.
func (view *view) setMembers(members []balsamproxy.Member) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.members = map[balsamproxy.HostID]balsamproxy.Member{}
	for _, member := range members {
		view.members[member.Host] = member
	}
}

// recordGreeting records the address of a daemon that has dialled this one. The
// rest of its status is not used: that requires a link to the daemon.
func (view *view) recordGreeting(status balsamproxy.Status) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.greetings[status.Host] = greeting{address: status.PeerAddress, dataCentre: status.DataCentre, at: view.now()}
	delete(view.replaced, status.Host)
}

// update applies the status that a daemon sent over the link to it, and reports whether
// the link is new.
func (view *view) update(status balsamproxy.Status) bool {
	view.mutex.Lock()
	before, known := view.statuses[status.Host]
	if known && before.Incarnation != status.Incarnation {
		view.setFormerLocked(before)
	}
	view.statuses[status.Host] = status
	for group, host := range view.homes {
		if host == status.Host && !slices.Contains(status.Homes, int(group)) {
			delete(view.homes, group)
		}
	}
	for _, group := range status.Homes {
		view.homes[allowance.Group(group)] = status.Host
	}
	view.updateTableLocked(status)
	view.mutex.Unlock()
	if !known {
		view.log.Info().Str("event", "dependency-regained").Str("dependency", "peer").Str("peer", string(status.Host)).
			Str("incarnation", status.Incarnation).Send()
		return true
	}
	if before.Leaving != status.Leaving || !slices.Equal(before.Targets, status.Targets) {
		view.log.Info().Str("event", "peer-changed").Str("peer", string(status.Host)).Bool("leaving", status.Leaving).
			Int("targets", len(status.Targets)).Send()
	}
	return before.Incarnation != status.Incarnation
}

// setFormerLocked records the last status of a run that has ended, and drops those that no
// later run asks for any more.
func (view *view) setFormerLocked(last balsamproxy.Status) {
	now := view.now()
	maps.DeleteFunc(view.former, func(_ balsamproxy.HostID, former formerRun) bool { return now.Sub(former.at) > custodyTTL })
	view.former[last.Host] = formerRun{status: last, at: now}
}

// formerTargets returns the targets that accepted calls when a daemon last sent its
// status before the given run, and false if that is not known.
func (view *view) formerTargets(host balsamproxy.HostID, incarnation string) ([]balsamproxy.TargetID, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	status, found := view.statuses[host]
	if !found || status.Incarnation == incarnation {
		former, known := view.former[host]
		if !known || former.status.Incarnation == incarnation || view.now().Sub(former.at) > custodyTTL {
			return nil, false
		}
		status = former.status
	}
	var targets []balsamproxy.TargetID
	for _, target := range status.Targets {
		if target.State != balsamproxy.TargetDraining {
			targets = append(targets, target.ID)
		}
	}
	return targets, true
}

// keepsRecordsOf reports whether a peer has said that it keeps the records of a host.
func (view *view) keepsRecordsOf(peer, host balsamproxy.HostID) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return slices.Contains(view.statuses[peer].Custody, host)
}

// crashDigests returns the digests of the crashes that the linked peers know.
func (view *view) crashDigests() map[balsamproxy.HostID]uint64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	digests := make(map[balsamproxy.HostID]uint64, len(view.statuses))
	for host, status := range view.statuses {
		digests[host] = status.CrashDigest
	}
	return digests
}

// otherMembers returns the number of other hosts that are known.
func (view *view) otherMembers() int {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	others := len(view.members)
	if _, found := view.members[view.host]; found {
		others--
	}
	return max(others, len(view.statuses))
}

// updateTableLocked writes the targets of a daemon to the membership table, from
// which calls are routed.
func (view *view) updateTableLocked(status balsamproxy.Status) {
	view.revision++
	view.table.Put(balsamproxy.Member{
		Host:        status.Host,
		DataCentre:  status.DataCentre,
		PeerAddress: status.PeerAddress,
		Incarnation: status.Incarnation,
		Leaving:     status.Leaving,
		Targets:     status.Targets,
	}, view.revision)
}

// updateLocal applies the status of this daemon to the table. Its Leaving flag is
// cleared, since it concerns calls of peers only.
func (view *view) updateLocal(status balsamproxy.Status) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	status.Leaving = false
	view.updateTableLocked(status)
}

// remove removes the status of a host after the link to it was lost.
func (view *view) remove(host balsamproxy.HostID) {
	view.mutex.Lock()
	last, known := view.statuses[host]
	if known {
		view.setFormerLocked(last)
		if greeting, found := view.greetings[host]; found {
			// It may start again while the store does not tell its address.
			greeting.at = view.now()
			view.greetings[host] = greeting
		}
	}
	delete(view.statuses, host)
	view.revision++
	view.table.Remove(host, view.revision)
	view.mutex.Unlock()
	if known {
		view.log.Warn().Str("event", "dependency-lost").Str("dependency", "peer").Str("peer", string(host)).Send()
	}
}

// Member returns the address of a host. Greetings take precedence over the store.
func (view *view) Member(host balsamproxy.HostID) (balsamproxy.Member, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	greeting, found := view.greetings[host]
	member, known := view.members[host]
	if found {
		return balsamproxy.Member{Host: host, DataCentre: greeting.dataCentre, PeerAddress: greeting.address}, true
	}
	return member, known
}

// isRemote reports whether a host is in another data centre, where traffic is
// expensive.
func (view *view) isRemote(member balsamproxy.Member) bool {
	return member.DataCentre != view.dataCentre
}

// hostsToDial returns the known hosts without a link, except replaced ones.
func (view *view) hostsToDial() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{}
	now := view.now()
	for host := range view.members {
		if _, linked := view.statuses[host]; !linked && host != view.host && !view.isReplacedLocked(host, now) {
			hosts = append(hosts, host)
		}
	}
	for host, greeting := range view.greetings {
		_, linked := view.statuses[host]
		_, known := view.members[host]
		if !known && !linked && now.Sub(greeting.at) > greetingTTL {
			delete(view.greetings, host)
			continue
		}
		if !known && !linked && host != view.host {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// availableHosts returns the hosts that can take tenures.
func (view *view) availableHosts() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{view.host}
	for host, status := range view.statuses {
		if !status.Leaving && !status.Stopping {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// linkedHosts returns the hosts with a link that are not shutting down.
func (view *view) linkedHosts() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{view.host}
	for host, status := range view.statuses {
		if !status.Leaving {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// linkedNearby returns those of the linked hosts that are in this data centre.
func (view *view) linkedNearby() []balsamproxy.HostID {
	hosts := view.linkedHosts()
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return slices.DeleteFunc(hosts, func(host balsamproxy.HostID) bool {
		return host != view.host && view.statuses[host].DataCentre != view.dataCentre
	})
}

// readerCandidates returns the hosts of this data centre that can read the store
// for the others.
func (view *view) readerCandidates() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{view.host}
	for host, status := range view.statuses {
		if status.DataCentre == view.dataCentre && !status.Leaving && !status.Stopping && status.Config > 0 {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// home returns the host that has announced that it is home of a group.
func (view *view) home(group allowance.Group) (balsamproxy.HostID, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	host, found := view.homes[group]
	return host, found
}

// forgetHomes drops the announced homes, until the hosts announce them again.
func (view *view) forgetHomes() {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.homes = map[allowance.Group]balsamproxy.HostID{}
}
