// Package registry keeps this daemon's records in the platform's store, with
// the tenures that it holds, and reads those of others.
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
	// hostLeaseTime is the time to live of the record of a host. Others learn
	// from their links sooner that a host is gone.
	hostLeaseTTL = 20 * time.Second
	// hostRenewInterval leaves two tries before that lease ends.
	hostRenewInterval = 6 * time.Second
	// leaseTime is the time to live of tenures: a home that is gone is
	// followed after it. Over an outage of the store a home goes on by
	// promises of its backup.
	tenureLeaseTTL = 1500 * time.Millisecond
	// leaseMargin is how much earlier a daemon takes its own lease for ended.
	leaseMargin = 250 * time.Millisecond
	// renewInterval leaves one more try before a lease ends, and renewTimeout
	// bounds a try; a slow store answers in about 250 ms.
	renewInterval = 450 * time.Millisecond
	renewTimeout  = 400 * time.Millisecond
	// renewPause is the least time between two tries.
	minRenewInterval = 250 * time.Millisecond
	// promiseInterval is the time between two questions to a backup.
	promiseInterval = 300 * time.Millisecond
	promiseTimeout  = 250 * time.Millisecond
	// suspectTime is how long the records are read often after a home did not
	// answer.
	suspicionDuration = 2 * time.Second
	// listInterval is the time between two reads of all records. Links tell
	// sooner what has changed.
	listInterval = 8 * time.Second
	// listPerHost is added for each host, so that all daemons together read
	// as often in a large fleet as in a small one.
	listPerHost = 300 * time.Millisecond
	// urgentInterval is the time between two reads while a record is missing.
	urgentInterval = 400 * time.Millisecond
	// settleTime is how long a daemon that starts leaves free tenures alone,
	// while it dials the others.
	startupDelay = 700 * time.Millisecond
	// failedInterval is the wait after a read that failed.
	listRetryInterval = 2 * time.Second
	stepInterval      = 100 * time.Millisecond
	// stepIdle is that time for the leases of a daemon without tenures; it is
	// shorter than what a renewal leaves.
	idleStepInterval = 250 * time.Millisecond
	// stepMax bounds the wait after calls that failed: a store that is back
	// finds the records again within two seconds, and homes take their
	// tenures back before their callers give up.
	maxStepInterval = 700 * time.Millisecond
	// missedMax is how many lists in a row a host may be missing from before
	// it is taken for gone.
	maxMissedLists = 2
	// targetsTime is how long the store remembers the targets of a host: the
	// longest time to live that it gives.
	targetsTTL     = 10 * time.Minute
	targetsTimeout = 400 * time.Millisecond
)

// Store is what the registry needs of the platform's store.
type Store interface {
	balsamproxy.Store
	balsamproxy.StorePoller
	balsamproxy.StoreTransactor
}

// Registry keeps the records of one daemon. Its exported fields must be set.
type Registry struct {
	Store  Store
	Prefix balsamproxy.StoreKey
	Host   balsamproxy.HostID
	// Incarnation names this run of the daemon.
	Incarnation string
	Clock       balsamproxy.BootClock
	// Record returns what the daemon publishes of itself.
	Record func() balsamproxy.Member
	// Present returns the hosts that can be reached now, this one included.
	Present func() []balsamproxy.HostID
	// MembersRead is told all records after each reading.
	MembersRead func([]balsamproxy.Member)
	// HomesChanged is called when this daemon took or lost a tenure.
	HomesChanged func()
	// Close ends the lending of a term and returns what is left of it.
	Close func(term allowance.Term) allowance.Floors
	// AskPromise asks a host to leave the tenure of a group alone for a while.
	AskPromise func(ctx context.Context, host balsamproxy.HostID, group allowance.Group) bool
	Log        zerolog.Logger

	mutex sync.Mutex
	// hostLease holds the record of the host, and lease the tenures.
	hostLease     balsamproxy.LeaseID
	hostRenewedAt balsamproxy.BootTime
	lease         balsamproxy.LeaseID
	renewedAt     balsamproxy.BootTime
	// triedAt is when the tenures' lease was last tried to be renewed.
	lastRenewalAttempt balsamproxy.BootTime
	published          balsamproxy.Revision
	held               map[allowance.Group]balsamproxy.BootTime
	leaving            bool
	// terms are the terms that this daemon began, as long as no other daemon
	// is known to have begun a later one.
	terms map[allowance.Group]term
	// formers are the last homes as the store showed them, and ended those
	// incarnations that said that they hold a tenure no more.
	previousHomes      map[allowance.Group]homes.PreviousHome
	closedIncarnations map[allowance.Group]string
	// promised is until when this daemon leaves tenures alone, and taking the
	// group whose tenure it is taking.
	promised  map[allowance.Group]balsamproxy.BootTime
	acquiring map[allowance.Group]bool
	// suspected is when homes did not answer.
	suspected map[allowance.Group]balsamproxy.BootTime
	// listedAt is when the records were last asked for.
	lastListAt balsamproxy.BootTime
	startedAt  balsamproxy.BootTime
	// tenures are the tenures that the store showed last.
	tenures     map[allowance.Group]tenure
	members     map[balsamproxy.HostID]balsamproxy.Member
	missedLists map[balsamproxy.HostID]int
	freeSince   map[allowance.Group]balsamproxy.BootTime
	listed      bool
	// relist asks for the next list at once.
	relist chan struct{}
	// reached tells whether the last call reached the store.
	storeReachable bool
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

func (registry *Registry) floorsPrefix() balsamproxy.StoreKey { return registry.Prefix + "floors/" }

func (registry *Registry) floorsKey(group allowance.Group) balsamproxy.StoreKey {
	return registry.floorsPrefix() + balsamproxy.StoreKey(strconv.Itoa(int(group)))
}

func (registry *Registry) homeKey(group allowance.Group) balsamproxy.StoreKey {
	return registry.homesPrefix() + balsamproxy.StoreKey(strconv.Itoa(int(group)))
}

// Run keeps the records until ctx ends.
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

// holds says whether this daemon holds a tenure: then its renewals tell whether
// the store is reached.
func (registry *Registry) holdsTenure() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.held) > 0
}

// note logs when the store is lost or regained.
func (registry *Registry) recordStoreResult(err error) {
	storeReachable := err == nil
	registry.mutex.Lock()
	before := registry.storeReachable
	registry.storeReachable = storeReachable
	registry.mutex.Unlock()
	if storeReachable == before {
		return
	}
	registry.HomesChanged()
	if storeReachable {
		registry.Log.Info().Str("event", "dependency-regained").Str("dependency", "store").Send()
		return
	}
	registry.Log.Warn().Str("event", "dependency-lost").Str("dependency", "store").Err(err).Send()
}

// StoreReachable says whether the last calls reached the store.
func (registry *Registry) StoreReachable() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.storeReachable
}

// publish writes the own record under the lease.
func (registry *Registry) publish(ctx context.Context) error {
	registry.mutex.Lock()
	lease, published, leaving := registry.hostLease, registry.published, registry.leaving
	registry.mutex.Unlock()
	if lease == 0 || published != 0 || leaving {
		return nil
	}
	value, err := json.Marshal(registry.Record())
	if err != nil {
		return err
	}
	revision, err := registry.overwrite(ctx, balsamproxy.StoreSwap{Key: registry.hostKey(), Value: value, Lease: lease})
	if errors.Is(err, balsamproxy.ErrStoreLeaseLost) {
		registry.loseHostLease(err)
	}
	if err != nil {
		return err
	}
	registry.mutex.Lock()
	registry.published = revision
	registry.mutex.Unlock()
	return nil
}

// replace writes a key that only this host writes, whatever stands there.
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

// Leave ends the tenures at once, so that others can take them, and leaves to
// them what has not been lent.
func (registry *Registry) Leave(ctx context.Context) {
	registry.mutex.Lock()
	lease, hostLease := registry.lease, registry.hostLease
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
		registry.revoke(ctx, lease)
	}
	registry.HomesChanged()
	registry.revoke(ctx, hostLease)
}

func (registry *Registry) revoke(ctx context.Context, lease balsamproxy.LeaseID) {
	if lease == 0 {
		return
	}
	if err := registry.Store.Revoke(ctx, lease); err != nil {
		registry.Log.Warn().Str("event", "lease-not-revoked").Err(err).Send()
	}
}

// RecordTargets writes down what the targets of this host said last, so that a
// daemon that starts again knows them, and gives none that leaves any work.
func (registry *Registry) RecordTargets(ctx context.Context, records []byte) error {
	ctx, cancel := context.WithTimeout(ctx, targetsTimeout)
	defer cancel()
	lease, err := registry.Store.Grant(ctx, targetsTTL)
	if err != nil {
		return err
	}
	_, err = registry.overwrite(ctx, balsamproxy.StoreSwap{Key: registry.targetsKey(), Value: records, Lease: lease})
	return err
}

// Targets reads what an earlier run of this daemon wrote down; nil if it wrote
// nothing.
func (registry *Registry) Targets(ctx context.Context) ([]byte, error) {
	entry, err := registry.Store.Get(ctx, registry.targetsKey())
	if errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return nil, nil
	}
	return entry.Value, err
}

func hostFromKey(key, prefix balsamproxy.StoreKey) balsamproxy.HostID {
	return balsamproxy.HostID(strings.TrimPrefix(string(key), string(prefix)))
}
