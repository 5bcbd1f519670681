package standing

import (
	"slices"

	"balsamproxy"
)

// PreviousHosts returns the hosts of a roster before its last step.
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

// AddHost returns the roster with one more host.
func AddHost(roster balsamproxy.Roster, host balsamproxy.HostID) balsamproxy.Roster {
	hosts := append(slices.Clone(roster.Hosts), host)
	slices.Sort(hosts)
	return balsamproxy.Roster{Hosts: hosts, Changed: host, Added: true}
}

// RemoveHost returns the roster with one host less.
func RemoveHost(roster balsamproxy.Roster, host balsamproxy.HostID) balsamproxy.Roster {
	hosts := slices.DeleteFunc(slices.Clone(roster.Hosts), func(other balsamproxy.HostID) bool {
		return other == host
	})
	return balsamproxy.Roster{Hosts: hosts, Changed: host}
}

// Majority says whether more than half of the hosts are among those named.
func Majority(hosts []balsamproxy.HostID, named func(balsamproxy.HostID) bool) bool {
	count := 0
	for _, host := range hosts {
		if named(host) {
			count++
		}
	}
	return 2*count > len(hosts)
}

// MayChange says whether a roster may be changed: more than half of the hosts
// before its last step must hold it. Otherwise two steps could leave
// majorities that share no host.
func MayChange(roster balsamproxy.Roster, holds func(balsamproxy.HostID) bool) bool {
	before := PreviousHosts(roster)
	return len(before) == 0 || Majority(before, holds)
}
