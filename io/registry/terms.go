package registry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// term is a term of this daemon, as stored.
type term struct {
	since balsamproxy.BootTime
	// remainder contains the tokens that the previous home left.
	remainder allowance.Floors
	// floors and revision are the current floors record in the store. The
	// revision is zero while it is not known.
	floors   allowance.Floors
	revision balsamproxy.Revision
	// tenureRevision is the revision of the tenure's own record.
	tenureRevision balsamproxy.Revision
	// backup is the host that may take over first. It was last asked for a
	// promise at askedAt, and its last promise is valid until promisedUntil.
	backup        balsamproxy.HostID
	askedAt       balsamproxy.BootTime
	promisedUntil balsamproxy.BootTime
}

// matches reports whether this is the requested term.
func (term term) matches(requested allowance.Term) bool {
	return term.since.Time().Equal(requested.Since)
}

// floorsRecord is the stored record of the tokens that a home reserves for the
// next one. It outlives the tenure. Every new term starts by writing it, so
// its floors bind the home that wrote it until another home has replaced it.
type floorsRecord struct {
	homes.PreviousHome
	Floors allowance.Floors `json:"floors"`
}

// maxHandOverBatch is how many tenures are ended in one transaction. Each uses
// two conditions, a write and a removal, and a transaction of the store has at
// most 32 such operations.
const maxHandOverBatch = 8

// readFloors reads the floors record of a group. It returns an empty record if
// there is none.
func (registry *Registry) readFloors(ctx context.Context, group allowance.Group) (floorsRecord, balsamproxy.Revision, error) {
	entry, err := registry.Store.Get(ctx, registry.floorsKey(group))
	if errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return floorsRecord{}, 0, nil
	}
	if err != nil {
		return floorsRecord{}, 0, err
	}
	var record floorsRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		// The remaining tokens are unknown, so the next home must assume that
		// there are none.
		registry.Log.Error().Str("event", "record-invalid").Str("key", string(entry.Key)).Err(err).Send()
		return floorsRecord{}, entry.Revision, nil
	}
	return record, entry.Revision, nil
}

// floorsSwap returns the write of the floors record of a group for this
// daemon.
func (registry *Registry) floorsSwap(group allowance.Group, record floorsRecord, expected balsamproxy.Revision) (balsamproxy.StoreSwap, error) {
	record.Host, record.Incarnation = registry.Host, registry.Incarnation
	value, err := json.Marshal(record)
	return balsamproxy.StoreSwap{Key: registry.floorsKey(group), Value: value, Expected: expected}, err
}

// acquireTenure starts a term, or continues the last term of this daemon if no
// other daemon has had the tenure since. It does nothing if the previous home
// may still be active.
func (registry *Registry) acquireTenure(ctx context.Context, group allowance.Group, swap balsamproxy.StoreSwap) error {
	if !registry.beginAcquisition(group) {
		return nil
	}
	defer registry.endAcquisition(group)
	record, existing, err := registry.readFloors(ctx, group)
	if err != nil {
		return err
	}
	registry.setPreviousHome(group, record.PreviousHome)
	if _, due := registry.acquisitionSwap(group, registry.Present()); !due {
		return nil
	}
	registry.mutex.Lock()
	current, continues := registry.terms[group]
	registry.mutex.Unlock()
	continues = continues && current.revision == existing
	next := floorsRecord{Floors: allowance.Floors{}}
	next.Backup = homes.Backup(group, registry.Host, registry.Present())
	if continues {
		next.Floors = record.Floors
	}
	floorsWrite, err := registry.floorsSwap(group, next, existing)
	if err != nil {
		return err
	}
	revision, err := registry.Store.Transact(ctx, balsamproxy.StoreTransaction{Swaps: []balsamproxy.StoreSwap{swap, floorsWrite}})
	if err != nil {
		return err
	}
	if !continues {
		current = term{since: registry.Clock.Boot(), remainder: record.Floors}
	}
	current.floors, current.revision, current.tenureRevision, current.backup = next.Floors, revision, revision, next.Backup
	current.promisedUntil = 0
	registry.recordAcquired(group, current)
	return nil
}

// beginAcquisition prevents this daemon from giving a promise for a tenure
// while it acquires it. It returns false if an earlier promise is still valid.
func (registry *Registry) beginAcquisition(group allowance.Group) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.Clock.Boot() < registry.promised[group] {
		return false
	}
	if registry.acquiring == nil {
		registry.acquiring = map[allowance.Group]bool{}
	}
	registry.acquiring[group] = true
	return true
}

func (registry *Registry) endAcquisition(group allowance.Group) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	delete(registry.acquiring, group)
}

func (registry *Registry) setPreviousHome(group allowance.Group, previous homes.PreviousHome) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.resetFreeSinceLocked(group, previous)
	registry.setPreviousHomeLocked(group, previous)
}

// resetFreeSinceLocked restarts the time for which a tenure has been free if
// another home has held it since the last read.
func (registry *Registry) resetFreeSinceLocked(group allowance.Group, previous homes.PreviousHome) {
	if registry.previousHomes[group].Incarnation != previous.Incarnation {
		delete(registry.freeSince, group)
		registry.markFreeLocked(group, registry.Clock.Boot())
	}
}

func (registry *Registry) setPreviousHomeLocked(group allowance.Group, previous homes.PreviousHome) {
	if registry.previousHomes == nil {
		registry.previousHomes = map[allowance.Group]homes.PreviousHome{}
	}
	registry.previousHomes[group] = previous
}

func (registry *Registry) recordAcquired(group allowance.Group, current term) {
	registry.mutex.Lock()
	if registry.leaving {
		// The record expires with its lease, which is no longer renewed.
		registry.mutex.Unlock()
		return
	}
	if registry.held == nil {
		registry.held = map[allowance.Group]balsamproxy.BootTime{}
	}
	if registry.terms == nil {
		registry.terms = map[allowance.Group]term{}
	}
	registry.held[group] = current.since
	registry.terms[group] = current
	if registry.tenures == nil {
		registry.tenures = map[allowance.Group]tenure{}
	}
	delete(registry.freeSince, group)
	own := homes.Tenure{Host: registry.Host, Incarnation: registry.Incarnation}
	registry.tenures[group] = tenure{Tenure: own, revision: current.tenureRevision}
	registry.mutex.Unlock()
	registry.Log.Info().Str("event", "tenure-taken").Int("group", int(group)).Int64("revision", int64(current.revision)).
		Int("accounts-with-floor", len(current.remainder)).Send()
	registry.HomesChanged()
}

// RemainingTokens returns the number of an account's tokens that the previous home
// had left when the given term began, or 0 if that is not the current term.
func (registry *Registry) RemainingTokens(requested allowance.Term, account balsamproxy.ClientAccountID) int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	current := registry.terms[requested.Group]
	if !current.matches(requested) {
		return 0
	}
	return current.remainder[account]
}

// Terms returns the terms of the tenures that this daemon holds.
func (registry *Registry) Terms() []allowance.Term {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	terms := []allowance.Term{}
	for group := range allowance.Group(allowance.Groups) {
		if since, holds := registry.held[group]; holds {
			terms = append(terms, allowance.Term{Group: group, Since: since.Time()})
		}
	}
	return terms
}

// WriteFloors persists the floors of a term. The home may spend below the
// previous floors only after it has returned without an error.
func (registry *Registry) WriteFloors(ctx context.Context, requested allowance.Term, floors allowance.Floors) error {
	registry.mutex.Lock()
	current := registry.terms[requested.Group]
	registry.mutex.Unlock()
	if !current.matches(requested) {
		return balsamproxy.ErrStoreConflict
	}
	if current.revision == 0 {
		if err := registry.reloadFloors(ctx, requested); err != nil {
			return err
		}
		return registry.WriteFloors(ctx, requested, floors)
	}
	record := floorsRecord{Floors: floors}
	record.Backup = current.backup
	swap, err := registry.floorsSwap(requested.Group, record, current.revision)
	if err != nil {
		return err
	}
	revision, err := registry.Store.Swap(ctx, swap)
	switch {
	case err == nil:
		registry.setFloors(requested, floors, revision)
	case errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown), errors.Is(err, balsamproxy.ErrStoreConflict):
		// The stored record may be from this write, or from an earlier write of
		// this home that was applied late.
		registry.setFloors(requested, current.floors, 0)
	}
	return err
}

// reloadFloors reads the current floors record after a write with an unknown
// outcome.
func (registry *Registry) reloadFloors(ctx context.Context, requested allowance.Term) error {
	record, revision, err := registry.readFloors(ctx, requested.Group)
	if err != nil {
		return err
	}
	if record.Host != registry.Host || record.Incarnation != registry.Incarnation {
		registry.endTerm(requested)
		return balsamproxy.ErrStoreConflict
	}
	registry.setFloors(requested, record.Floors, revision)
	return nil
}

func (registry *Registry) setFloors(requested allowance.Term, floors allowance.Floors, revision balsamproxy.Revision) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	current := registry.terms[requested.Group]
	if !current.matches(requested) {
		return
	}
	current.floors, current.revision = floors, revision
	registry.terms[requested.Group] = current
}

// endTerm records that another daemon has started a later term.
func (registry *Registry) endTerm(requested allowance.Term) {
	registry.mutex.Lock()
	delete(registry.terms, requested.Group)
	delete(registry.held, requested.Group)
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "tenure-lost").Int("group", int(requested.Group)).Send()
	registry.HomesChanged()
}

// handOver ends tenures and persists the remaining tokens of each for the next
// home.
func (registry *Registry) handOver(ctx context.Context, groups []allowance.Group) error {
	for ending := range slices.Chunk(groups, maxHandOverBatch) {
		transaction := balsamproxy.StoreTransaction{}
		for _, group := range ending {
			registry.mutex.Lock()
			current := registry.terms[group]
			delete(registry.terms, group)
			registry.mutex.Unlock()
			record := floorsRecord{Floors: registry.Close(allowance.Term{Group: group, Since: current.since.Time()})}
			record.Closed = true
			swap, err := registry.floorsSwap(group, record, current.revision)
			if err != nil {
				return err
			}
			transaction.Swaps = append(transaction.Swaps, swap)
			transaction.Removals = append(transaction.Removals, balsamproxy.StoreRemoval{
				Key: registry.homeKey(group), Expected: current.tenureRevision,
			})
		}
		if _, err := registry.Store.Transact(ctx, transaction); err != nil {
			return err
		}
	}
	return nil
}
