package admission

import "math"

const (
	// freeSlotsFraction is the least fraction of a target's slots that is left
	// free: new connections briefly occupy a slot, and some targets slow down
	// when nearly full.
	freeSlotsFraction = 0.05
	// coldSlotsFraction is the fraction of its slots that a cold target may use.
	coldSlotsFraction = 0.5
)

// UsableSlots returns how many of its slots a target may use.
func UsableSlots(announced int, cold bool) int {
	slots := announced - int(math.Ceil(freeSlotsFraction*float64(announced)))
	if cold {
		slots = int(coldSlotsFraction * float64(slots))
	}
	return max(slots, 1)
}
