package balsamproxy

import "time"

// Outcome states whether a refused call can have had an effect.
type Outcome string

// Outcomes of a refused call.
const (
	// OutcomeNotRun means that no target can have acted on the call.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun means that a target may have acted on the call.
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Reason is the cause of a refusal. Its values are stable, so that programs may
// match them.
type Reason string

// Reasons of a refusal.
const (
	ReasonBadRequest                Reason = "bad-request"
	ReasonTooLarge                  Reason = "too-large"
	ReasonBodyStalled               Reason = "body-stalled"
	ReasonHeaderTooLarge            Reason = "header-too-large"
	ReasonConfigurationNotConfirmed Reason = "configuration-not-confirmed"
	ReasonDeepServiceOverloaded     Reason = "deep-service-overloaded"
	ReasonKeyMissing                Reason = "key-missing"
	ReasonKeyUnknown                Reason = "key-unknown"
	ReasonNoRoute                   Reason = "no-route"
	ReasonNoConfiguration           Reason = "no-configuration"
	ReasonNoStanding                Reason = "no-standing"
	ReasonNoTarget                  Reason = "no-target"
	ReasonDraining                  Reason = "draining"
	ReasonOverloaded                Reason = "overloaded"
	ReasonRateExceeded              Reason = "rate-exceeded"
	ReasonAllowanceUnreachable      Reason = "allowance-unreachable"
	ReasonDeadline                  Reason = "deadline"
	ReasonCancelled                 Reason = "cancelled"
	ReasonParentEnded               Reason = "parent-ended"
	ReasonTooDeep                   Reason = "too-deep"
	ReasonPeerUnreachable           Reason = "peer-unreachable"
	ReasonPeerLost                  Reason = "peer-lost"
	ReasonTargetFailed              Reason = "target-failed"
	ReasonTargetCrashed             Reason = "target-crashed"
	ReasonRequestCrashedTargets     Reason = "request-crashed-targets"
	ReasonAnswerTruncated           Reason = "answer-truncated"
	ReasonIdempotencyKeyRequired    Reason = "idempotency-key-required"
	ReasonIdempotencyKeyReused      Reason = "idempotency-key-reused"
	ReasonIdempotencyKeyTooOld      Reason = "idempotency-key-too-old"
	ReasonOrderInProgress           Reason = "order-in-progress"
	ReasonOrderTaken                Reason = "order-taken"
	ReasonStoreUnavailable          Reason = "store-unavailable"
	ReasonShuttingDown              Reason = "shutting-down"
)

// Refusal is the error that ends a call without a response from a target.
type Refusal struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Reason     Reason        `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Load       Load          `cbor:"5,keyasint"`
	// RefusedByTarget reports whether the call was sent to a target, which
	// refused it.
	RefusedByTarget bool `cbor:"7,keyasint,omitempty"`
	// Crash is set if the target crashed while it processed the call.
	Crash CrashID `cbor:"6,keyasint,omitempty"`
}

// Error returns the reason, the outcome and the detail on one line.
func (refusal *Refusal) Error() string {
	text := string(refusal.Reason) + " (" + string(refusal.Outcome) + ")"
	if refusal.Detail == "" {
		return text
	}
	return text + ": " + refusal.Detail
}

// NotRun returns a refusal of a call that no target has run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// MayHaveRun returns a refusal of a call that a target may have acted on.
func MayHaveRun(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeMayHaveRun, Reason: reason, Detail: detail}
}

// Congestion returns the kind of congestion that the refusal shows. Targets get
// no more calls than they have slots, so one that refuses a call is faulty.
func (refusal *Refusal) Congestion() Congestion {
	switch {
	case refusal.RefusedByTarget:
		return CongestionNone
	case refusal.Reason == ReasonOverloaded, refusal.Reason == ReasonDeadline && refusal.Outcome == OutcomeNotRun:
		return CongestionRejected
	case refusal.Reason == ReasonDeadline:
		return CongestionTimedOut
	default:
		return CongestionNone
	}
}
