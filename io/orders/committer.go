// Package orders ensures that each order is executed at most once, by recording a
// claim in the platform's store before the order is sent to a target.
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
	// commitInterval is the minimum time between two commits of one bucket,
	// across all its slots. It bounds the write rate of all hosts together to
	// the number of buckets divided by the interval.
	commitInterval = 300 * time.Millisecond
	// commitTimeout bounds one commit, including its retries.
	commitTimeout  = 2 * time.Second
	commitAttempts = 4
)

// ErrOutcomeUnknown means that a claim may or may not have been recorded.
var ErrOutcomeUnknown = errors.New("orders: outcome of the claim unknown")

// Committer records claims in the store, in batches. Its exported fields must be
// set.
type Committer struct {
	Store   balsamproxy.Store
	Prefix  balsamproxy.StoreKey
	Metrics tally.Scope

	mutex   sync.Mutex
	buckets [claim.BucketCount]queue
	commits task.Group
}

// queue holds the pending proposals of one bucket. busy is set while a goroutine
// drains it.
type queue struct {
	busy    bool
	lastAt  time.Time
	waiting map[claim.Slot][]*pendingProposal
}

// pendingProposal is a proposal waiting to be committed.
type pendingProposal struct {
	proposal claim.Proposal
	result   chan commitResult
}

// commitResult is the claim recorded in the store after a commit, or the error why
// none is known.
type commitResult struct {
	recorded claim.Claim
	err      error
}

// Commit records the proposed claim unless another one is already recorded, and
// returns the claim that is recorded. The error is ErrOutcomeUnknown if the
// proposal may have been recorded and balsamproxy.ErrStoreUnavailable if not.
func (committer *Committer) Commit(ctx context.Context, slot claim.Slot, proposal claim.Proposal) (claim.Claim, error) {
	pending := &pendingProposal{proposal: proposal, result: make(chan commitResult, 1)}
	committer.enqueue(slot, pending)
	select {
	case commitResult := <-pending.result:
		return commitResult.recorded, commitResult.err
	case <-ctx.Done():
		return claim.Claim{}, eris.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (committer *Committer) enqueue(slot claim.Slot, pending *pendingProposal) {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()
	queue := &committer.buckets[slot.Bucket%claim.BucketCount]
	if queue.waiting == nil {
		queue.waiting = map[claim.Slot][]*pendingProposal{}
	}
	queue.waiting[slot] = append(queue.waiting[slot], pending)
	if queue.busy {
		return
	}
	queue.busy = true
	bucket := slot.Bucket % claim.BucketCount
	committer.commits.Start(context.Background(), func(ctx context.Context) error {
		committer.drain(ctx, bucket)
		return nil
	}, nil)
}

// drain commits the queued proposals of a bucket until its queue is empty.
func (committer *Committer) drain(ctx context.Context, bucket uint8) {
	for {
		slot, batch, wait := committer.dequeue(bucket)
		if batch == nil {
			return
		}
		if wait > 0 {
			sleep(ctx, wait)
			slot, batch = committer.addLate(bucket, slot, batch)
		}
		committer.commit(ctx, slot, batch)
	}
}

// dequeue removes the proposals of one slot and returns how long to wait before
// committing them.
func (committer *Committer) dequeue(bucket uint8) (claim.Slot, []*pendingProposal, time.Duration) {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()
	queue := &committer.buckets[bucket]
	for slot, batch := range queue.waiting {
		delete(queue.waiting, slot)
		now := time.Now()
		wait := max(0, commitInterval-now.Sub(queue.lastAt))
		queue.lastAt = now.Add(wait)
		return slot, batch, wait
	}
	queue.busy = false
	return claim.Slot{}, nil, 0
}

// addLate adds the proposals that were enqueued during the wait.
func (committer *Committer) addLate(bucket uint8, slot claim.Slot, batch []*pendingProposal) (claim.Slot, []*pendingProposal) {
	committer.mutex.Lock()
	defer committer.mutex.Unlock()
	queue := &committer.buckets[bucket]
	batch = append(batch, queue.waiting[slot]...)
	delete(queue.waiting, slot)
	return slot, batch
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commit records a batch of proposals and sends each caller its result.
func (committer *Committer) commit(ctx context.Context, slot claim.Slot, batch []*pendingProposal) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	proposals := make([]claim.Proposal, 0, len(batch))
	for _, pending := range batch {
		proposals = append(proposals, pending.proposal)
	}
	bucket, err := committer.swap(ctx, slot, proposals)
	for _, pending := range batch {
		recorded, found := bucket.Find(pending.proposal.Claim.Fingerprint)
		if err == nil && !found {
			err = eris.Wrap(ErrOutcomeUnknown, "claim vanished")
		}
		pending.result <- commitResult{recorded: recorded, err: err}
	}
}

// swap applies the proposals by compare-and-swap, with retries, and returns the
// resulting bucket.
func (committer *Committer) swap(ctx context.Context, slot claim.Slot, proposals []claim.Proposal) (claim.Bucket, error) {
	unknown := false
	var cause error
	for range commitAttempts {
		bucket, err := committer.swapOnce(ctx, slot, proposals)
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

// swapOnce reads a slot, applies the proposals and writes it back. It skips the
// write if nothing changes, for example if an earlier attempt was recorded but its
// response was lost.
func (committer *Committer) swapOnce(ctx context.Context, slot claim.Slot, proposals []claim.Proposal) (claim.Bucket, error) {
	key := slot.Key(committer.Prefix)
	entry, err := committer.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return claim.Bucket{}, err
	}
	bucket, err := claim.Decode(entry.Value)
	if err != nil {
		return claim.Bucket{}, err
	}
	next, changed := bucket.Apply(proposals)
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
