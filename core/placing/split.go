package placing

import (
	"sync"

	"balsamproxy"
	"balsamproxy/core/config"
)

// Split deals the requests of split routes out to their parts, so that each
// part gets its weight exactly over time. Its zero value works.
type Split struct {
	mutex  sync.Mutex
	routes map[balsamproxy.RouteID]map[balsamproxy.ServiceID]int
}

// Next returns the service of the next request of a route: the one that is
// furthest behind its weight.
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
	behind, found := split.routes[route.ID]
	if !found {
		behind = map[balsamproxy.ServiceID]int{}
		split.routes[route.ID] = behind
	}
	whole := 0
	next := parts[0].Service
	for _, part := range parts {
		whole += part.Weight
		behind[part.Service] += part.Weight
		if behind[part.Service] > behind[next] && part.Weight > 0 {
			next = part.Service
		}
	}
	behind[next] -= whole
	return next
}
