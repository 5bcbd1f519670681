package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/era"
	"balsamproxy/core/evidence"
)

const testKey balsamproxy.StoreKey = "operator/config"

// eraStore is a store with one document, whose version is its value.
type eraStore struct {
	era      balsamproxy.StoreEra
	version  byte
	revision balsamproxy.Revision
	// events are returned by the next wait for changes, which then calls onChanges.
	events    []balsamproxy.StoreEvent
	onChanges func()
	waitedAt  []balsamproxy.Revision
	reads     int
}

func (store *eraStore) entry() balsamproxy.StoreEntry {
	return balsamproxy.StoreEntry{Key: testKey, Value: []byte{store.version}, Revision: store.revision}
}

func (store *eraStore) Get(context.Context, balsamproxy.StoreKey) (balsamproxy.StoreEntry, error) {
	return store.entry(), nil
}

func (store *eraStore) Revisions(ctx context.Context, prefix balsamproxy.StoreKey) (balsamproxy.StoreSnapshot, error) {
	return store.Range(ctx, prefix)
}

func (store *eraStore) Range(context.Context, balsamproxy.StoreKey) (balsamproxy.StoreSnapshot, error) {
	store.reads++
	return balsamproxy.StoreSnapshot{Entries: []balsamproxy.StoreEntry{store.entry()}, Revision: store.revision}, nil
}

func (store *eraStore) Changes(_ context.Context, _ balsamproxy.StoreKey, after balsamproxy.Revision, _ time.Duration) (balsamproxy.StoreChanges, error) {
	store.waitedAt = append(store.waitedAt, after)
	events := store.events
	store.events = nil
	if store.onChanges != nil {
		store.onChanges()
	}
	return balsamproxy.StoreChanges{Events: events, Revision: max(after, store.revision)}, nil
}

type steppingClock struct{ now balsamproxy.BootTime }

func (clock *steppingClock) Boot() balsamproxy.BootTime { return clock.now }

// newEraFollower returns a follower that has read version 5 at revision 40 of the first
// era, three seconds ago.
func newEraFollower(t *testing.T, eras bool) (*configFollower, *eraStore, *steppingClock, era.Position) {
	t.Helper()
	store := &eraStore{version: 5, revision: 40}
	if eras {
		store.era = 1
	}
	clock := &steppingClock{now: balsamproxy.BootTime(time.Hour)}
	follower := &configFollower{
		store: store, reader: store, key: testKey, current: &config.Current{}, clock: clock, log: zerolog.Nop(),
		evidence: &evidence.Evidence{MaxAge: 4 * time.Second},
		onChange: func() {}, onFirst: func() {},
		era: func() balsamproxy.StoreEra { return store.era },
		decode: func(raw []byte) (*config.Document, balsamproxy.Revision, error) {
			return &config.Document{}, balsamproxy.Revision(raw[0]), nil
		},
	}
	position, err := follower.poll(t.Context(), era.Position{})
	assert.NilError(t, err)
	clock.now += balsamproxy.BootTime(3 * time.Second)
	return follower, store, clock, position
}

// raise makes the store come back with another version.
func (store *eraStore) raise(follower *configFollower, version byte) {
	store.era++
	store.version, store.revision = version, 30
	follower.enterEra(store.era)
}

// TestFollowerStartsOver guards against a watch that continues from a revision of the
// earlier era after another call to the store has seen the rise, and so skips changes.
func TestFollowerStartsOver(t *testing.T) {
	follower, store, _, position := newEraFollower(t, true)
	assert.Equal(t, position, era.Position{Era: 1, Revision: 40})
	store.raise(follower, 6)
	store.revision = 50
	position, err := follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.Equal(t, len(store.waitedAt), 0)
	assert.Equal(t, follower.version(), balsamproxy.Revision(6))
	assert.Equal(t, position, era.Position{Era: 2, Revision: 50})
	_, err = follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.DeepEqual(t, store.waitedAt, []balsamproxy.Revision{50})
}

// TestRiseDuringAPoll guards against a wait for changes during which another call sees
// the rise: its revision counts for nothing, and it confirms nothing.
func TestRiseDuringAPoll(t *testing.T) {
	follower, store, clock, position := newEraFollower(t, true)
	store.onChanges = func() { store.raise(follower, 5) }
	position, err := follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.Equal(t, position, era.Position{})
	clock.now += balsamproxy.BootTime(time.Second)
	assert.Assert(t, !follower.evidence.IsFresh(clock.now))
}

// TestOlderVersionAfterARise guards against a configuration that goes back, and against
// evidence from a copy that lacks versions. Evidence from before the rise stays valid for
// its time, and the operator's next write confirms again.
func TestOlderVersionAfterARise(t *testing.T) {
	follower, store, clock, position := newEraFollower(t, true)
	store.raise(follower, 4)
	position, err := follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.Equal(t, follower.version(), balsamproxy.Revision(5))
	assert.Assert(t, follower.evidence.IsFresh(clock.now))
	clock.now += balsamproxy.BootTime(time.Second)
	position, err = follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.Assert(t, !follower.evidence.IsFresh(clock.now))
	assert.Equal(t, store.reads, 2, "one read at the start and one in the new era")
	store.version = 5
	store.events = []balsamproxy.StoreEvent{{Entry: store.entry()}}
	position, err = follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.Assert(t, follower.evidence.IsFresh(clock.now))
	// An operator may write an older version as before.
	store.version = 4
	store.events = []balsamproxy.StoreEvent{{Entry: store.entry()}}
	clock.now += balsamproxy.BootTime(time.Minute)
	_, err = follower.poll(t.Context(), position)
	assert.NilError(t, err)
	assert.Assert(t, follower.evidence.IsFresh(clock.now))
	assert.Equal(t, follower.version(), balsamproxy.Revision(5))
}

// TestFollowerWithoutEras guards against further calls to a store that reports no era.
func TestFollowerWithoutEras(t *testing.T) {
	follower, store, clock, position := newEraFollower(t, false)
	for range 3 {
		var err error
		position, err = follower.poll(t.Context(), position)
		assert.NilError(t, err)
	}
	assert.Equal(t, store.reads, 1)
	assert.DeepEqual(t, store.waitedAt, []balsamproxy.Revision{40, 40, 40})
	assert.Assert(t, follower.evidence.IsFresh(clock.now))
}
