package registry

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

const (
	firstEra  balsamproxy.StoreEra = 1
	secondEra balsamproxy.StoreEra = 2
)

// newHomeInEra returns a home that has been running for long in the first era.
func newHomeInEra(store *fakeStore, host balsamproxy.HostID, incarnation string) home {
	home := newHome(store, host, incarnation)
	home.clock.now = balsamproxy.BootTime(time.Hour)
	home.MembersRead = func([]balsamproxy.Member) {}
	home.Record = func() balsamproxy.Member { return balsamproxy.Member{Host: host, PeerAddress: "10.0.0.1:1"} }
	home.EnterEra(0, firstEra)
	home.clock.now += balsamproxy.BootTime(homes.FormerEraDelay)
	return home
}

// restore makes the store come back from an empty copy. Revisions are issued again.
func (store *fakeStore) restore() {
	store.entries = map[balsamproxy.StoreKey]balsamproxy.StoreEntry{}
	store.revision, store.lease = 0, 0
}

// TestLeaseHasFormerEraDelay guards against a delay that does not cover how long a home
// that knows nothing of a rise continues.
func TestLeaseHasFormerEraDelay(t *testing.T) {
	assert.Equal(t, homes.FormerEraDelay, tenureLeaseTTL+homes.NonBackupDelay)
}

// TestRiseEndsTenures guards against tenures, promises and leases that are acted on
// after the store has lost them.
func TestRiseEndsTenures(t *testing.T) {
	store := newFakeStore()
	holder := newHomeInEra(store, "a", "a1")
	closed := []allowance.Group{}
	holder.Close = func(term allowance.Term, _ balsamproxy.BootTime) allowance.Remainders {
		closed = append(closed, term.Group)
		return allowance.Remainders{}
	}
	holder.acquire(t)
	holder.renewedAt = holder.clock.now
	holder.lease, holder.hostLease, holder.published = 1, 2, 3
	_, holds := holder.Holds(group, holder.clock.now)
	assert.Assert(t, holds)
	holder.EnterEra(firstEra, secondEra)
	_, holds = holder.Holds(group, holder.clock.now)
	assert.Assert(t, !holds)
	assert.DeepEqual(t, closed, []allowance.Group{group})
	assert.Equal(t, len(holder.Held()), 0)
	assert.Equal(t, holder.lease, balsamproxy.LeaseID(0))
	assert.Equal(t, holder.hostLease, balsamproxy.LeaseID(0))
	_, known := holder.RecordedHome(group)
	assert.Assert(t, !known)
	// What was begun before the rise and ends after it.
	holder.recordRenewal(firstEra, 0, holder.clock.now)
	assert.ErrorIs(t, holder.recordAcquired(firstEra, group, term{}), errEraRaised)
	assert.ErrorIs(t, holder.setHostLease(firstEra, 2, holder.clock.now), errEraRaised)
	assert.Equal(t, len(holder.Held()), 0)
}

// TestTwoErasOneHome guards against an account that exceeds its rate because it has two
// homes: one that cannot reach the store and has not heard of the rise, and one of the
// new era. Its backup promises for as long as it may.
func TestTwoErasOneHome(t *testing.T) {
	cases := map[string]struct {
		// next returns the daemon that acquires the group in the new era.
		next func(store *fakeStore) home
	}{
		"another host that saw the rise": {func(store *fakeStore) home {
			next := newHomeInEra(store, "b", "b1")
			next.EnterEra(firstEra, secondEra)
			return next
		}},
		"a host that starts in the new era": {func(store *fakeStore) home {
			next := newHome(store, "b", "b2")
			next.MembersRead = func([]balsamproxy.Member) {}
			next.listed = false
			next.clock.now = balsamproxy.BootTime(time.Hour + homes.FormerEraDelay)
			next.startedAt = next.clock.now
			next.EnterEra(0, secondEra)
			return next
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			former := newHomeInEra(store, "a", "a1")
			former.acquire(t)
			former.AskPromise = func(context.Context, balsamproxy.HostID, allowance.Group) bool { return true }
			store.restore()
			next := test.next(store)
			start := next.clock.now
			former.clock.now, former.renewedAt = start, start
			assert.NilError(t, next.list(t.Context(), currentList))
			next.hostLease, next.hostRenewedAt = 1, start
			for next.clock.now.Sub(start) < 10*time.Second && len(next.Held()) == 0 {
				next.clock.now += balsamproxy.BootTime(100 * time.Millisecond)
				former.clock.now = next.clock.now
				former.askPromises(t.Context())
				former.dropExpired()
				next.hostRenewedAt = next.clock.now
				assert.NilError(t, next.acquireTenures(t.Context()))
				_, holds := former.Holds(group, former.clock.now)
				assert.Assert(t, !holds || len(next.Held()) == 0, "two homes after %v", next.clock.now.Sub(start))
			}
			since, holds := next.Holds(group, next.clock.now)
			assert.Assert(t, holds, "nobody took the tenure")
			assert.Assert(t, since.Sub(start) >= homes.FormerEraDelay)
			remainder := next.Remainder(allowance.Term{Group: group, Since: since.Time()}, "closed")
			assert.Equal(t, remainder.Tokens, 0)
			assert.Equal(t, remainder.EndedFor, since.Sub(start)-homes.FormerEraDelay)
		})
	}
}

// TestRecordsOfAnEarlierEra guards against records in the copy: of a tenure that its own
// host takes for granted, and of tokens that the home after it has used already.
func TestRecordsOfAnEarlierEra(t *testing.T) {
	store := newFakeStore()
	first := newHomeInEra(store, "a", "a1")
	first.acquire(t)
	first.Leave(t.Context())
	value, err := json.Marshal(homes.Tenure{Host: "b", Incarnation: "b1", Era: firstEra})
	assert.NilError(t, err)
	store.entries["homes/3"] = balsamproxy.StoreEntry{Key: "homes/3", Value: value, Revision: 9}
	next := newHomeInEra(store, "b", "b1")
	next.EnterEra(firstEra, secondEra)
	assert.NilError(t, next.list(t.Context(), currentList))
	_, known := next.RecordedHome(group)
	assert.Assert(t, !known)
	for _, elapsed := range []time.Duration{0, homes.FormerEraDelay - 1} {
		next.clock.now = next.era.since + balsamproxy.BootTime(elapsed)
		_, due := next.acquisitionSwap(group, next.candidates())
		assert.Assert(t, !due)
	}
	// Its lease has ended by then.
	delete(store.entries, "homes/3")
	next.clock.now = next.era.since + balsamproxy.BootTime(10*time.Second)
	assert.NilError(t, next.acquireTenures(t.Context()))
	since, holds := next.Holds(group, next.clock.now)
	assert.Assert(t, holds)
	assert.Equal(t, next.Remainder(allowance.Term{Group: group, Since: since.Time()}, "closed").Tokens, 0)
	// In the same era its tokens are passed on, and nobody waits.
	next.Leave(t.Context())
	last := newHome(store, "c", "c1")
	last.MembersRead = func([]balsamproxy.Member) {}
	last.clock.now = balsamproxy.BootTime(time.Hour)
	last.EnterEra(0, secondEra)
	assert.NilError(t, last.list(t.Context(), currentList))
	last.clock.now += balsamproxy.BootTime(3 * time.Second)
	assert.NilError(t, last.acquireTenures(t.Context()))
	since, holds = last.Holds(group, last.clock.now)
	assert.Assert(t, holds)
	assert.Equal(t, last.Remainder(allowance.Term{Group: group, Since: since.Time()}, "closed").Tokens, 7)
}

// TestFirstStartDoesNotWait guards against a fleet that starts for the first time and
// waits for homes that there cannot be, unless the store comes back older meanwhile.
func TestFirstStartDoesNotWait(t *testing.T) {
	for name, raised := range map[string]bool{"first start": false, "rise after it": true} {
		t.Run(name, func(t *testing.T) {
			home := newHome(newFakeStore(), "a", "a1")
			home.MembersRead = func([]balsamproxy.Member) {}
			home.FirstStart = true
			home.EnterEra(0, firstEra)
			if raised {
				home.EnterEra(firstEra, secondEra)
			}
			assert.NilError(t, home.list(t.Context(), currentList))
			home.clock.now += balsamproxy.BootTime(3 * time.Second)
			assert.NilError(t, home.acquireTenures(t.Context()))
			assert.Equal(t, len(home.Held()) > 0, !raised)
		})
	}
}

// TestStatusOfAnEarlierEra guards against the tenures of a peer that has not heard of the
// rise yet.
func TestStatusOfAnEarlierEra(t *testing.T) {
	home := newHomeInEra(newFakeStore(), "a", "a1")
	home.EnterEra(firstEra, secondEra)
	home.ApplyStatus(balsamproxy.Status{Host: "b", Incarnation: "b1", Homes: []int{int(group)}, Era: firstEra})
	_, known := home.RecordedHome(group)
	assert.Assert(t, !known)
	home.ApplyStatus(balsamproxy.Status{Host: "b", Incarnation: "b1", Homes: []int{int(group)}, Era: secondEra})
	_, known = home.RecordedHome(group)
	assert.Assert(t, known)
}

// raisingStore raises the era of a home while a write is on its way.
type raisingStore struct {
	*fakeStore
	raise func()
}

func (store raisingStore) Transact(ctx context.Context, transaction balsamproxy.StoreTransaction) (balsamproxy.Revision, error) {
	revision, err := store.fakeStore.Transact(ctx, transaction)
	store.raise()
	return revision, err
}

func (store raisingStore) Swap(ctx context.Context, swap balsamproxy.StoreSwap) (balsamproxy.Revision, error) {
	return store.Transact(ctx, balsamproxy.StoreTransaction{Swaps: []balsamproxy.StoreSwap{swap}})
}

// TestRiseDuringAWrite guards against a tenure, a host record or a record of targets that
// counts as written although the era rose meanwhile.
func TestRiseDuringAWrite(t *testing.T) {
	store := newFakeStore()
	home := newHomeInEra(store, "a", "a1")
	home.hostLease, home.startedAt = 1, 0
	era := firstEra
	home.Store = raisingStore{fakeStore: store, raise: func() { home.EnterEra(era, era+1); era++ }}
	home.freeSince = map[allowance.Group]balsamproxy.BootTime{group: 0}
	swap := balsamproxy.StoreSwap{Key: home.homeKey(group), Value: []byte("{}"), Lease: 1}
	assert.ErrorIs(t, home.acquireTenure(t.Context(), group, swap), errEraRaised)
	assert.Equal(t, len(home.Held()), 0)
	home.hostLease, home.listed = 1, true
	err := home.publish(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, home.published, balsamproxy.Revision(0))
	write := func() ([]byte, error) { return []byte("state"), nil }
	assert.Assert(t, home.RecordTargets(t.Context(), write) != nil)
	home.Store = store
	assert.NilError(t, home.RecordTargets(t.Context(), write))
}

// TestStopAfterARise guards against a daemon that stops and revokes leases of the earlier
// era, which may be those of other daemons by now.
func TestStopAfterARise(t *testing.T) {
	store := &revokingStore{fakeStore: newFakeStore()}
	home := newHomeInEra(store.fakeStore, "a", "a1")
	home.acquire(t)
	home.lease, home.hostLease = 5, 6
	home.Store = store
	store.refuse = func() { home.EnterEra(firstEra, secondEra) }
	home.Leave(t.Context())
	assert.Equal(t, len(store.revoked), 0)
}

// revokingStore refuses transactions and records which leases are revoked.
type revokingStore struct {
	*fakeStore
	refuse  func()
	revoked []balsamproxy.LeaseID
}

func (store *revokingStore) Transact(context.Context, balsamproxy.StoreTransaction) (balsamproxy.Revision, error) {
	store.refuse()
	return 0, errors.New("raised")
}

func (store *revokingStore) Revoke(_ context.Context, lease balsamproxy.LeaseID) error {
	store.revoked = append(store.revoked, lease)
	return nil
}
