package balance

import (
	"time"

	"balsamproxy"
)

// Begin counts a call that is sent to a target.
func (chooser *Chooser) Begin(target balsamproxy.TargetID) {
	chooser.targets.Update(target, func(state targetState) targetState {
		state.inFlight++
		return state
	})
}

// End counts the end of a call that was counted by Begin.
func (chooser *Chooser) End(target balsamproxy.TargetID) {
	chooser.targets.Update(target, func(state targetState) targetState {
		state.inFlight--
		return state
	})
}

// Report records the load reported by a response.
func (chooser *Chooser) Report(target balsamproxy.TargetID, load balsamproxy.Load) {
	if load.Limit == 0 {
		return
	}
	chooser.targets.Update(target, func(state targetState) targetState {
		state.load = load
		return state
	})
}

// Avoid takes a target out of selection for a short time after a failed call.
func (chooser *Chooser) Avoid(target balsamproxy.TargetID, now time.Time) {
	chooser.targets.Update(target, func(state targetState) targetState {
		state.avoidUntil = now.Add(avoidDuration)
		return state
	})
}

// Forget drops the state of a target that has no calls in flight.
func (chooser *Chooser) Forget(target balsamproxy.TargetID) {
	chooser.targets.DeleteIf(target, func(state targetState) bool { return state.inFlight == 0 })
}
