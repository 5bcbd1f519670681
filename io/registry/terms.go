package registry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

// term is a term of this daemon, as stored.
type term struct {
	since balsamproxy.BootTime
	// remainder contains the tokens that the previous home left, which had ended
	// for endedFor at least.
	remainder allowance.Remainders
	endedFor  time.Duration
	// revision is the revision of the record of remaining tokens in the store.
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

// remainderRecord is the stored record of the tokens that a home left when it
// ended its term itself. It outlives the tenure. Every new term starts by writing
// it without tokens, so that no token is passed on twice.
type remainderRecord struct {
	homes.PreviousHome
	Tokens allowance.Remainders `json:"floors"`
}

// maxHandOverBatch is how many tenures are ended in one transaction. Each uses
// two conditions, a write and a removal, and a transaction of the store has at
// most 32 such operations.
const maxHandOverBatch = 8

// readRemainder reads the record of remaining tokens of a group. It returns an empty record if
// there is none.
func (registry *Registry) readRemainder(ctx context.Context, group allowance.Group) (remainderRecord, balsamproxy.Revision, error) {
	entry, err := registry.Store.Get(ctx, registry.remainderKey(group))
	if errors.Is(err, balsamproxy.ErrStoreNotFound) {
		return remainderRecord{}, 0, nil
	}
	if err != nil {
		return remainderRecord{}, 0, err
	}
	var record remainderRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		// The remaining tokens are unknown, so the next home must assume that
		// there are none.
		registry.Log.Error().Str("event", "record-invalid").Str("key", string(entry.Key)).Err(err).Send()
		return remainderRecord{}, entry.Revision, nil
	}
	return record, entry.Revision, nil
}

// remainderSwap returns the write of the record of remaining tokens of a group
// for this daemon.
func (registry *Registry) remainderSwap(group allowance.Group, record remainderRecord, expected balsamproxy.Revision) (balsamproxy.StoreSwap, error) {
	record.Host, record.Incarnation, record.Era = registry.Host, registry.Incarnation, registry.currentEra()
	value, err := json.Marshal(record)
	return balsamproxy.StoreSwap{Key: registry.remainderKey(group), Value: value, Expected: expected}, err
}

// acquireTenure starts a term, or continues the last term of this daemon if no
// other daemon has had the tenure since. It does nothing if the previous home
// may still be active.
func (registry *Registry) acquireTenure(ctx context.Context, group allowance.Group, swap balsamproxy.StoreSwap) error {
	if !registry.beginAcquisition(group) {
		return nil
	}
	defer registry.endAcquisition(group)
	begun := registry.currentEra()
	record, existing, err := registry.readRemainder(ctx, group)
	if err != nil {
		return err
	}
	if begun != 0 && record.Era != begun {
		// Another home may have used the tokens, in writes that are lost.
		record = remainderRecord{}
	}
	if err := registry.inEra(begun, func() { registry.updatePreviousHomeLocked(group, record.PreviousHome) }); err != nil {
		return err
	}
	if _, due := registry.acquisitionSwap(group, registry.candidates()); !due {
		return nil
	}
	registry.mutex.Lock()
	current, continues := registry.terms[group]
	registry.mutex.Unlock()
	continues = continues && current.revision == existing
	next := remainderRecord{Tokens: allowance.Remainders{}}
	next.Backup = homes.Backup(group, registry.Host, registry.Present())
	remainderWrite, err := registry.remainderSwap(group, next, existing)
	if err != nil {
		return err
	}
	revision, err := registry.Store.Transact(ctx, balsamproxy.StoreTransaction{Swaps: []balsamproxy.StoreSwap{swap, remainderWrite}})
	if err != nil {
		return err
	}
	if !continues {
		current = term{since: registry.Clock.Boot(), remainder: record.Tokens}
		current.endedFor = registry.endedFor(group, record.PreviousHome, existing, current.since)
		if formerEra, endedFor := registry.formerEraEndedFor(group, current.since); formerEra {
			current.endedFor = endedFor
		}
	}
	current.revision, current.tenureRevision, current.backup = revision, revision, next.Backup
	current.promisedUntil = 0
	return registry.recordAcquired(begun, group, current)
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

func (registry *Registry) updatePreviousHomeLocked(group allowance.Group, previous homes.PreviousHome) {
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

// recordAcquired records a term that began in an era. The record of one that it does not
// keep expires with its lease, which is not renewed.
func (registry *Registry) recordAcquired(begun balsamproxy.StoreEra, group allowance.Group, current term) error {
	registry.mutex.Lock()
	if !registry.era.same(begun) {
		registry.mutex.Unlock()
		return errEraRaised
	}
	if registry.leaving {
		registry.mutex.Unlock()
		return nil
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
	own := homes.Tenure{Host: registry.Host, Incarnation: registry.Incarnation, Era: registry.era.current}
	registry.tenures[group] = tenure{Tenure: own, revision: current.tenureRevision}
	registry.mutex.Unlock()
	registry.Log.Info().Str("event", "tenure-taken").Int("group", int(group)).Int64("revision", int64(current.revision)).
		Int("accounts-with-floor", len(current.remainder)).Send()
	registry.HomesChanged()
	return nil
}

// endedFor returns how long the previous home of a group cannot have granted
// tokens at least, at the start of a new term. The revision is that of the
// record of remaining tokens, which each term writes.
func (registry *Registry) endedFor(group allowance.Group, previous homes.PreviousHome, revision balsamproxy.Revision, since balsamproxy.BootTime) time.Duration {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	ended := since
	if unheld, found := registry.unheld[group]; found && unheld.revision == revision {
		// Without its record the home may have continued on promises of its backup.
		continued := unheld.since + balsamproxy.BootTime(homes.NonBackupDelay)
		if previous.Backup == registry.Host {
			earlierRun := registry.startedAt + balsamproxy.BootTime(homes.PromiseDuration)
			continued = max(unheld.since, registry.promised[group], earlierRun)
		}
		ended = min(ended, continued)
	}
	if previous.Host == registry.Host && previous.Incarnation != registry.Incarnation {
		// An earlier run of this daemon ended before this one started.
		ended = min(ended, registry.startedAt)
	}
	return since.Sub(ended)
}

// Remainder returns what the previous home left of an account when the given
// term began, or nothing if that is not the current term.
func (registry *Registry) Remainder(requested allowance.Term, account balsamproxy.ClientAccountID) allowance.Remainder {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	current := registry.terms[requested.Group]
	if !current.matches(requested) {
		return allowance.Remainder{}
	}
	return allowance.Remainder{Tokens: current.remainder[account], EndedFor: current.endedFor}
}

// handOver ends tenures and persists the remaining tokens of each for the next
// home.
func (registry *Registry) handOver(ctx context.Context, groups []allowance.Group) error {
	begun := registry.currentEra()
	for ending := range slices.Chunk(groups, maxHandOverBatch) {
		transaction := balsamproxy.StoreTransaction{}
		for _, group := range ending {
			registry.mutex.Lock()
			current := registry.terms[group]
			delete(registry.terms, group)
			registry.mutex.Unlock()
			record := remainderRecord{Tokens: registry.Close(allowance.Term{Group: group, Since: current.since.Time()}, current.since)}
			record.Closed = true
			swap, err := registry.remainderSwap(group, record, current.revision)
			if err != nil {
				return err
			}
			transaction.Swaps = append(transaction.Swaps, swap)
			transaction.Removals = append(transaction.Removals, balsamproxy.StoreRemoval{
				Key: registry.homeKey(group), Expected: current.tenureRevision,
			})
		}
		// The revisions in the transaction are those of the era.
		if err := registry.inEra(begun, func() {}); err != nil {
			return err
		}
		if _, err := registry.Store.Transact(ctx, transaction); err != nil {
			return err
		}
	}
	return nil
}
