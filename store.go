package balsamproxy

import (
	"context"
	"errors"
	"time"
)

// Errors of a store.
var (
	// ErrStoreNotFound says that the key does not exist.
	ErrStoreNotFound = errors.New("store: key not found")
	// ErrStoreConflict says that a swap met another revision and wrote
	// nothing.
	ErrStoreConflict = errors.New("store: revision conflict")
	// ErrStoreUnavailable says that the store gave no usable answer and that
	// nothing was written.
	ErrStoreUnavailable = errors.New("store: unavailable")
	// ErrStoreUnsettled says that a write may or may not have taken effect.
	ErrStoreUnsettled = errors.New("store: outcome unknown")
	// ErrStoreLeaseLost says that a lease does not exist or has lapsed.
	ErrStoreLeaseLost = errors.New("store: lease lost")
	// ErrStoreCompacted says that a watch asked for history that is gone.
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

// StoreSwap asks for a value to be written if the key is still at Expected.
type StoreSwap struct {
	Key   StoreKey
	Value []byte
	// Expected is the revision of the key that the writer saw; zero means
	// that the key must not exist.
	Expected Revision
	// Lease binds the key to a lease; zero binds it to none.
	Lease LeaseID
}

// StoreEvent is one change of a watched key. Deleted events have no value.
type StoreEvent struct {
	Entry   StoreEntry
	Deleted bool
}

// StoreReader reads the platform's store.
type StoreReader interface {
	// Get returns one key. It fails with ErrStoreNotFound or
	// ErrStoreUnavailable.
	Get(ctx context.Context, key StoreKey) (StoreEntry, error)
	// Revisions returns all keys with a prefix without their values.
	Revisions(ctx context.Context, prefix StoreKey) (StoreSnapshot, error)
	// Range returns all keys with a prefix.
	Range(ctx context.Context, prefix StoreKey) (StoreSnapshot, error)
}

// StoreWriter changes the platform's store.
type StoreWriter interface {
	// Swap writes a value by compare-and-swap and returns the new revision
	// of the key. It fails with ErrStoreConflict, ErrStoreLeaseLost,
	// ErrStoreUnavailable or, if an answer was lost, ErrStoreUnsettled.
	Swap(ctx context.Context, swap StoreSwap) (Revision, error)
}

// StoreTransaction asks for several keys to be changed together, or none.
type StoreTransaction struct {
	Swaps []StoreSwap
	// Removals are keys to remove, with the revisions that must stand.
	Removals []StoreRemoval
}

// StoreRemoval asks for a key to be removed if it is still at Expected.
type StoreRemoval struct {
	Key      StoreKey
	Expected Revision
}

// StoreTransactor changes several keys of the platform's store at once.
type StoreTransactor interface {
	// Transact makes all changes of a transaction or none, and returns the
	// new revision of the written keys. It fails as Swap does.
	Transact(ctx context.Context, transaction StoreTransaction) (Revision, error)
}

// StoreLeaser handles leases of the platform's store.
type StoreLeaser interface {
	// Grant creates a lease with a time to live.
	Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with ErrStoreLeaseLost once the
	// lease has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// StoreWatcher follows changes of the platform's store.
type StoreWatcher interface {
	// Watch sends each change of keys with a prefix after a revision to
	// events, in order, until ctx ends or the watch breaks, and then returns
	// the reason. ErrStoreCompacted asks for a new Range first.
	Watch(ctx context.Context, prefix StoreKey, after Revision, events chan<- StoreEvent) error
}

// StoreChanges is what one bounded wait for changes found.
type StoreChanges struct {
	Events []StoreEvent
	// Revision is where the next wait continues.
	Revision Revision
}

// StoreFollower is a store that answers bounded waits.
type StoreFollower interface {
	// Changes waits for changes of keys with a prefix after a revision, at
	// most for a time. ErrStoreCompacted asks for a new Range first.
	Changes(ctx context.Context, prefix StoreKey, after Revision, wait time.Duration) (StoreChanges, error)
}

// Store is the platform's key-value service with compare-and-swap, leases and
// watches.
type Store interface {
	StoreReader
	StoreWriter
	StoreLeaser
	StoreWatcher
}
