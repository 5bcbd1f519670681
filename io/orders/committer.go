// Package orders runs each order at most once: it claims the order in the
// platform's store before it is given to a target.
package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/claim"
	"balsamproxy/task"
)

const (
	// pace is the least time between two commits of one bucket, whichever
	// its slots. It bounds the store's writes over the fleet by the number of
	// buckets over the pace.
	pace = 300 * time.Millisecond
	// commitTimeout bounds one commit with all its tries.
	commitTimeout = 2 * time.Second
	commitTries   = 4
)

// ErrOutcomeUnknown says that a claim may or may not have been made.
var ErrOutcomeUnknown = errors.New("orders: outcome of the claim unknown")

// Committer puts claims into the store, many at a time. Its exported fields
// must be set.
type Committer struct {
	Store   balsamproxy.Store
	Prefix  balsamproxy.StoreKey
	Metrics tally.Scope

	mutex   sync.Mutex
	buckets [claim.BucketCount]lane
	commits task.Group
}

// lane is the queue of one bucket.
type lane struct {
	busy    bool
	lastAt  time.Time
	waiting map[claim.Slot][]*pendingBid
}

// pendingBid is one bid that waits for its commit.
type pendingBid struct {
	bid     claim.Proposal
	settled chan verdict
}

// verdict is the claim that stands after a commit, or why none is known.
type verdict struct {
	standing claim.Claim
	err      error
}

// Commit makes a claim unless another stands, and returns the claim that
// stands. It fails with ErrOutcomeUnknown if the bid may have been placed, and
// with balsamproxy.ErrStoreUnavailable if it was not.
func (committer *Committer) Commit(ctx context.Context, slot claim.Slot, bid claim.Proposal) (claim.Claim, error) {
	bidder := &pendingBid{bid: bid, settled: make(chan verdict, 1)}
	committer.enqueue(slot, bidder)
	select {
	case verdict := <-bidder.settled:
		return verdict.standing, verdict.err
	case <-ctx.Done():
		return claim.Claim{}, eris.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (committer *Committer) enqueue(slot claim.Slot, bidder *pendingBid) {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()
	lane := &committer.buckets[slot.Bucket%claim.BucketCount]
	if lane.waiting == nil {
		lane.waiting = map[claim.Slot][]*pendingBid{}
	}
	lane.waiting[slot] = append(lane.waiting[slot], bidder)
	if lane.busy {
		return
	}
	lane.busy = true
	bucket := slot.Bucket % claim.BucketCount
	committer.commits.Start(context.Background(), func(ctx context.Context) error {
		committer.drain(ctx, bucket)
		return nil
	}, nil)
}

// drain commits what waits in a lane until nothing does.
func (committer *Committer) drain(ctx context.Context, bucket uint8) {
	for {
		slot, bidders, wait := committer.next(bucket)
		if bidders == nil {
			return
		}
		if wait > 0 {
			sleep(ctx, wait)
			slot, bidders = committer.more(bucket, slot, bidders)
		}
		committer.commit(ctx, slot, bidders)
	}
}

// next takes the bidders of one slot, and how long to wait for the pace.
func (committer *Committer) next(bucket uint8) (claim.Slot, []*pendingBid, time.Duration) {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()
	lane := &committer.buckets[bucket]
	for slot, bidders := range lane.waiting {
		delete(lane.waiting, slot)
		now := time.Now()
		wait := max(0, pace-now.Sub(lane.lastAt))
		lane.lastAt = now.Add(wait)
		return slot, bidders, wait
	}
	lane.busy = false
	return claim.Slot{}, nil, 0
}

// more adds the bidders that came while the lane waited.
func (committer *Committer) more(bucket uint8, slot claim.Slot, bidders []*pendingBid) (claim.Slot, []*pendingBid) {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()
	lane := &committer.buckets[bucket]
	bidders = append(bidders, lane.waiting[slot]...)
	delete(lane.waiting, slot)
	return slot, bidders
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commit places bids by compare-and-swap and tells each bidder what stands.
func (committer *Committer) commit(ctx context.Context, slot claim.Slot, bidders []*pendingBid) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	bids := make([]claim.Proposal, 0, len(bidders))
	for _, bidder := range bidders {
		bids = append(bids, bidder.bid)
	}
	bucket, err := committer.swap(ctx, slot, bids)
	for _, bidder := range bidders {
		standing, found := bucket.Find(bidder.bid.Claim.Fingerprint)
		if err == nil && !found {
			err = eris.Wrap(ErrOutcomeUnknown, "claim vanished")
		}
		bidder.settled <- verdict{standing: standing, err: err}
	}
}

// swap returns the bucket that stands after the bids were placed.
func (committer *Committer) swap(ctx context.Context, slot claim.Slot, bids []claim.Proposal) (claim.Bucket, error) {
	unknown := false
	var cause error
	for range commitTries {
		bucket, err := committer.swapOnce(ctx, slot, bids)
		if err == nil {
			return bucket, nil
		}
		cause = err
		unknown = unknown || errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown)
		if errors.Is(err, balsamproxy.ErrStoreUnavailable) || ctx.Err() != nil {
			break
		}
	}
	if unknown {
		return claim.Bucket{}, eris.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return claim.Bucket{}, eris.Wrap(balsamproxy.ErrStoreUnavailable, cause.Error())
}

// swapOnce reads a slot and writes it with the bids. Bids that stand already,
// from a try whose answer was lost, need no write.
func (committer *Committer) swapOnce(ctx context.Context, slot claim.Slot, bids []claim.Proposal) (claim.Bucket, error) {
	key := slot.Key(committer.Prefix)
	entry, err := committer.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return claim.Bucket{}, err
	}
	bucket, err := claim.Decode(entry.Value)
	if err != nil {
		return claim.Bucket{}, err
	}
	next, changed := bucket.Apply(bids)
	if !changed {
		return bucket, nil
	}
	if next.Lease == 0 {
		next.Lease, err = committer.Store.Grant(ctx, claim.Retention)
		if err != nil {
			return claim.Bucket{}, err
		}
	}
	value, err := next.Encode()
	if err != nil {
		return claim.Bucket{}, err
	}
	committer.Metrics.Counter("claim_commits").Inc(1)
	_, err = committer.Store.Swap(ctx, balsamproxy.StoreSwap{Key: key, Value: value, Expected: entry.Revision, Lease: next.Lease})
	return next, err
}
