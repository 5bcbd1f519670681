package balsamproxy

import (
	"context"
	"errors"
	"time"
)

// Errors of a store.
var (
	// ErrStoreNotFound means that the key does not exist.
	ErrStoreNotFound = errors.New("store: key not found")
	// ErrStoreConflict means that a swap found another revision than expected
	// and wrote nothing.
	ErrStoreConflict = errors.New("store: revision conflict")
	// ErrStoreUnavailable means that the store returned no usable response and
	// that nothing was written.
	ErrStoreUnavailable = errors.New("store: unavailable")
	// ErrStoreOutcomeUnknown means that a write may or may not have taken effect.
	ErrStoreOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrStoreLeaseLost means that a lease does not exist or has expired.
	ErrStoreLeaseLost = errors.New("store: lease lost")
	// ErrStoreCompacted means that a watch requested revisions that the store
	// has compacted.
	ErrStoreCompacted = errors.New("store: history compacted")
)

// StoreEntry is one key with its value.
type StoreEntry struct {
	Key      StoreKey
	Value    []byte
	Revision Revision
}

// StoreSnapshot is the state of a key range at one revision of the store.
type StoreSnapshot struct {
	Entries  []StoreEntry
	Revision Revision
}

// StoreSwap is a request to write a value if the key is still at Expected.
type StoreSwap struct {
	Key   StoreKey
	Value []byte
	// Expected is the revision of the key that the writer read; zero means
	// that the key must not exist.
	Expected Revision
	// Lease attaches the key to a lease; zero attaches it to none.
	Lease LeaseID
}

// StoreEvent is one change of a watched key. Deletions have no value.
type StoreEvent struct {
	Entry   StoreEntry
	Deleted bool
}

// StoreReader reads the platform's store.
type StoreReader interface {
	// Get returns one key. It fails with ErrStoreNotFound or
	// ErrStoreUnavailable.
	Get(ctx context.Context, key StoreKey) (StoreEntry, error)
	// Revisions returns all keys with a prefix, without their values.
	Revisions(ctx context.Context, prefix StoreKey) (StoreSnapshot, error)
	// Range returns all keys with a prefix and their values.
	Range(ctx context.Context, prefix StoreKey) (StoreSnapshot, error)
}

// StoreStaleReader reads an earlier state of the platform's store, at a fraction
// of the cost of a StoreReader.
type StoreStaleReader interface {
	// RangeStale is like Range, but what it returns may have changed seconds
	// ago. It must not be used as evidence of anything that holds now.
	RangeStale(ctx context.Context, prefix StoreKey) (StoreSnapshot, error)
}

// StoreWriter writes to the platform's store.
type StoreWriter interface {
	// Swap writes a value by compare-and-swap and returns the new revision
	// of the key. It fails with ErrStoreConflict, ErrStoreLeaseLost,
	// ErrStoreUnavailable or, if the response was lost, ErrStoreOutcomeUnknown.
	Swap(ctx context.Context, swap StoreSwap) (Revision, error)
}

// StoreTransaction is a request to change several keys atomically.
type StoreTransaction struct {
	Swaps []StoreSwap
	// Removals are the keys to remove, each at its expected revision.
	Removals []StoreRemoval
}

// StoreRemoval is a request to remove a key if it is still at Expected.
type StoreRemoval struct {
	Key      StoreKey
	Expected Revision
}

// StoreTransactor changes several keys of the platform's store atomically.
type StoreTransactor interface {
	// Transact applies all changes of a transaction or none, and returns the
	// new revision of the written keys. It fails with the errors of Swap.
	Transact(ctx context.Context, transaction StoreTransaction) (Revision, error)
}

// StoreLeaser manages leases of the platform's store.
type StoreLeaser interface {
	// Grant creates a lease with a time to live.
	Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with ErrStoreLeaseLost once the
	// lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// StoreWatcher streams changes of the platform's store.
type StoreWatcher interface {
	// Watch sends each change after a revision to keys with a prefix to
	// events, in order, until ctx ends or the watch fails, and then returns
	// the cause. After ErrStoreCompacted, the caller must call Range before it
	// watches again.
	Watch(ctx context.Context, prefix StoreKey, after Revision, events chan<- StoreEvent) error
}

// StoreChanges is the result of one bounded wait for changes.
type StoreChanges struct {
	Events []StoreEvent
	// Revision is the revision from which the next wait continues.
	Revision Revision
}

// StorePoller reads changes of the platform's store by long polling.
type StorePoller interface {
	// Changes returns the changes after the given revision to keys with the
	// given prefix. If there are none yet, it blocks for at most the given wait.
	// After ErrStoreCompacted, the caller must call Range first.
	Changes(ctx context.Context, prefix StoreKey, after Revision, wait time.Duration) (StoreChanges, error)
}

// StoreEraReporter reports the era of the store. Whatever was written after the copy
// from which the store came back is lost when the era rises, and revisions and leases are
// issued again.
//
// A call whose era is not the highest one seen when its response arrives fails: with
// ErrStoreCompacted if it waits for changes, with ErrStoreOutcomeUnknown if it writes,
// and with ErrStoreUnavailable otherwise.
type StoreEraReporter interface {
	// Era returns the highest era seen, or zero if the store has reported none.
	Era() StoreEra
	// ObserveEra records an era that another client of the store has seen.
	ObserveEra(era StoreEra)
	// OnEra sets the function that is called once for each era, before any
	// response of that era is returned. The former era is zero for the first one.
	// It must be set before the first call to the store, and must not call it.
	OnEra(changed func(former, current StoreEra))
}

// Store is the platform's key-value service with compare-and-swap, leases and
// watches.
type Store interface {
	StoreReader
	StoreWriter
	StoreLeaser
	StoreWatcher
}
