package membership

import (
	"slices"

	"balsamproxy"
)

// Put stores the record that a member published at a revision, and reports
// whether the table changed. A revision that is not newer than the stored one is
// ignored.
func (table *Table) Put(member balsamproxy.Member, revision balsamproxy.Revision) bool {
	table.hosts.Lock()
	defer table.hosts.Unlock()
	if table.hosts.members == nil {
		table.hosts.members = map[balsamproxy.HostID]record{}
	}
	stored, found := table.hosts.members[member.Host]
	if found && revision <= stored.revision {
		return false
	}
	table.hosts.members[member.Host] = record{member: member, revision: revision}
	table.replaceEndpoints(stored.member, member)
	return true
}

// Remove deletes a member whose record was removed from the store at a revision,
// unless the table holds a newer record. It reports whether the table changed.
func (table *Table) Remove(host balsamproxy.HostID, revision balsamproxy.Revision) bool {
	table.hosts.Lock()
	defer table.hosts.Unlock()
	stored, found := table.hosts.members[host]
	if !found || revision < stored.revision {
		return false
	}
	delete(table.hosts.members, host)
	table.replaceEndpoints(stored.member, balsamproxy.Member{Host: host})
	return true
}

// MarkLeaving removes the targets of a host from its services before the host's
// own record says that it is leaving.
func (table *Table) MarkLeaving(host balsamproxy.HostID) {
	table.hosts.Lock()
	defer table.hosts.Unlock()
	stored, found := table.hosts.members[host]
	if !found {
		return
	}
	before := stored.member
	stored.member.Leaving = true
	table.hosts.members[host] = stored
	table.replaceEndpoints(before, stored.member)
}

// ApplySnapshot replaces the contents of the table by a snapshot taken at a
// revision. Records in the table that are newer than the snapshot are kept.
func (table *Table) ApplySnapshot(members []balsamproxy.Member, revisions []balsamproxy.Revision, at balsamproxy.Revision) {
	kept := map[balsamproxy.HostID]bool{}
	for index, member := range members {
		kept[member.Host] = true
		table.Put(member, revisions[index])
	}
	for _, host := range table.Hosts() {
		if !kept[host] {
			table.Remove(host, at)
		}
	}
}

// replaceEndpoints updates each service of the old or the new record exactly
// once, so that targets in both records stay visible to readers throughout.
func (table *Table) replaceEndpoints(before, after balsamproxy.Member) {
	for service := range servicesOf(before, after) {
		table.services.Update(service, func(endpoints []Endpoint) []Endpoint {
			others := slices.DeleteFunc(slices.Clone(endpoints), func(endpoint Endpoint) bool {
				return endpoint.Host == after.Host
			})
			return append(others, endpointsOf(after, service)...)
		})
		table.services.DeleteIf(service, func(endpoints []Endpoint) bool {
			return len(endpoints) == 0
		})
	}
}

func servicesOf(members ...balsamproxy.Member) map[balsamproxy.ServiceID]bool {
	services := map[balsamproxy.ServiceID]bool{}
	for _, member := range members {
		for _, target := range member.Targets {
			services[target.Service] = true
		}
	}
	return services
}

// endpointsOf returns the endpoints of a service on a member that accept work.
func endpointsOf(member balsamproxy.Member, service balsamproxy.ServiceID) []Endpoint {
	if member.Leaving {
		return nil
	}
	var endpoints []Endpoint
	for _, target := range member.Targets {
		if target.Service != service || target.State == balsamproxy.TargetDraining {
			continue
		}
		endpoint := Endpoint{Host: member.Host, DataCentre: member.DataCentre, Target: target}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
