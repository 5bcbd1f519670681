package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/membership"
)

// misplacedFor is how long a host is not dialled at whose address another one
// answered: its record ends in that time.
const misplacedFor = 20 * time.Second

// greetedFor is how long a host that only greeted this daemon is dialled.
const greetedFor = 10 * time.Second

// view is what this daemon knows of the others: their addresses from the
// store and from greetings, all else from their links.
type view struct {
	host balsamproxy.HostID
	// dataCentre is the data centre of this host.
	dataCentre balsamproxy.DataCentreID

	table *membership.Table
	log   zerolog.Logger
	now   func() time.Time

	mutex    sync.Mutex
	revision balsamproxy.Revision
	listed   map[balsamproxy.HostID]balsamproxy.Member
	greeted  map[balsamproxy.HostID]greeting
	live     map[balsamproxy.HostID]balsamproxy.Status
	// misplaced are the hosts at whose address another one answered.
	misplaced map[balsamproxy.HostID]time.Time
	homes     map[allowance.Group]balsamproxy.HostID
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

		table:   table,
		log:     log,
		now:     now,
		listed:  map[balsamproxy.HostID]balsamproxy.Member{},
		greeted: map[balsamproxy.HostID]greeting{},
		live:    map[balsamproxy.HostID]balsamproxy.Status{},
		homes:   map[allowance.Group]balsamproxy.HostID{},

		misplaced: map[balsamproxy.HostID]time.Time{},
	}
}

// misplace notes that another host answered at the address of a host.
func (view *view) misplace(host balsamproxy.HostID) {
	view.mutex.Lock()
	view.misplaced[host] = view.now()
	delete(view.greeted, host)
	view.mutex.Unlock()
	view.log.Info().Str("event", "peer-replaced").Str("peer", string(host)).Send()
}

// isMisplacedLocked says whether a host should not be dialled for now.
func (view *view) isMisplacedLocked(host balsamproxy.HostID, now time.Time) bool {
	at, found := view.misplaced[host]
	if found && now.Sub(at) > misplacedFor {
		delete(view.misplaced, host)
		return false
	}
	return found
}

// list takes the records of the store.
func (view *view) list(members []balsamproxy.Member) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.listed = map[balsamproxy.HostID]balsamproxy.Member{}
	for _, member := range members {
		view.listed[member.Host] = member
	}
}

// greet takes what a dialling daemon says of itself. Nothing but its address
// is used: the rest is only as good as a link to it.
func (view *view) greet(status balsamproxy.Status) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.greeted[status.Host] = greeting{address: status.PeerAddress, dataCentre: status.DataCentre, at: view.now()}
	delete(view.misplaced, status.Host)
}

// learn takes what a daemon says over the link to it.
func (view *view) learn(status balsamproxy.Status) {
	view.mutex.Lock()
	before, known := view.live[status.Host]
	view.live[status.Host] = status
	for group, host := range view.homes {
		if host == status.Host && !slices.Contains(status.Homes, int(group)) {
			delete(view.homes, group)
		}
	}
	for _, group := range status.Homes {
		view.homes[allowance.Group(group)] = status.Host
	}
	view.putLocked(status)
	view.mutex.Unlock()
	if !known {
		view.log.Info().Str("event", "dependency-regained").Str("dependency", "peer").Str("peer", string(status.Host)).
			Str("incarnation", status.Incarnation).Send()
		return
	}
	if before.Leaving != status.Leaving || !slices.Equal(before.Targets, status.Targets) {
		view.log.Info().Str("event", "peer-changed").Str("peer", string(status.Host)).Bool("leaving", status.Leaving).
			Int("targets", len(status.Targets)).Send()
	}
}

// putLocked puts a daemon's targets where calls find them.
func (view *view) putLocked(status balsamproxy.Status) {
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

// own takes what this daemon says of itself.
func (view *view) own(status balsamproxy.Status) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	status.Leaving = false
	view.putLocked(status)
}

// lose notes that the link to a host has ended.
func (view *view) lose(host balsamproxy.HostID) {
	view.mutex.Lock()
	_, known := view.live[host]
	delete(view.live, host)
	view.revision++
	view.table.Remove(host, view.revision)
	view.mutex.Unlock()
	if known {
		view.log.Warn().Str("event", "dependency-lost").Str("dependency", "peer").Str("peer", string(host)).Send()
	}
}

// Member returns the address of a host.
func (view *view) Member(host balsamproxy.HostID) (balsamproxy.Member, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	greeted, found := view.greeted[host]
	listed, known := view.listed[host]
	if found {
		return balsamproxy.Member{Host: host, DataCentre: greeted.dataCentre, PeerAddress: greeted.address}, true
	}
	return listed, known
}

// isFar says whether a host is in another data centre: bytes on the way there
// are dear.
func (view *view) isFar(member balsamproxy.Member) bool {
	return member.DataCentre != view.dataCentre
}

// wanted returns the hosts that should be dialled.
func (view *view) wanted() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{}
	now := view.now()
	for host := range view.listed {
		if _, linked := view.live[host]; !linked && host != view.host && !view.isMisplacedLocked(host, now) {
			hosts = append(hosts, host)
		}
	}
	for host, greeted := range view.greeted {
		_, linked := view.live[host]
		_, known := view.listed[host]
		if !known && !linked && now.Sub(greeted.at) > greetedFor {
			delete(view.greeted, host)
			continue
		}
		if !known && !linked && host != view.host {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// present returns the hosts that can take tenures.
func (view *view) present() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{view.host}
	for host, status := range view.live {
		if !status.Leaving && !status.Stopping {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// neighbours returns the hosts of the own data centre that can take duties.
func (view *view) neighbours() []balsamproxy.HostID {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	hosts := []balsamproxy.HostID{view.host}
	for host, status := range view.live {
		if status.DataCentre == view.dataCentre && !status.Leaving && !status.Stopping && status.Config > 0 {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// home returns the host that said that it is home of a group.
func (view *view) home(group allowance.Group) (balsamproxy.HostID, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	host, found := view.homes[group]
	return host, found
}
