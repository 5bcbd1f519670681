package evidence

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
)

// ReaderOrder returns hosts in the order in which they should read the store for
// the others. Daemons that know the same hosts agree on it; nothing depends on
// that but the number of calls to the store.
func ReaderOrder(hosts []balsamproxy.HostID) []balsamproxy.HostID {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(left, right balsamproxy.HostID) int {
		first, second := xxhash.Sum64String(string(left)), xxhash.Sum64String(string(right))
		switch {
		case first > second:
			return -1
		case first < second:
			return 1
		default:
			return 0
		}
	})
	return ordered
}
