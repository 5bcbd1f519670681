package mesh

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/era"
	"balsamproxy/core/evacuation"
	"balsamproxy/core/evidence"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

const (
	// pollTimeout bounds one long poll for changes. The age of the evidence
	// counts from the start of the last completed poll, so it reaches up to two
	// polls, and for peers that request it the interval of their requests on top.
	pollTimeout = 400 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the exponential backoff after
	// failed calls to the store.
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = 700 * time.Millisecond
	// readerRetryAdvance is how long a daemon that leaves reading to another one does
	// not call the store after a failed call. It is less than evidence is valid, so
	// that a daemon whose reader alone is cut off finds out in time.
	readerRetryAdvance = 2 * time.Second
	// fleetStartDelay is how long the daemons of a fleet that starts for the first
	// time connect to each other before one of them reads the store.
	fleetStartDelay = 1500 * time.Millisecond
	// readerLead is how much earlier the readers ask than the others then, so that
	// they have an answer for them.
	readerLead = 500 * time.Millisecond
	// fetchTimeout bounds the request for the configuration of a peer.
	fetchTimeout = time.Second

	kindConfig peer.Kind = "configuration"
	// sourceStore and sourceStale are the logged sources of configurations read from
	// the store.
	sourceStore = "store"
	sourceStale = "store-stale"
)

// Decode parses a stored document into a configuration and its version.
type Decode func(data []byte) (*config.Document, balsamproxy.Revision, error)

// configFollower keeps the configuration in force up to date, and the evidence
// that it is current.
type configFollower struct {
	store  balsamproxy.StorePoller
	reader balsamproxy.StoreReader
	key    balsamproxy.StoreKey
	// operatorPrefix and evacuationPrefix are those of Platform.
	operatorPrefix   balsamproxy.StoreKey
	evacuationPrefix balsamproxy.StoreKey
	evacuations      *evacuation.Table
	decode           Decode
	current          *config.Current
	evidence         *evidence.Evidence
	clock            balsamproxy.BootClock
	// onChange is called after a change that peers wait for, and onFirst after the
	// first configuration that they have as well.
	onChange func()
	onFirst  func()
	relay    *relay
	log      zerolog.Logger
	// stale is set when the whole fleet starts for the first time. The daemon then
	// leaves it to the readers to confirm the configuration, once it has links to
	// them.
	stale balsamproxy.StoreStaleReader
	// era returns the era of the store, or zero if it reports none. It may be nil.
	era func() balsamproxy.StoreEra
	// stored is the version last read from the store. Only run uses it.
	stored balsamproxy.Revision
	// lossy is the era of the store whose copy may lack versions of the configuration,
	// until a read finds the one in force, or a later one. It is zero if there is none.
	lossy atomic.Int64

	mutex sync.Mutex
	raw   []byte
}

// run follows the configuration in the store, directly or through a peer, until
// ctx ends.
func (follower *configFollower) run(ctx context.Context) error {
	backoff := minStoreBackoff
	var after era.Position
	reachable := true
	var failedAt balsamproxy.BootTime
	if follower.stale != nil {
		follower.startWithFleet(ctx)
	}
	for ctx.Err() == nil {
		if follower.relay.confirmByReader(ctx) {
			after = era.Position{}
			task.Sleep(ctx, relayInterval)
			continue
		}
		if !reachable && follower.clock.Boot().Sub(failedAt) < readerRetryAdvance && !follower.relay.isLinkedReader() {
			// The reader notices first that the store answers again.
			follower.relay.confirmByAnyPeer(ctx)
			task.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		var err error
		after, err = follower.poll(ctx, after)
		if err == nil {
			if !reachable {
				follower.log.Info().Str("event", "dependency-regained").Str("dependency", "store-configuration").Send()
			}
			reachable, backoff = true, minStoreBackoff
			continue
		}
		if errors.Is(err, balsamproxy.ErrStoreCompacted) {
			after = era.Position{}
			follower.log.Info().Str("event", "store-history-gone").Send()
			continue
		}
		if reachable && ctx.Err() == nil {
			follower.log.Warn().Str("event", "dependency-lost").Str("dependency", "store-configuration").Err(err).Send()
		}
		reachable = false
		failedAt = follower.clock.Boot()
		follower.relay.confirmByAnyPeer(ctx)
		task.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxStoreBackoff)
	}
	return ctx.Err()
}

// startWithFleet reads a document that may be old, without evidence that it is not,
// and waits until the readers can confirm it.
func (follower *configFollower) startWithFleet(ctx context.Context) {
	follower.readStale(ctx)
	task.Sleep(ctx, fleetStartDelay)
	if !follower.relay.isReader() {
		task.Sleep(ctx, readerLead)
	}
}

func (follower *configFollower) readStale(ctx context.Context) {
	snapshot, err := follower.stale.RangeStale(ctx, follower.key)
	if err != nil {
		follower.log.Debug().Str("event", "list-failed").Err(err).Send()
		return
	}
	for _, entry := range snapshot.Entries {
		if entry.Key == follower.key {
			follower.apply(entry.Value, sourceStale)
		}
	}
}

// storeEra returns the era of the store, or zero if it reports none.
func (follower *configFollower) storeEra() balsamproxy.StoreEra {
	if follower.era == nil {
		return 0
	}
	return follower.era()
}

// poll waits once for changes after a position, or reads the document if it cannot
// continue from there. It returns the position to continue from.
func (follower *configFollower) poll(ctx context.Context, after era.Position) (era.Position, error) {
	start := follower.clock.Boot()
	begun := follower.storeEra()
	if !after.Continues(begun) {
		return follower.read(ctx, begun, start)
	}
	changes, err := follower.store.Changes(ctx, follower.watchedPrefix(), after.Revision, pollTimeout)
	if err != nil {
		return after, err
	}
	if follower.storeEra() != begun {
		// The revision may have been used in an era that it does not belong to.
		return era.Position{}, nil
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			follower.applyEntry(event.Entry)
		}
		follower.applyEvacuation(event, begun)
	}
	follower.confirmRead(begun, start)
	return era.Position{Era: begun, Revision: changes.Revision}, nil
}

// read reads the document. It started in an era.
func (follower *configFollower) read(ctx context.Context, begun balsamproxy.StoreEra, start balsamproxy.BootTime) (era.Position, error) {
	snapshot, err := follower.reader.Range(ctx, follower.watchedPrefix())
	if err != nil {
		return era.Position{}, err
	}
	position := era.Position{Era: follower.storeEra(), Revision: snapshot.Revision}
	if !era.Same(begun, position.Era, follower.lossy.Load() != 0) {
		// The revision may be of the earlier era.
		return era.Position{}, nil
	}
	follower.stored = 0
	// Before the configuration, with which the daemon begins to serve.
	follower.applyEvacuations(snapshot, position.Era)
	for _, entry := range snapshot.Entries {
		follower.applyEntry(entry)
	}
	follower.confirmRead(position.Era, start)
	return position, nil
}

// enterEra records that the store has come back from an older copy.
func (follower *configFollower) enterEra(current balsamproxy.StoreEra) {
	follower.evidence.StartOver(follower.clock.Boot())
	follower.lossy.Store(int64(current))
}

// confirmRead confirms the configuration with a read in an era that started at start.
func (follower *configFollower) confirmRead(begun balsamproxy.StoreEra, start balsamproxy.BootTime) {
	if !era.Confirms(follower.stored, follower.version(), follower.lossy.Load() != 0) {
		return
	}
	follower.lossy.CompareAndSwap(int64(begun), 0)
	follower.confirm(start)
}

func (follower *configFollower) confirm(start balsamproxy.BootTime) {
	if follower.current.Index() != nil {
		follower.evidence.Confirm(start)
	}
}

func (follower *configFollower) applyEntry(entry balsamproxy.StoreEntry) {
	if entry.Key == follower.key {
		follower.stored = follower.apply(entry.Value, sourceStore)
	}
}

// apply puts a document into force unless it cannot be decoded or is not newer
// than the current one. It returns the version of the document, or the one in force if
// it cannot be decoded.
func (follower *configFollower) apply(raw []byte, source string) balsamproxy.Revision {
	document, version, err := follower.decode(raw)
	if err != nil {
		inForce := follower.version()
		follower.log.Error().Str("event", "configuration-unreadable").Str("source", source).
			Int64("in-force", int64(inForce)).Err(err).Send()
		return inForce
	}
	follower.mutex.Lock()
	first := follower.current.Index() == nil
	updated := follower.current.Update(config.NewIndex(document, version))
	if updated {
		follower.raw = raw
	}
	follower.mutex.Unlock()
	if !updated {
		return version
	}
	follower.log.Info().Str("event", "configuration-in-force").Str("source", source).Int64("version", int64(version)).
		Int("routes", len(document.Routes)).Int("accounts", len(document.ClientAccounts)).Send()
	switch {
	case source == sourceStore || !first && follower.relay.isReader():
		// Readers announce new versions to all peers. Other daemons need no
		// announcement of their own: the version is part of the next one.
		follower.onChange()
	case first:
		follower.onFirst()
	}
	return version
}

func (follower *configFollower) version() balsamproxy.Revision {
	index := follower.current.Index()
	if index == nil {
		return 0
	}
	return index.Revision()
}

type configRequest struct{}

type configResponse struct {
	Raw []byte `cbor:"1,keyasint"`
}

// serve answers peers that request the configuration because theirs is older.
func (follower *configFollower) serve(server *peer.Server) {
	peer.Handle(server, kindConfig, func(context.Context, balsamproxy.HostID, configRequest) (configResponse, error) {
		follower.mutex.Lock()
		defer follower.mutex.Unlock()
		return configResponse{Raw: follower.raw}, nil
	})
}

// fetch requests the configuration of a peer that has a newer one and applies it.
func (follower *configFollower) fetch(ctx context.Context, pool *peer.Pool, host balsamproxy.HostID) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := peer.Ask[configRequest, configResponse](ctx, pool, host, kindConfig, configRequest{})
	if err != nil {
		follower.log.Warn().Str("event", "configuration-not-fetched").Str("peer", string(host)).Err(err).Send()
		return
	}
	follower.apply(answer.Raw, string(host))
}
