package allowance

import (
	"slices"

	"balsamproxy"
	"balsamproxy/core/rendezvous"
)

// MaxHomes is the maximum number of homes of a group.
const MaxHomes = 9

// HostLocation is a host and the data centre that it runs in.
type HostLocation struct {
	Host       balsamproxy.HostID
	DataCentre balsamproxy.DataCentreID
}

// AssignHomes chooses the homes of all groups: at most one host per data
// centre, by rendezvous hashing, so that few homes move when hosts join or
// leave.
func AssignHomes(locations []HostLocation) Homes {
	homes := Homes{Groups: make([][]balsamproxy.HostID, Groups)}
	for group := range homes.Groups {
		homes.Groups[group] = assignGroup(Group(group), locations)
	}
	return homes
}

func assignGroup(group Group, locations []HostLocation) []balsamproxy.HostID {
	ranked := slices.Clone(locations)
	slices.SortFunc(ranked, func(left, right HostLocation) int {
		return rendezvous.Compare(uint64(group), left.Host, right.Host)
	})
	used := map[balsamproxy.DataCentreID]bool{}
	chosen := []balsamproxy.HostID{}
	for _, location := range ranked {
		if !used[location.DataCentre] && len(chosen) < MaxHomes {
			used[location.DataCentre] = true
			chosen = append(chosen, location.Host)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// Equal reports whether both documents assign the same homes.
func (homes Homes) Equal(other Homes) bool {
	return slices.EqualFunc(homes.Groups, other.Groups, slices.Equal[[]balsamproxy.HostID])
}
