package placement

import (
	"sync"

	"balsamproxy"
	"balsamproxy/core/config"
)

// Split distributes the requests of split routes over their services by smooth
// weighted round-robin, so that over time each service gets exactly its
// weight. The zero value is ready to use.
type Split struct {
	mutex  sync.Mutex
	routes map[balsamproxy.RouteID]map[balsamproxy.ServiceID]int
}

// Next returns the service for the next request of a route: the one with the
// largest deficit against its weight.
func (split *Split) Next(route config.Route) balsamproxy.ServiceID {
	parts := route.WeightedServices()
	if len(parts) == 1 {
		return parts[0].Service
	}
	split.mutex.Lock()
	defer split.mutex.Unlock()
	if split.routes == nil {
		split.routes = map[balsamproxy.RouteID]map[balsamproxy.ServiceID]int{}
	}
	deficits, found := split.routes[route.ID]
	if !found {
		deficits = map[balsamproxy.ServiceID]int{}
		split.routes[route.ID] = deficits
	}
	totalWeight := 0
	next := parts[0].Service
	for _, part := range parts {
		totalWeight += part.Weight
		deficits[part.Service] += part.Weight
		if deficits[part.Service] > deficits[next] && part.Weight > 0 {
			next = part.Service
		}
	}
	deficits[next] -= totalWeight
	return next
}
