// Package rendezvous selects hosts by rendezvous hashing, so that few selections
// change when hosts are added or removed. A selection is only a hint: correctness
// must not depend on two hosts making the same one.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
)

// Weight returns the rendezvous hash of a host for a key.
func Weight(key uint64, host balsamproxy.HostID) uint64 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

// Compare sorts hosts by descending weight for a key, and by name if the weights
// are equal.
func Compare(key uint64, left, right balsamproxy.HostID) int {
	return cmp.Or(
		cmp.Compare(Weight(key, right), Weight(key, left)),
		cmp.Compare(left, right),
	)
}

// First returns the host with the highest weight for a key, or an empty id if
// there are no hosts.
func First(key uint64, hosts []balsamproxy.HostID) balsamproxy.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, func(left, right balsamproxy.HostID) int {
		return Compare(key, left, right)
	})
}
