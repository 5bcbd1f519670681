package entry

import (
	"context"
	"net/http"
	"time"

	"balsamproxy"
	"balsamproxy/core/pricing"
	"balsamproxy/core/throttle"
)

// checkPrice sheds the request if what it costs at a service that is short of capacity
// is better spent on others. Nested requests are not shed, since work has been spent on
// them.
func (transaction *transaction) checkPrice(context.Context) *balsamproxy.Refusal {
	entry := transaction.entry
	if transaction.nested || entry.Prices == nil {
		return nil
	}
	now := entry.Clock.Now()
	arrival := pricing.Arrival{Class: transaction.priceClass(), Left: transaction.caller.Timeout}
	if entry.Prices.Admit(arrival, entry.Random(), now) {
		transaction.pricedAt = now
		return nil
	}
	entry.Metrics.Tagged(map[string]string{"route": string(transaction.route.ID)}).Counter("shed_by_cost").Inc(1)
	// Random, so that shed callers do not return at the same time.
	return throttle.Refuse(overloadedRetryAfter + time.Duration(entry.Random()*float64(transaction.objective()/shedRetryDivisor)))
}

func (transaction *transaction) priceClass() pricing.Class {
	return pricing.Class{
		Route:    transaction.route.ID,
		Priority: transaction.index.Priority(transaction.account, transaction.route),
	}
}

// recordCosts reports what the request cost to the prices of this daemon or, if a
// target of this host made it, to the costs of that target.
func (transaction *transaction) recordCosts() {
	entry := transaction.entry
	switch {
	case transaction.nested && entry.RecordCall != nil:
		entry.RecordCall(transaction.costs(), transaction.response == nil || transaction.response.Head.Status >= http.StatusInternalServerError)
	case entry.Prices != nil && !transaction.pricedAt.IsZero():
		entry.Prices.Record(transaction.priceClass(), transaction.costs(), transaction.pricedAt, entry.Clock.Now())
	}
}

// costs returns what the response or refusal reports about the services that the
// request used.
func (transaction *transaction) costs() []balsamproxy.ServiceCost {
	switch {
	case transaction.response != nil:
		return transaction.response.Head.Costs
	case transaction.refusal != nil && transaction.refusal.Congestion() == balsamproxy.CongestionRejected:
		return []balsamproxy.ServiceCost{{Service: transaction.service, Pressure: pricing.RejectedPressure}}
	default:
		return nil
	}
}
