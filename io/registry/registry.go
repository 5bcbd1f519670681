// Package registry maintains this daemon's records in the platform's store,
// including the tenures that it holds, and reads the records of other daemons.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

const (
	// hostLeaseTTL is the time to live of a host's record. Other daemons
	// detect a failed host earlier through their links.
	hostLeaseTTL = 20 * time.Second
	// hostRenewInterval leaves two attempts before that lease expires.
	hostRenewInterval = 6 * time.Second
	// tenureLeaseTTL is the time to live of tenures, after which a failed home
	// can be replaced. During an outage of the store a home continues on
	// promises of its backup.
	tenureLeaseTTL = 1500 * time.Millisecond
	// leaseMargin is how much earlier than the store a daemon considers its
	// own lease expired.
	leaseMargin = 250 * time.Millisecond
	// renewInterval leaves one more attempt before a lease expires, and
	// renewTimeout bounds an attempt. A slow store responds in about 250 ms.
	renewInterval = 450 * time.Millisecond
	renewTimeout  = 400 * time.Millisecond
	// minRenewInterval is the minimum time between two attempts.
	minRenewInterval = 250 * time.Millisecond
	// promiseInterval is the time between two requests for a promise to a
	// backup.
	promiseInterval = 300 * time.Millisecond
	promiseTimeout  = 250 * time.Millisecond
	// suspicionDuration is how long the records are read frequently after a
	// home did not respond.
	suspicionDuration = 2 * time.Second
	// listInterval is the time between two reads of all records. Links report
	// changes earlier.
	listInterval = 8 * time.Second
	// listPerHost is added to listInterval for each host, so that the total
	// read rate of all daemons does not grow with the fleet.
	listPerHost = 300 * time.Millisecond
	// urgentInterval is the time between two reads while this daemon expects
	// to take over a tenure.
	urgentInterval = 400 * time.Millisecond
	// startupDelay is how long a starting daemon does not acquire free
	// tenures, while it connects to the others.
	startupDelay = 700 * time.Millisecond
	// outageEndPeriod is how long after an outage of the store the daemons that have
	// not reported yet that they reach it again count as candidates for tenures.
	// Otherwise each daemon would take itself for the only one.
	outageEndPeriod = 1500 * time.Millisecond
	// listRetryInterval is the delay after a failed read.
	listRetryInterval = 2 * time.Second
	stepInterval      = 100 * time.Millisecond
	// idleStepInterval replaces stepInterval for the lease of a daemon without
	// tenures. It is shorter than the lease time that remains when a renewal
	// is due.
	idleStepInterval = 250 * time.Millisecond
	// maxStepInterval bounds the delay after failed calls, so that the records
	// are restored within two seconds after an outage of the store, and homes
	// acquire their tenures again before their callers give up.
	maxStepInterval = 700 * time.Millisecond
	// maxMissedLists is in how many consecutive lists a host may be missing
	// before it is considered gone.
	maxMissedLists = 2
	// targetsTTL is how long the store keeps the targets of a host. It is the
	// maximum time to live that the store supports.
	targetsTTL = 10 * time.Minute
	// targetsLeaseReuse is how long a lease of the targets is used for further
	// writes. What is written last is kept for the rest of targetsTTL at least.
	targetsLeaseReuse = time.Minute
	// publishDelay bounds how long a starting daemon waits for its first list,
	// from which it knows the revision of its earlier record.
	publishDelay = 400 * time.Millisecond
)

// Store contains the operations of the platform's store that the registry
// uses.
type Store interface {
	balsamproxy.Store
	balsamproxy.StorePoller
	balsamproxy.StoreTransactor
	balsamproxy.StoreStaleReader
}

// Registry maintains the records of one daemon. Its exported fields must be
// set before use.
type Registry struct {
	Store  Store
	Prefix balsamproxy.StoreKey
	Host   balsamproxy.HostID
	// Incarnation identifies this run of the daemon.
	Incarnation string
	Clock       balsamproxy.BootClock
	// FirstStart is set when the whole fleet starts for the first time, so that
	// the store has no records of earlier runs.
	FirstStart bool
	// Record returns the record that the daemon publishes.
	Record func() balsamproxy.Member
	// Present returns the hosts that can take tenures now, including this one, and
	// Linked those that this daemon has a link to, whether they reach the store or
	// not.
	Present func() []balsamproxy.HostID
	Linked  func() []balsamproxy.HostID
	// MembersRead is called with all members after each read.
	MembersRead func([]balsamproxy.Member)
	// HomesChanged is called when this daemon has acquired or lost a tenure,
	// or when the store has become unreachable.
	HomesChanged func()
	// StoreReached is called when the store has become reachable.
	StoreReached func()
	// Close stops granting tokens for a term that began at since, and returns the
	// remaining ones.
	Close func(term allowance.Term, since balsamproxy.BootTime) allowance.Remainders
	// AskPromise asks a host not to acquire the tenure of a group for a while.
	AskPromise func(ctx context.Context, host balsamproxy.HostID, group allowance.Group) bool
	Log        zerolog.Logger

	mutex sync.Mutex
	// hostLease is the lease of the record of the host, and lease that of the
	// tenures.
	hostLease     balsamproxy.LeaseID
	hostRenewedAt balsamproxy.BootTime
	lease         balsamproxy.LeaseID
	renewedAt     balsamproxy.BootTime
	// lastRenewalAttempt is when a renewal of the lease of the tenures was
	// last attempted.
	lastRenewalAttempt balsamproxy.BootTime
	published          balsamproxy.Revision
	// recordRevision is the revision of this host's record in the first list.
	recordRevision balsamproxy.Revision
	targets        targetsRecord
	held           map[allowance.Group]balsamproxy.BootTime
	leaving        bool
	// terms contains the terms that this daemon started, unless another daemon
	// is known to have started a later one.
	terms map[allowance.Group]term
	// previousHomes contains the last known homes, and closedIncarnations
	// those incarnations that announced the end of their tenure.
	previousHomes      map[allowance.Group]homes.PreviousHome
	closedIncarnations map[allowance.Group]string
	// promised is the time until which this daemon does not acquire a tenure,
	// and acquiring contains the groups whose tenure it is acquiring.
	promised  map[allowance.Group]balsamproxy.BootTime
	acquiring map[allowance.Group]bool
	// suspected is when the home of a group last failed to respond.
	suspected map[allowance.Group]balsamproxy.BootTime
	// lastListAt is when the last read of all records started.
	lastListAt balsamproxy.BootTime
	startedAt  balsamproxy.BootTime
	// tenures contains the last known tenures.
	tenures     map[allowance.Group]tenure
	members     map[balsamproxy.HostID]balsamproxy.Member
	missedLists map[balsamproxy.HostID]int
	freeSince   map[allowance.Group]balsamproxy.BootTime
	// unheld contains the groups without a tenure in the last list.
	unheld map[allowance.Group]unheld
	listed bool
	// relist triggers the next list immediately.
	relist chan struct{}
	// storeReachable is set if the last call reached the store, which it does since
	// reachableSince.
	storeReachable bool
	reachableSince balsamproxy.BootTime
	era            eraState
}

// unheld is a period in which a group has had no tenure. It began at since at the
// latest, unless the record of remaining tokens has another revision now.
type unheld struct {
	revision balsamproxy.Revision
	since    balsamproxy.BootTime
}

type tenure struct {
	homes.Tenure
	revision balsamproxy.Revision
}

func (registry *Registry) hostKey() balsamproxy.StoreKey {
	return registry.hostsPrefix() + balsamproxy.StoreKey(registry.Host)
}

func (registry *Registry) hostsPrefix() balsamproxy.StoreKey { return registry.Prefix + "hosts/" }

func (registry *Registry) homesPrefix() balsamproxy.StoreKey { return registry.Prefix + "homes/" }

func (registry *Registry) targetsKey() balsamproxy.StoreKey {
	return registry.Prefix + "targets/" + balsamproxy.StoreKey(registry.Host)
}

// remaindersPrefix is the prefix of the records of remaining tokens, which keep the
// name of an earlier version.
func (registry *Registry) remaindersPrefix() balsamproxy.StoreKey { return registry.Prefix + "floors/" }

func (registry *Registry) remainderKey(group allowance.Group) balsamproxy.StoreKey {
	return registry.remaindersPrefix() + balsamproxy.StoreKey(strconv.Itoa(int(group)))
}

func (registry *Registry) homeKey(group allowance.Group) balsamproxy.StoreKey {
	return registry.homesPrefix() + balsamproxy.StoreKey(strconv.Itoa(int(group)))
}

// Run maintains the records until ctx is done.
func (registry *Registry) Run(ctx context.Context) error {
	registry.mutex.Lock()
	registry.startedAt = registry.Clock.Boot()
	registry.mutex.Unlock()
	wait := stepInterval
	for {
		if registry.step(ctx) == nil {
			wait = stepInterval
		} else {
			wait = min(2*wait, maxStepInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (registry *Registry) step(ctx context.Context) error {
	err := registry.keepHostLease(ctx)
	if err == nil {
		err = registry.publish(ctx)
	}
	if err == nil {
		err = registry.acquireTenures(ctx)
	}
	if err != nil || !registry.holdsTenure() {
		registry.recordStoreResult(err)
	}
	return err
}

// holdsTenure reports whether this daemon holds a tenure. If it does, its
// lease renewals show whether the store is reachable.
func (registry *Registry) holdsTenure() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.held) > 0
}

// recordStoreResult records the result of a call to the store and logs when
// the store becomes reachable or unreachable.
func (registry *Registry) recordStoreResult(err error) {
	storeReachable := err == nil
	registry.mutex.Lock()
	before := registry.storeReachable
	registry.storeReachable = storeReachable
	if storeReachable && !before {
		registry.reachableSince = registry.Clock.Boot()
	}
	registry.mutex.Unlock()
	if storeReachable == before {
		return
	}
	if storeReachable {
		registry.StoreReached()
		registry.Log.Info().Str("event", "dependency-regained").Str("dependency", "store").Send()
		return
	}
	registry.HomesChanged()
	registry.Log.Warn().Str("event", "dependency-lost").Str("dependency", "store").Err(err).Send()
}

// StoreReachable reports whether the last calls reached the store.
func (registry *Registry) StoreReachable() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.storeReachable
}

// publish writes this host's record under its lease.
func (registry *Registry) publish(ctx context.Context) error {
	registry.mutex.Lock()
	lease, published, leaving := registry.hostLease, registry.published, registry.leaving
	early := !registry.listed && registry.Clock.Boot().Sub(registry.startedAt) < publishDelay
	if lease == 0 || published != 0 || leaving || early {
		registry.mutex.Unlock()
		return nil
	}
	expected := registry.recordRevision
	registry.recordRevision = 0
	begun := registry.era.current
	registry.mutex.Unlock()
	value, err := json.Marshal(registry.Record())
	if err != nil {
		return err
	}
	revision, err := registry.overwrite(ctx, balsamproxy.StoreSwap{Key: registry.hostKey(), Value: value, Expected: expected, Lease: lease})
	if errors.Is(err, balsamproxy.ErrStoreLeaseLost) {
		registry.loseHostLease(begun, err)
	}
	if err != nil {
		return err
	}
	return registry.inEra(begun, func() { registry.published = revision })
}

// overwrite writes a key that only this host writes, whatever its current
// value. The expected revision saves a read if it is right.
func (registry *Registry) overwrite(ctx context.Context, swap balsamproxy.StoreSwap) (balsamproxy.Revision, error) {
	revision, err := registry.Store.Swap(ctx, swap)
	if !errors.Is(err, balsamproxy.ErrStoreConflict) {
		return revision, err
	}
	existing, err := registry.Store.Get(ctx, swap.Key)
	if err != nil && !errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return 0, err
	}
	swap.Expected = existing.Revision
	return registry.Store.Swap(ctx, swap)
}

// Leave ends the tenures immediately, so that other daemons can acquire them,
// and passes on the remaining tokens.
func (registry *Registry) Leave(ctx context.Context) {
	registry.mutex.Lock()
	lease, hostLease := registry.lease, registry.hostLease
	begun := registry.era.current
	ending := []allowance.Group{}
	for group := range registry.held {
		ending = append(ending, group)
	}
	registry.leaving = true
	registry.held = nil
	registry.lease = 0
	registry.hostLease = 0
	registry.mutex.Unlock()
	if err := registry.handOver(ctx, ending); err != nil {
		registry.Log.Warn().Str("event", "tenures-not-handed-over").Err(err).Send()
		registry.revoke(ctx, begun, lease)
	}
	registry.HomesChanged()
	registry.revoke(ctx, begun, hostLease)
}

// revoke ends a lease of an era. In a later one the lease may be another daemon's.
func (registry *Registry) revoke(ctx context.Context, begun balsamproxy.StoreEra, lease balsamproxy.LeaseID) {
	if lease == 0 || registry.inEra(begun, func() {}) != nil {
		return
	}
	if err := registry.Store.Revoke(ctx, lease); err != nil {
		registry.Log.Warn().Str("event", "lease-not-revoked").Err(err).Send()
	}
}

func hostFromKey(key, prefix balsamproxy.StoreKey) balsamproxy.HostID {
	return balsamproxy.HostID(strings.TrimPrefix(string(key), string(prefix)))
}
