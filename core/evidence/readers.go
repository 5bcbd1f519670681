package evidence

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
)

// ReaderOrder returns hosts in the order in which they should read the store
// on behalf of the others. Daemons that know the same hosts compute the same
// order. A disagreement only changes the number of calls to the store.
func ReaderOrder(hosts []balsamproxy.HostID) []balsamproxy.HostID {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(left, right balsamproxy.HostID) int {
		leftHash, rightHash := xxhash.Sum64String(string(left)), xxhash.Sum64String(string(right))
		switch {
		case leftHash > rightHash:
			return -1
		case leftHash < rightHash:
			return 1
		default:
			return 0
		}
	})
	return ordered
}
