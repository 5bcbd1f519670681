package balsamproxy

// MemberFinder looks up the published record of a host.
type MemberFinder interface {
	// Member returns the record of a host and whether it was found.
	Member(host HostID) (Member, bool)
}

// HostLister lists the hosts of the fleet.
type HostLister interface {
	// Hosts returns all present hosts, sorted by name.
	Hosts() []HostID
}
