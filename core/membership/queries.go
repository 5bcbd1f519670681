package membership

import (
	"slices"

	"balsamproxy"
)

// Endpoints returns the targets of a service that accept new work. The caller
// must not modify the slice.
func (table *Table) Endpoints(service balsamproxy.ServiceID) []Endpoint {
	endpoints, _ := table.services.Get(service)
	return endpoints
}

// Member returns the member record of a host.
func (table *Table) Member(host balsamproxy.HostID) (balsamproxy.Member, bool) {
	table.hosts.RLock()
	defer table.hosts.RUnlock()
	stored, found := table.hosts.members[host]
	return stored.member, found
}

// Hosts returns all hosts, sorted by name.
func (table *Table) Hosts() []balsamproxy.HostID {
	table.hosts.RLock()
	defer table.hosts.RUnlock()
	hosts := make([]balsamproxy.HostID, 0, len(table.hosts.members))
	for host := range table.hosts.members {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}
