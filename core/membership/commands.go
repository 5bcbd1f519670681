package membership

import (
	"slices"

	"balsamproxy"
)

// Put takes the record that a member published at a revision. An older
// revision than the one held changes nothing. It says whether the table
// changed.
func (table *Table) Put(member balsamproxy.Member, revision balsamproxy.Revision) bool {
	table.hosts.Lock()
	defer table.hosts.Unlock()
	if table.hosts.members == nil {
		table.hosts.members = map[balsamproxy.HostID]record{}
	}
	held, found := table.hosts.members[member.Host]
	if found && revision <= held.revision {
		return false
	}
	table.hosts.members[member.Host] = record{member: member, revision: revision}
	table.replaceEndpoints(held.member, member)
	return true
}

// Remove drops a member whose record ended at a revision, unless a later
// record is held.
func (table *Table) Remove(host balsamproxy.HostID, revision balsamproxy.Revision) bool {
	table.hosts.Lock()
	defer table.hosts.Unlock()
	held, found := table.hosts.members[host]
	if !found || revision < held.revision {
		return false
	}
	delete(table.hosts.members, host)
	table.replaceEndpoints(held.member, balsamproxy.Member{Host: host})
	return true
}

// MarkLeaving takes the targets of a host out, ahead of its record.
func (table *Table) MarkLeaving(host balsamproxy.HostID) {
	table.hosts.Lock()
	defer table.hosts.Unlock()
	held, found := table.hosts.members[host]
	if !found {
		return
	}
	before := held.member
	held.member.Leaving = true
	table.hosts.members[host] = held
	table.replaceEndpoints(before, held.member)
}

// ApplySnapshot makes the table equal to a snapshot taken at a revision: members
// that the snapshot lacks are dropped, unless their record is later.
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

// replaceEndpoints changes each service of the old or the new record once, so
// that no reader sees a service without the targets that both records have.
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

// endpointsOf returns the targets of a member and a service that take work.
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
