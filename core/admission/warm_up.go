package admission

import "time"

// warmUpBurst is how many calls a cold target gets at once. It is small, because the
// rate is a limit above which the target fails.
const warmUpBurst = 2

// warmUp limits the rate of the calls to a cold target. The zero value limits nothing.
// It is designed for a service whose targets come back cold, many at a time, and fail
// when they get their usual load before they are warm.
type warmUp struct {
	// rate is the limit in calls per second, and until the end of the warm-up.
	rate   float64
	until  time.Time
	tokens float64
	at     time.Time
}

// SetWarmUp limits the calls to the target to a rate per second until an instant. A
// rate of zero, or an instant that has passed, ends the limit.
func (controller *Controller) SetWarmUp(rate float64, until, now time.Time) {
	warmUp := &controller.warmUp
	if !warmUp.active(now) {
		// What the target got while it was warm counts, so there is no burst at first.
		warmUp.tokens, warmUp.at = 0, now
	}
	warmUp.rate, warmUp.until = rate, until
}

// active reports whether the rate is limited.
func (warmUp *warmUp) active(now time.Time) bool {
	return warmUp.rate > 0 && now.Before(warmUp.until)
}

// allows reports whether a call may be sent now.
func (warmUp *warmUp) allows(now time.Time) bool {
	if !warmUp.active(now) {
		return true
	}
	warmUp.tokens = min(warmUp.tokens+warmUp.rate*now.Sub(warmUp.at).Seconds(), warmUpBurst)
	warmUp.at = now
	return warmUp.tokens >= 1
}

// take counts a call that was sent.
func (warmUp *warmUp) take(now time.Time) {
	if warmUp.active(now) {
		warmUp.tokens--
	}
}

// acquireCold admits a call to a cold target if its rate allows, and otherwise rejects
// it, since other targets take it sooner.
func (controller *Controller) acquireCold(request Request, now time.Time) Verdict {
	if !controller.warmUp.allows(now) || controller.inFlight >= controller.slots || len(controller.waiting) > 0 {
		return Full
	}
	controller.admit(request)
	controller.warmUp.take(now)
	return Admitted
}
