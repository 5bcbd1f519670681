package allowance

import (
	"slices"

	"balsamproxy"
	"balsamproxy/core/rendezvous"
)

// MaxHomes is the largest number of homes of a group.
const MaxHomes = 9

// HostLocation is a host and where it stands.
type HostLocation struct {
	Host       balsamproxy.HostID
	DataCentre balsamproxy.DataCentreID
}

// AssignHomes chooses the homes of all groups: one host in each data centre, by
// rendezvous hashing, so that few homes move when hosts come and go.
func AssignHomes(places []HostLocation) Homes {
	homes := Homes{Groups: make([][]balsamproxy.HostID, Groups)}
	for group := range homes.Groups {
		homes.Groups[group] = assignGroup(Group(group), places)
	}
	return homes
}

func assignGroup(group Group, places []HostLocation) []balsamproxy.HostID {
	ranked := slices.Clone(places)
	slices.SortFunc(ranked, func(left, right HostLocation) int {
		return rendezvous.Compare(uint64(group), left.Host, right.Host)
	})
	taken := map[balsamproxy.DataCentreID]bool{}
	chosen := []balsamproxy.HostID{}
	for _, place := range ranked {
		if !taken[place.DataCentre] && len(chosen) < MaxHomes {
			taken[place.DataCentre] = true
			chosen = append(chosen, place.Host)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// Equal says whether two documents name the same homes.
func (homes Homes) Equal(other Homes) bool {
	return slices.EqualFunc(homes.Groups, other.Groups, slices.Equal[[]balsamproxy.HostID])
}
