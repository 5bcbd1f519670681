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

	// ownerTimeout bounds the wait for the hinted owner of a bucket.
	ownerTimeout = 1200 * time.Millisecond
	stateTimeout = 500 * time.Millisecond
	retryAfter   = time.Second
	// takeovers bounds how often a request takes the place of claims that
	// were given up.
	takeovers = 3
)

// Guard lets each order run at most once. Its exported fields must be set.
type Guard struct {
	Self      claim.Owner
	Members   balsamproxy.HostLister
	Pool      *peer.Pool
	Committer *Committer
	Metrics   tally.Scope

	ledger claim.Table
}

type claimQuestion struct {
	Slot claim.Slot     `cbor:"1,keyasint"`
	Bid  claim.Proposal `cbor:"2,keyasint"`
}

type claimAnswer struct {
	Standing claim.Claim `cbor:"1,keyasint"`
	// Failure is set if no claim is known to stand.
	Failure failure `cbor:"2,keyasint,omitempty"`
}

// failure tells why a claim was not made.
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

// Serve answers the questions of other daemons.
func (guard *Guard) Serve(server *peer.Server) {
	peer.Handle(server, kindClaim, func(ctx context.Context, _ balsamproxy.HostID, question claimQuestion) (claimAnswer, error) {
		standing, err := guard.Committer.Commit(ctx, question.Slot, question.Bid)
		return claimAnswer{Standing: standing, Failure: failureOf(err)}, nil
	})
	peer.Handle(server, kindState, func(_ context.Context, _ balsamproxy.HostID, question stateQuestion) (stateAnswer, error) {
		return guard.look(question), nil
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

// look tells what became of a claim that this run of the daemon made.
func (guard *Guard) look(question stateQuestion) stateAnswer {
	if question.Incarnation != guard.Self.Incarnation {
		return stateAnswer{State: claim.StateUnknown}
	}
	state, record := guard.ledger.Lookup(question.ID)
	return stateAnswer{State: state, Record: record}
}

// Permit is the right to run one order once.
type Permit struct {
	guard *Guard
	id    claim.ID
}

// Claim asks for the right to run an order. It returns a permit, the record of
// the order if it has run, or a refusal.
func (guard *Guard) Claim(ctx context.Context, order claim.Order) (*Permit, *claim.Record, *balsamproxy.Refusal) {
	replaces := claim.ID{}
	for range takeovers {
		bid := guard.newBid(order, replaces)
		guard.ledger.Open(bid.Claim.ID)
		standing, failed := guard.commit(ctx, order.Slot, bid)
		if failed != "" {
			guard.ledger.Abandon(bid.Claim.ID)
			return nil, nil, unavailable(failed)
		}
		if standing.ID == bid.Claim.ID {
			return &Permit{guard: guard, id: bid.Claim.ID}, nil, nil
		}
		guard.ledger.Abandon(bid.Claim.ID)
		if standing.Body != order.Body {
			return nil, nil, balsamproxy.NotRun(balsamproxy.ReasonIdempotencyKeyReused, "the Idempotency-Key was used for another order")
		}
		state := guard.askState(ctx, standing)
		if state.State != claim.StateAbandoned {
			record, refusal := conclude(state)
			return nil, record, refusal
		}
		replaces = standing.ID
	}
	return nil, nil, inProgress()
}

func (guard *Guard) newBid(order claim.Order, replaces claim.ID) claim.Proposal {
	bid := claim.Proposal{
		Claim: claim.Claim{
			Fingerprint: order.Fingerprint,
			Body:        order.Body,
			Owner:       guard.Self,
		},
		Replaces: replaces,
	}
	_, _ = rand.Read(bid.Claim.ID[:])
	return bid
}

// commit lets the hinted owner of the bucket make the claim, and makes it here
// if the owner does not answer: the store's compare-and-swap lets one win.
func (guard *Guard) commit(ctx context.Context, slot claim.Slot, bid claim.Proposal) (claim.Claim, failure) {
	owner := rendezvous.First(uint64(slot.Bucket), guard.Members.Hosts())
	if owner != "" && owner != guard.Self.Host {
		asking, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		answer, err := peer.Ask[claimQuestion, claimAnswer](asking, guard.Pool, owner, kindClaim, claimQuestion{Slot: slot, Bid: bid})
		if err == nil && answer.Failure == "" {
			return answer.Standing, ""
		}
		guard.Metrics.Counter("claim_owner_bypassed").Inc(1)
	}
	standing, err := guard.Committer.Commit(ctx, slot, bid)
	return standing, failureOf(err)
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

func (guard *Guard) askState(ctx context.Context, standing claim.Claim) stateAnswer {
	question := stateQuestion{Incarnation: standing.Owner.Incarnation, ID: standing.ID}
	if standing.Owner.Host == guard.Self.Host {
		return guard.look(question)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	answer, err := peer.Ask[stateQuestion, stateAnswer](ctx, guard.Pool, standing.Owner.Host, kindState, question)
	if err != nil {
		return stateAnswer{State: claim.StateUnknown}
	}
	return answer
}

// conclude tells what a resend of a claimed order gets.
func conclude(answer stateAnswer) (*claim.Record, *balsamproxy.Refusal) {
	switch answer.State {
	case claim.StateDone:
		return &answer.Record, nil
	case claim.StateClaiming, claim.StateRunning:
		return nil, inProgress()
	default:
		return nil, balsamproxy.MayHaveRun(balsamproxy.ReasonOrderTaken, "the order was taken, and its outcome is not known any more")
	}
}

// Start must be called right before the order is given to a target. It says
// false if the order must not run.
func (permit *Permit) Start() bool { return permit.guard.ledger.Start(permit.id) }

// Release says that the order has not run, so that a resend may run it.
func (permit *Permit) Release() { permit.guard.ledger.Abandon(permit.id) }

// Finish records the end of the order for resends.
func (permit *Permit) Finish(record claim.Record) { permit.guard.ledger.Finish(permit.id, record) }
