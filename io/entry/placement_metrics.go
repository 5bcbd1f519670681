package entry

import (
	"github.com/uber-go/tally/v4"

	"balsamproxy/core/placement"
)

// utilizationBuckets range from idle to a queue of half the slots.
var utilizationBuckets = tally.MustMakeLinearValueBuckets(0.1, 0.1, 15)

// recordChoice records why a target was selected, and its estimated utilization.
// Policies that do not estimate it give no reason.
func (entry *Entry) recordChoice(choice placement.Choice) {
	if choice.Reason == "" {
		return
	}
	scope := entry.Metrics.Tagged(map[string]string{"reason": string(choice.Reason)})
	scope.Counter("placements").Inc(1)
	scope.Histogram("placement_utilization", utilizationBuckets).RecordValue(choice.Utilization)
}
