package standing

import (
	"slices"

	"balsamproxy"
)

// PreviousHosts returns the hosts of a roster before its last change.
func PreviousHosts(roster balsamproxy.Roster) []balsamproxy.HostID {
	if roster.Added {
		return slices.DeleteFunc(slices.Clone(roster.Hosts), func(host balsamproxy.HostID) bool {
			return host == roster.Changed
		})
	}
	if roster.Changed == "" {
		return roster.Hosts
	}
	return append(slices.Clone(roster.Hosts), roster.Changed)
}

// AddHost returns a copy of the roster with a host added.
func AddHost(roster balsamproxy.Roster, host balsamproxy.HostID) balsamproxy.Roster {
	hosts := append(slices.Clone(roster.Hosts), host)
	slices.Sort(hosts)
	return balsamproxy.Roster{Hosts: hosts, Changed: host, Added: true}
}

// RemoveHost returns a copy of the roster with a host removed.
func RemoveHost(roster balsamproxy.Roster, host balsamproxy.HostID) balsamproxy.Roster {
	hosts := slices.DeleteFunc(slices.Clone(roster.Hosts), func(other balsamproxy.HostID) bool {
		return other == host
	})
	return balsamproxy.Roster{Hosts: hosts, Changed: host}
}

// Majority reports whether matches holds for more than half of the hosts.
func Majority(hosts []balsamproxy.HostID, matches func(balsamproxy.HostID) bool) bool {
	count := 0
	for _, host := range hosts {
		if matches(host) {
			count++
		}
	}
	return 2*count > len(hosts)
}

// MayChange reports whether a roster may be changed again. More than half of
// the hosts before its last change must hold it, since otherwise two changes
// could produce majorities that have no host in common.
func MayChange(roster balsamproxy.Roster, holds func(balsamproxy.HostID) bool) bool {
	before := PreviousHosts(roster)
	return len(before) == 0 || Majority(before, holds)
}
