package target

import (
	"time"

	"balsamproxy"
)

// RecordCall records what a call made by a target of this host cost, and whether it
// failed.
func (local *Local) RecordCall(costs []balsamproxy.ServiceCost, failed bool) {
	if local.Costs != nil {
		local.Costs.RecordCall(costs, failed, local.Clock.Now())
	}
}

func (delivery *delivery) beginRequest(now time.Time) {
	if delivery.local.Costs != nil {
		delivery.local.Costs.Begin(delivery.call.Head.Route, now)
	}
}

func (delivery *delivery) endRequest(now time.Time) {
	if delivery.local.Costs != nil {
		delivery.local.Costs.End(delivery.call.Head.Route, now)
	}
}

// costs returns what a request of the route uses of the target and of the services
// that the target calls, nil if costs are not reported.
func (delivery *delivery) costs(load balsamproxy.Load) []balsamproxy.ServiceCost {
	local := delivery.local
	if local.Costs == nil {
		return nil
	}
	head := delivery.call.Head
	local.mutex.Lock()
	work := delivery.queue.controller.ServiceTime(head.Route).Round(time.Millisecond)
	local.mutex.Unlock()
	own := balsamproxy.ServiceCost{Service: head.Service, Work: work, Pressure: load.Pressure}
	return append([]balsamproxy.ServiceCost{own}, local.Costs.Costs(head.Route, local.Clock.Now())...)
}
