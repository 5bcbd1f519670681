package store

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/standing"
)

// DocumentName identifies a document that all daemons share.
type DocumentName string

// Names of the shared documents.
const (
	DocumentConfig DocumentName = "config"
	DocumentRoster DocumentName = "roster"
	DocumentHomes  DocumentName = "homes"
)

// SharedPrefix returns the key prefix of the shared documents.
func SharedPrefix(prefix string) balsamproxy.StoreKey {
	return balsamproxy.StoreKey(prefix + "shared/")
}

// Documents holds the shared documents of a daemon. A document is only
// replaced by a later revision, whatever the source. Its exported fields must
// be set before use.
type Documents struct {
	Store    balsamproxy.Store
	Prefix   balsamproxy.StoreKey
	Config   *config.Current
	Standing *standing.Standing
	// UpdateHomes puts the homes of allowances in force.
	UpdateHomes func(value []byte, revision balsamproxy.Revision) error
	Log         zerolog.Logger

	mutex sync.Mutex
	held  map[DocumentName]balsamproxy.StoreEntry
}

// Key returns the store key of a document.
func (documents *Documents) Key(name DocumentName) balsamproxy.StoreKey {
	return documents.Prefix + balsamproxy.StoreKey(name)
}

// Run follows the documents in the store until ctx is done.
func (documents *Documents) Run(ctx context.Context) error {
	return follow(ctx, documents.Store, documents.Prefix, documents)
}

// Fetch reads all documents once.
func (documents *Documents) Fetch(ctx context.Context) error {
	snapshot, err := documents.Store.Range(ctx, documents.Prefix)
	if err != nil {
		return err
	}
	documents.replace(snapshot)
	return nil
}

// SnapshotRevisions returns the revisions of the documents in a snapshot.
func (documents *Documents) SnapshotRevisions(snapshot balsamproxy.StoreSnapshot) balsamproxy.Revisions {
	found := balsamproxy.Revisions{}
	for _, entry := range snapshot.Entries {
		found = found.Latest(documents.revisions(entry))
	}
	return found
}

func (documents *Documents) name(entry balsamproxy.StoreEntry) DocumentName {
	return DocumentName(strings.TrimPrefix(string(entry.Key), string(documents.Prefix)))
}

// RevisionsFor returns Revisions in which only the revision of the named
// document is set.
func (documents *Documents) RevisionsFor(name DocumentName, revision balsamproxy.Revision) balsamproxy.Revisions {
	return documents.revisions(balsamproxy.StoreEntry{Key: documents.Key(name), Revision: revision})
}

// revisions returns Revisions in which only the revision of the document in
// the entry is set.
func (documents *Documents) revisions(entry balsamproxy.StoreEntry) balsamproxy.Revisions {
	switch documents.name(entry) {
	case DocumentConfig:
		return balsamproxy.Revisions{Config: entry.Revision}
	case DocumentRoster:
		return balsamproxy.Revisions{Roster: entry.Revision}
	case DocumentHomes:
		return balsamproxy.Revisions{Homes: entry.Revision}
	default:
		return balsamproxy.Revisions{}
	}
}

func (documents *Documents) replace(snapshot balsamproxy.StoreSnapshot) {
	for _, entry := range snapshot.Entries {
		documents.Update(entry)
	}
}

func (documents *Documents) apply(event balsamproxy.StoreEvent) {
	if !event.Deleted {
		documents.Update(event.Entry)
	}
}

// Update puts a document in force unless it is invalid or not later than the
// one held.
func (documents *Documents) Update(entry balsamproxy.StoreEntry) {
	documents.mutex.Lock()
	defer documents.mutex.Unlock()
	name := documents.name(entry)
	if entry.Revision <= documents.held[name].Revision {
		return
	}
	roster, err := documents.putInForce(name, entry)
	if err != nil {
		documents.Log.Error().Str("document", string(name)).Int64("revision", int64(entry.Revision)).Err(err).
			Msg("shared document is invalid")
		return
	}
	if documents.held == nil {
		documents.held = map[DocumentName]balsamproxy.StoreEntry{}
	}
	documents.held[name] = entry
	documents.Standing.SetHeld(documents.revisions(entry), roster)
	documents.Log.Info().Str("document", string(name)).Int64("revision", int64(entry.Revision)).Msg("shared document in force")
}

// putInForce puts a document in force. If it is the roster, it returns the
// roster.
func (documents *Documents) putInForce(name DocumentName, entry balsamproxy.StoreEntry) (balsamproxy.Roster, error) {
	var roster balsamproxy.Roster
	switch name {
	case DocumentConfig:
		return roster, documents.putConfig(entry)
	case DocumentRoster:
		err := json.Unmarshal(entry.Value, &roster)
		return roster, err
	case DocumentHomes:
		return roster, documents.UpdateHomes(entry.Value, entry.Revision)
	default:
		return roster, nil
	}
}

func (documents *Documents) putConfig(entry balsamproxy.StoreEntry) error {
	document, faults := config.Parse(entry.Value)
	if len(faults) > 0 {
		return faults
	}
	documents.Config.Update(config.NewIndex(document, entry.Revision))
	return nil
}

// Held returns a document that is in force, as stored.
func (documents *Documents) Held(name DocumentName) (balsamproxy.StoreEntry, bool) {
	documents.mutex.Lock()
	defer documents.mutex.Unlock()
	entry, found := documents.held[name]
	return entry, found
}
