package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/evidence"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

const (
	// changesWait bounds one wait for changes. Evidence is as old as the
	// beginning of the last wait that has ended, so up to two waits, and peers
	// that ask for it add the time between their questions.
	changesWait = 700 * time.Millisecond
	// storePauseMin and storePauseMax bound the wait after a failed call.
	storePauseMin = 50 * time.Millisecond
	storePauseMax = 700 * time.Millisecond
	// fetchTimeout bounds the question to a peer for its configuration.
	fetchTimeout = time.Second

	kindDocument peer.Kind = "configuration"
	// sourceStore is logged as the source of what was read from the store.
	sourceStore = "store"
)

// Decode turns a stored document into a configuration with its version.
type Decode func(data []byte) (*config.Document, balsamproxy.Revision, error)

// documents keeps the configuration in force and the evidence for it.
type documents struct {
	store    balsamproxy.StorePoller
	reader   balsamproxy.StoreReader
	key      balsamproxy.StoreKey
	decode   Decode
	current  *config.Current
	evidence *evidence.Evidence
	clock    balsamproxy.BootClock
	changed  func()
	relay    *relay
	log      zerolog.Logger

	mutex sync.Mutex
	raw   []byte
}

// run follows the document in the store until ctx ends.
func (documents *documents) run(ctx context.Context) error {
	pause := storePauseMin
	after := balsamproxy.Revision(0)
	reachable := true
	for ctx.Err() == nil {
		if documents.relay.follow(ctx) {
			after = 0
			task.Sleep(ctx, relayInterval)
			continue
		}
		var err error
		after, err = documents.step(ctx, after)
		if err == nil {
			if !reachable {
				documents.log.Info().Str("event", "dependency-regained").Str("dependency", "store-configuration").Send()
			}
			reachable, pause = true, storePauseMin
			continue
		}
		if errors.Is(err, balsamproxy.ErrStoreCompacted) {
			after = 0
			documents.log.Info().Str("event", "store-history-gone").Send()
			continue
		}
		if reachable && ctx.Err() == nil {
			documents.log.Warn().Str("event", "dependency-lost").Str("dependency", "store-configuration").Err(err).Send()
		}
		reachable = false
		documents.relay.help(ctx)
		task.Sleep(ctx, pause)
		pause = min(2*pause, storePauseMax)
	}
	return ctx.Err()
}

// step reads the document once, or waits once for a change of it.
func (documents *documents) step(ctx context.Context, after balsamproxy.Revision) (balsamproxy.Revision, error) {
	began := documents.clock.Boot()
	if after == 0 {
		snapshot, err := documents.reader.Range(ctx, documents.key)
		if err != nil {
			return 0, err
		}
		for _, entry := range snapshot.Entries {
			documents.offer(entry)
		}
		documents.confirm(began)
		return snapshot.Revision, nil
	}
	changes, err := documents.store.Changes(ctx, documents.key, after, changesWait)
	if err != nil {
		return after, err
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			documents.offer(event.Entry)
		}
	}
	documents.confirm(began)
	return changes.Revision, nil
}

func (documents *documents) confirm(began balsamproxy.BootTime) {
	if documents.current.Index() != nil {
		documents.evidence.Confirm(began)
	}
}

func (documents *documents) offer(entry balsamproxy.StoreEntry) {
	if entry.Key == documents.key {
		documents.take(entry.Value, sourceStore)
	}
}

// take puts a document in force unless it is unreadable or not later than the
// one held.
func (documents *documents) take(raw []byte, source string) {
	document, version, err := documents.decode(raw)
	if err != nil {
		documents.log.Error().Str("event", "configuration-unreadable").Str("source", source).
			Int64("in-force", int64(documents.version())).Err(err).Send()
		return
	}
	documents.mutex.Lock()
	first := documents.current.Index() == nil
	taken := documents.current.Update(config.NewIndex(document, version))
	if taken {
		documents.raw = raw
	}
	documents.mutex.Unlock()
	if !taken {
		return
	}
	documents.log.Info().Str("event", "configuration-in-force").Str("source", source).Int64("version", int64(version)).
		Int("routes", len(document.Routes)).Int("accounts", len(document.ClientAccounts)).Send()
	if first || source == sourceStore {
		// Peers that read the store tell all others of later versions; what
		// came from one of them is told with the next change.
		documents.changed()
	}
}

func (documents *documents) version() balsamproxy.Revision {
	index := documents.current.Index()
	if index == nil {
		return 0
	}
	return index.Revision()
}

type documentQuestion struct{}

type documentAnswer struct {
	Raw []byte `cbor:"1,keyasint"`
}

// serve gives the configuration to peers that have an earlier one.
func (documents *documents) serve(server *peer.Server) {
	peer.Handle(server, kindDocument, func(context.Context, balsamproxy.HostID, documentQuestion) (documentAnswer, error) {
		documents.mutex.Lock()
		defer documents.mutex.Unlock()
		return documentAnswer{Raw: documents.raw}, nil
	})
}

// fetch takes the configuration of a peer that has a later one.
func (documents *documents) fetch(ctx context.Context, pool *peer.Pool, host balsamproxy.HostID) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := peer.Ask[documentQuestion, documentAnswer](ctx, pool, host, kindDocument, documentQuestion{})
	if err != nil {
		documents.log.Warn().Str("event", "configuration-not-fetched").Str("peer", string(host)).Err(err).Send()
		return
	}
	documents.take(answer.Raw, string(host))
}
