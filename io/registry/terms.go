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
	left allowance.Floors
	// floors and revision are the record that stands in the store.
	floors   allowance.Floors
	revision balsamproxy.Revision
	// tenure is the revision of the tenure's own record.
	tenure balsamproxy.Revision
	// backup is the host that may follow first. It was asked for a promise at
	// askedAt, and the last one that it gave holds until promisedUntil.
	backup        balsamproxy.HostID
	askedAt       balsamproxy.BootTime
	promisedUntil balsamproxy.BootTime
}

// is says whether a term is the one that was asked for.
func (term term) is(asked allowance.Term) bool { return term.since.Time().Equal(asked.Since) }

// floorsRecord is the store's record of what a home leaves to the next one. It
// outlives the tenure, and each tenure begins with writing it: so what stands
// in it binds the home that wrote it until another one has replaced it.
type floorsRecord struct {
	homes.PreviousHome
	Floors allowance.Floors `json:"floors"`
}

// handOverMax is how many tenures are ended in one transaction: each takes two
// conditions, a write and a removal of the 32 rows that a store takes.
const handOverMax = 8

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
func (registry *Registry) takeTenure(ctx context.Context, group allowance.Group, swap balsamproxy.StoreSwap) error {
	if !registry.startTaking(group) {
		return nil
	}
	defer registry.endTaking(group)
	record, standing, err := registry.readFloors(ctx, group)
	if err != nil {
		return err
	}
	registry.setFormer(group, record.PreviousHome)
	if _, due := registry.dueSwap(group, registry.Present()); !due {
		return nil
	}
	registry.mutex.Lock()
	began, continues := registry.terms[group]
	registry.mutex.Unlock()
	continues = continues && began.revision == standing
	next := floorsRecord{Floors: allowance.Floors{}}
	next.Backup = homes.Backup(group, registry.Host, registry.Present())
	if continues {
		next.Floors = record.Floors
	}
	written, err := registry.floorsSwap(group, next, standing)
	if err != nil {
		return err
	}
	revision, err := registry.Store.Transact(ctx, balsamproxy.StoreTransaction{Swaps: []balsamproxy.StoreSwap{swap, written}})
	if err != nil {
		return err
	}
	if !continues {
		began = term{since: registry.Clock.Boot(), left: record.Floors}
	}
	began.floors, began.revision, began.tenure, began.backup = next.Floors, revision, revision, next.Backup
	began.promisedUntil = 0
	registry.hold(group, began)
	return nil
}

// startTaking keeps this daemon from promising to leave a tenure alone while
// it takes it; it says false if such a promise still holds.
func (registry *Registry) startTaking(group allowance.Group) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.Clock.Boot() < registry.promised[group] {
		return false
	}
	if registry.taking == nil {
		registry.taking = map[allowance.Group]bool{}
	}
	registry.taking[group] = true
	return true
}

func (registry *Registry) endTaking(group allowance.Group) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	delete(registry.taking, group)
}

func (registry *Registry) setFormer(group allowance.Group, former homes.PreviousHome) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.restartFreeLocked(group, former)
	registry.setFormerLocked(group, former)
}

// restartFreeLocked counts anew how long a tenure has been free if another home
// had it since the last look.
func (registry *Registry) restartFreeLocked(group allowance.Group, former homes.PreviousHome) {
	if registry.formers[group].Incarnation != former.Incarnation {
		delete(registry.freeSince, group)
		registry.freeLocked(group, registry.Clock.Boot())
	}
}

func (registry *Registry) setFormerLocked(group allowance.Group, former homes.PreviousHome) {
	if registry.formers == nil {
		registry.formers = map[allowance.Group]homes.PreviousHome{}
	}
	registry.formers[group] = former
}

func (registry *Registry) hold(group allowance.Group, began term) {
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
	registry.held[group] = began.since
	registry.terms[group] = began
	if registry.tenures == nil {
		registry.tenures = map[allowance.Group]tenure{}
	}
	delete(registry.freeSince, group)
	own := homes.Tenure{Host: registry.Host, Incarnation: registry.Incarnation}
	registry.tenures[group] = tenure{Tenure: own, revision: began.tenure}
	registry.mutex.Unlock()
	registry.Log.Info().Str("event", "tenure-taken").Int("group", int(group)).Int64("revision", int64(began.revision)).
		Int("accounts-with-floor", len(began.left)).Send()
	registry.HomesChanged()
}

// RemainingTokens returns what the home before a term left of an account.
func (registry *Registry) RemainingTokens(asked allowance.Term, account balsamproxy.ClientAccountID) int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	began := registry.terms[asked.Group]
	if !began.is(asked) {
		return 0
	}
	return began.left[account]
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
func (registry *Registry) WriteFloors(ctx context.Context, asked allowance.Term, floors allowance.Floors) error {
	registry.mutex.Lock()
	began := registry.terms[asked.Group]
	registry.mutex.Unlock()
	if !began.is(asked) {
		return balsamproxy.ErrStoreConflict
	}
	if began.revision == 0 {
		if err := registry.settleFloors(ctx, asked); err != nil {
			return err
		}
		return registry.WriteFloors(ctx, asked, floors)
	}
	record := floorsRecord{Floors: floors}
	record.Backup = began.backup
	swap, err := registry.floorsSwap(asked.Group, record, began.revision)
	if err != nil {
		return err
	}
	revision, err := registry.Store.Swap(ctx, swap)
	switch {
	case err == nil:
		registry.setFloors(asked, floors, revision)
	case errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown), errors.Is(err, balsamproxy.ErrStoreConflict):
		// The record may be this write, or one of it that came late.
		registry.setFloors(asked, began.floors, 0)
	}
	return err
}

// settleFloors reads which floors stand after an answer was lost.
func (registry *Registry) settleFloors(ctx context.Context, asked allowance.Term) error {
	record, revision, err := registry.readFloors(ctx, asked.Group)
	if err != nil {
		return err
	}
	if record.Host != registry.Host || record.Incarnation != registry.Incarnation {
		registry.endTerm(asked)
		return balsamproxy.ErrStoreConflict
	}
	registry.setFloors(asked, record.Floors, revision)
	return nil
}

func (registry *Registry) setFloors(asked allowance.Term, floors allowance.Floors, revision balsamproxy.Revision) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	began := registry.terms[asked.Group]
	if !began.is(asked) {
		return
	}
	began.floors, began.revision = floors, revision
	registry.terms[asked.Group] = began
}

// endTerm notes that another daemon has begun a later term.
func (registry *Registry) endTerm(asked allowance.Term) {
	registry.mutex.Lock()
	delete(registry.terms, asked.Group)
	delete(registry.held, asked.Group)
	registry.mutex.Unlock()
	registry.Log.Warn().Str("event", "tenure-lost").Int("group", int(asked.Group)).Send()
	registry.HomesChanged()
}

// handOver ends tenures and writes down what is left of each, so that the next
// home can go on with it.
func (registry *Registry) handOver(ctx context.Context, groups []allowance.Group) error {
	for ending := range slices.Chunk(groups, handOverMax) {
		transaction := balsamproxy.StoreTransaction{}
		for _, group := range ending {
			registry.mutex.Lock()
			began := registry.terms[group]
			delete(registry.terms, group)
			registry.mutex.Unlock()
			record := floorsRecord{Floors: registry.Close(allowance.Term{Group: group, Since: began.since.Time()})}
			record.Closed = true
			swap, err := registry.floorsSwap(group, record, began.revision)
			if err != nil {
				return err
			}
			transaction.Swaps = append(transaction.Swaps, swap)
			transaction.Removals = append(transaction.Removals, balsamproxy.StoreRemoval{
				Key: registry.homeKey(group), Expected: began.tenure,
			})
		}
		if _, err := registry.Store.Transact(ctx, transaction); err != nil {
			return err
		}
	}
	return nil
}
