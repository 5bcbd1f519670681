package orders

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/claim"
	"balsamproxy/core/rendezvous"
	"balsamproxy/io/peer"
)

const (
	kindClaim peer.Kind = "order-claim"
	kindState peer.Kind = "order-state"

	// committerTimeout bounds the wait for the preferred committer of a bucket.
	committerTimeout = 1200 * time.Millisecond
	stateTimeout     = 500 * time.Millisecond
	retryAfter       = time.Second
	// takeoversMax bounds how often one request tries to replace an abandoned
	// claim.
	takeoversMax = 3
)

// Guard ensures that each order is executed at most once. Its exported fields must
// be set.
type Guard struct {
	// Self identifies this daemon process as the owner of its claims.
	Self      claim.Owner
	Members   balsamproxy.HostLister
	Pool      *peer.Pool
	Committer *Committer
	Metrics   tally.Scope

	claims claim.Table
}

type claimQuestion struct {
	Slot     claim.Slot     `cbor:"1,keyasint"`
	Proposal claim.Proposal `cbor:"2,keyasint"`
}

type claimAnswer struct {
	Recorded claim.Claim `cbor:"1,keyasint"`
	// Failure is set if it is not known which claim is recorded.
	Failure failure `cbor:"2,keyasint,omitempty"`
}

// failure is the reason why a claim could not be confirmed.
type failure string

const (
	failureUnavailable failure = "unavailable"
	failureUnknown     failure = "unknown"
)

type stateQuestion struct {
	Incarnation string   `cbor:"1,keyasint"`
	ID          claim.ID `cbor:"2,keyasint"`
}

type stateAnswer struct {
	State  claim.State  `cbor:"1,keyasint"`
	Record claim.Record `cbor:"2,keyasint"`
}

// Serve registers the handlers for questions of other daemons.
func (guard *Guard) Serve(server *peer.Server) {
	peer.Handle(server, kindClaim, func(ctx context.Context, _ balsamproxy.HostID, question claimQuestion) (claimAnswer, error) {
		recorded, err := guard.Committer.Commit(ctx, question.Slot, question.Proposal)
		return claimAnswer{Recorded: recorded, Failure: failureOf(err)}, nil
	})
	peer.Handle(server, kindState, func(_ context.Context, _ balsamproxy.HostID, question stateQuestion) (stateAnswer, error) {
		return guard.lookup(question), nil
	})
}

func failureOf(err error) failure {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, balsamproxy.ErrStoreUnavailable):
		return failureUnavailable
	default:
		return failureUnknown
	}
}

// lookup returns the state of a claim made by this daemon process. The state of
// claims made by earlier processes of this host is unknown.
func (guard *Guard) lookup(question stateQuestion) stateAnswer {
	if question.Incarnation != guard.Self.Incarnation {
		return stateAnswer{State: claim.StateUnknown}
	}
	state, record := guard.claims.Lookup(question.ID)
	return stateAnswer{State: state, Record: record}
}

// Permit is the right to execute one order once.
type Permit struct {
	guard *Guard
	id    claim.ID
}

// Claim requests the right to execute an order. It returns a permit, or the record
// of the order if it has already been executed, or a refusal.
func (guard *Guard) Claim(ctx context.Context, order claim.Order) (*Permit, *claim.Record, *balsamproxy.Refusal) {
	replaces := claim.ID{}
	for range takeoversMax {
		proposal := guard.newProposal(order, replaces)
		guard.claims.Open(proposal.Claim.ID)
		recorded, failed := guard.commit(ctx, order.Slot, proposal)
		if failed != "" {
			guard.claims.Abandon(proposal.Claim.ID)
			return nil, nil, unavailable(failed)
		}
		if recorded.ID == proposal.Claim.ID {
			return &Permit{guard: guard, id: proposal.Claim.ID}, nil, nil
		}
		guard.claims.Abandon(proposal.Claim.ID)
		if recorded.Body != order.Body {
			return nil, nil, balsamproxy.NotRun(balsamproxy.ReasonIdempotencyKeyReused, "the Idempotency-Key was used for another order")
		}
		state := guard.askState(ctx, recorded)
		if state.State != claim.StateAbandoned {
			record, refusal := resendResult(state)
			return nil, record, refusal
		}
		replaces = recorded.ID
	}
	return nil, nil, inProgress()
}

func (guard *Guard) newProposal(order claim.Order, replaces claim.ID) claim.Proposal {
	proposal := claim.Proposal{
		Claim: claim.Claim{
			Fingerprint: order.Fingerprint,
			Body:        order.Body,
			Owner:       guard.Self,
		},
		Replaces: replaces,
	}
	_, _ = rand.Read(proposal.Claim.ID[:])
	return proposal
}

// commit asks the preferred committer of the bucket to record the claim, so that
// the claims of all hosts are batched there. If it does not respond, commit
// records the claim itself; the store's compare-and-swap ensures that
// only one claim wins.
func (guard *Guard) commit(ctx context.Context, slot claim.Slot, proposal claim.Proposal) (claim.Claim, failure) {
	owner := rendezvous.First(uint64(slot.Bucket), guard.Members.Hosts())
	if owner != "" && owner != guard.Self.Host {
		asking, cancel := context.WithTimeout(ctx, committerTimeout)
		defer cancel()
		answer, err := peer.Ask[claimQuestion, claimAnswer](asking, guard.Pool, owner, kindClaim, claimQuestion{Slot: slot, Proposal: proposal})
		if err == nil && answer.Failure == "" {
			return answer.Recorded, ""
		}
		guard.Metrics.Counter("claim_owner_bypassed").Inc(1)
	}
	recorded, err := guard.Committer.Commit(ctx, slot, proposal)
	return recorded, failureOf(err)
}

func unavailable(failed failure) *balsamproxy.Refusal {
	refusal := balsamproxy.NotRun(balsamproxy.ReasonStoreUnavailable, "the order could not be claimed: store "+string(failed))
	refusal.RetryAfter = retryAfter
	return refusal
}

func inProgress() *balsamproxy.Refusal {
	refusal := balsamproxy.MayHaveRun(balsamproxy.ReasonOrderInProgress, "another request with this Idempotency-Key is under way")
	refusal.RetryAfter = retryAfter
	return refusal
}

func (guard *Guard) askState(ctx context.Context, recorded claim.Claim) stateAnswer {
	question := stateQuestion{Incarnation: recorded.Owner.Incarnation, ID: recorded.ID}
	if recorded.Owner.Host == guard.Self.Host {
		return guard.lookup(question)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	answer, err := peer.Ask[stateQuestion, stateAnswer](ctx, guard.Pool, recorded.Owner.Host, kindState, question)
	if err != nil {
		return stateAnswer{State: claim.StateUnknown}
	}
	return answer
}

// resendResult returns the response to a resent order whose claim exists.
func resendResult(answer stateAnswer) (*claim.Record, *balsamproxy.Refusal) {
	switch answer.State {
	case claim.StateDone:
		return &answer.Record, nil
	case claim.StateClaiming, claim.StateRunning:
		return nil, inProgress()
	default:
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonOrderTaken, "the order was taken, and its outcome is not known any more")
	}
}

// Start must be called immediately before the order is sent to a target. If it
// returns false, the order must not be executed.
func (permit *Permit) Start() bool { return permit.guard.claims.Start(permit.id) }

// Release reports that the order was not executed, so that a resend may execute
// it.
func (permit *Permit) Release() { permit.guard.claims.Abandon(permit.id) }

// Finish records the outcome of the order. A resend of the order receives this
// outcome.
func (permit *Permit) Finish(record claim.Record) { permit.guard.claims.Finish(permit.id, record) }
