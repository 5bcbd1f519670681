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

// term is a term of this daemon as the store has it.
type term struct {
	since balsamproxy.BootTime
	// left is what the former home left.
	remainder allowance.Floors
	// floors and revision are the record that stands in the store.
	floors   allowance.Floors
	revision balsamproxy.Revision
	// tenure is the revision of the tenure's own record.
	tenureRevision balsamproxy.Revision
	// backup is the host that may follow first. It was asked for a promise at
	// askedAt, and the last one that it gave holds until promisedUntil.
	backup        balsamproxy.HostID
	askedAt       balsamproxy.BootTime
	promisedUntil balsamproxy.BootTime
}

// is says whether a term is the one that was asked for.
func (term term) matches(requested allowance.Term) bool {
	return term.since.Time().Equal(requested.Since)
}

// floorsRecord is the store's record of what a home leaves to the next one. It
// outlives the tenure, and each tenure begins with writing it: so what stands
// in it binds the home that wrote it until another one has replaced it.
type floorsRecord struct {
	homes.PreviousHome
	Floors allowance.Floors `json:"floors"`
}

// handOverMax is how many tenures are ended in one transaction: each takes two
// conditions, a write and a removal of the 32 rows that a store takes.
const maxHandOverBatch = 8

// readFloors reads the record of a group; a group without one has an empty one.
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
		// What the former home left is not known, so nothing is.
		registry.Log.Error().Str("event", "record-invalid").Str("key", string(entry.Key)).Err(err).Send()
		return floorsRecord{}, entry.Revision, nil
	}
	return record, entry.Revision, nil
}

// floorsSwap writes the record of a group for this daemon.
func (registry *Registry) floorsSwap(group allowance.Group, record floorsRecord, expected balsamproxy.Revision) (balsamproxy.StoreSwap, error) {
	record.Host, record.Incarnation = registry.Host, registry.Incarnation
	value, err := json.Marshal(record)
	return balsamproxy.StoreSwap{Key: registry.floorsKey(group), Value: value, Expected: expected}, err
}

// takeTenure begins a tenure, or goes on with the one that this daemon had if
// no other daemon had it since. It does nothing if the last home may still be
// at work.
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

// startTaking keeps this daemon from promising to leave a tenure alone while
// it takes it; it says false if such a promise still holds.
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

// restartFreeLocked counts anew how long a tenure has been free if another home
// had it since the last look.
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
		// The record ends with its lease, which is not renewed any more.
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

// RemainingTokens returns what the home before a term left of an account.
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

// WriteFloors writes the floors of a term. Only after it has returned without
// an error may the home spend below the floors that stood before.
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
		// The record may be this write, or one of it that came late.
		registry.setFloors(requested, current.floors, 0)
	}
	return err
}

// settleFloors reads which floors stand after an answer was lost.
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

// endTerm notes that another daemon has begun a later term.
func (registry *Registry) endTerm(requested allowance.Term) {
	registry.mutex.Lock()
	delete(registry.terms, requested.Group)
	delete(registry.held, requested.Group)
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "tenure-lost").Int("group", int(requested.Group)).Send()
	registry.HomesChanged()
}

// handOver ends tenures and writes down what is left of each, so that the next
// home can go on with it.
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
