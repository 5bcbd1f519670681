// Package announced tracks the targets of a host by their announcements, and
// decides which of them may receive calls. Announcements may arrive late, out
// of order, or from a target that has been replaced, so they are ordered by
// the start time and sequence number that they carry.
package announced

import (
	"errors"
	"slices"
	"strings"
	"time"

	"balsamproxy"
)

// Reasons for which an announcement is ignored.
var (
	// ErrStale means that a later announcement of the target is known.
	ErrStale = errors.New("announced: a later announcement is known")
	// ErrReplaced means that a later target uses the address.
	ErrReplaced = errors.New("announced: a later target has the address")
	// ErrWithdrawn means that this incarnation of the target has been withdrawn.
	ErrWithdrawn = errors.New("announced: the target has left")
)

// Table holds the targets of one host. It is not safe for concurrent use. The
// zero value is an empty table.
type Table struct {
	records map[balsamproxy.TargetID]*record
}

// record is the state of one target.
type record struct {
	announcement balsamproxy.Announcement
	lastUpdate   time.Time
	coldUntil    time.Time
	// withdrawn is set once the target has left for good or another target has
	// taken over its address.
	withdrawn bool
	// draining is set once the target has announced that it accepts no new calls.
	draining bool
	// down is set while the target accepts no connections.
	down bool
	// restored is set until the target announces itself to this run of the daemon, and
	// unconfirmed until a peer confirms it, if that is earlier.
	restored    bool
	unconfirmed bool
}

// State is the state of a target as known to the daemon.
type State struct {
	Target    balsamproxy.Target
	Born      int64
	ColdUntil time.Time
	Down      bool
	// Leaving is set if the target receives no new calls until it restarts.
	Leaving bool
	// Restored is set if the target is known from an earlier run of the daemon only. It
	// may have restarted since.
	Restored bool
	// Unconfirmed is set if it may also have left since, so that it receives no calls.
	Unconfirmed bool
}

// Announce applies an announcement and reports whether the state of the target
// has changed. The error gives the reason if the announcement is ignored.
func (table *Table) Announce(announcement balsamproxy.Announcement, now time.Time) (bool, error) {
	id := announcement.Target.ID
	if err := validate(announcement, now); err != nil {
		return false, err
	}
	existing, found := table.records[id]
	restarted := found && announcement.Born > existing.announcement.Born
	if found && !restarted {
		if err := existing.supersedes(announcement); err != nil {
			return false, err
		}
	}
	if table.replaced(announcement) {
		return false, ErrReplaced
	}
	before := table.state(id)
	if !found || restarted {
		existing = &record{}
		table.put(id, existing)
	}
	existing.announcement = announcement
	existing.lastUpdate = now
	existing.restored, existing.unconfirmed = false, false
	existing.down = false
	existing.draining = existing.draining || announcement.Target.State == balsamproxy.TargetDraining
	existing.coldUntil = now.Add(announcement.WarmupRemaining)
	table.withdrawPredecessors(announcement)
	return before != table.state(id), nil
}

// supersedes returns why an announcement that is not of a later start is ignored, or nil
// if it is the latest one.
func (record *record) supersedes(announcement balsamproxy.Announcement) error {
	switch {
	case announcement.Born < record.announcement.Born:
		return ErrStale
	case record.withdrawn:
		return ErrWithdrawn
	case announcement.Sequence <= record.announcement.Sequence:
		return ErrStale
	default:
		return nil
	}
}

func (table *Table) put(id balsamproxy.TargetID, existing *record) {
	if table.records == nil {
		table.records = map[balsamproxy.TargetID]*record{}
	}
	table.records[id] = existing
}

// replaced reports whether a later target uses the address of an announcement.
func (table *Table) replaced(announcement balsamproxy.Announcement) bool {
	for id, existing := range table.records {
		sameAddress := existing.announcement.Target.Address == announcement.Target.Address
		if id != announcement.Target.ID && sameAddress && existing.announcement.Born > announcement.Born {
			return true
		}
	}
	return false
}

// withdrawPredecessors marks the earlier targets of the address as withdrawn.
// Their records stay, so that later announcements of them are ignored.
func (table *Table) withdrawPredecessors(announcement balsamproxy.Announcement) {
	for id, existing := range table.records {
		if id != announcement.Target.ID && existing.announcement.Target.Address == announcement.Target.Address {
			existing.withdrawn = true
		}
	}
}

// Withdraw takes a target out of service until it restarts. If born is zero,
// it applies to the known incarnation or, if the target is unknown, to all
// incarnations started until now, since an announcement may still be in
// transit.
func (table *Table) Withdraw(id balsamproxy.TargetID, born int64, now time.Time) (bool, error) {
	if err := validateStart(id, born, now); err != nil {
		return false, err
	}
	existing, found := table.records[id]
	if !found {
		if born == 0 {
			born = now.UnixMilli()
		}
		existing = &record{announcement: balsamproxy.Announcement{Target: balsamproxy.Target{ID: id}, Born: born}}
		table.put(id, existing)
	}
	if born != 0 && born < existing.announcement.Born {
		return false, ErrStale
	}
	changed := !existing.withdrawn
	existing.announcement.Born = max(existing.announcement.Born, born)
	existing.withdrawn = true
	existing.lastUpdate = now
	return changed, nil
}

// SetDown sets whether a target refuses connections, and reports whether that
// changed.
func (table *Table) SetDown(id balsamproxy.TargetID, down bool) bool {
	existing, found := table.records[id]
	if !found || existing.down == down {
		return false
	}
	existing.down = down
	return true
}

// Expire removes targets that have not been updated for the given time, and
// reports whether there were any.
func (table *Table) Expire(maxAge time.Duration, now time.Time) bool {
	expired := false
	for id, existing := range table.records {
		if now.Sub(existing.lastUpdate) > maxAge {
			delete(table.records, id)
			expired = true
		}
	}
	return expired
}

// state returns the state of a target without ColdUntil, or the zero value if
// the target is unknown.
func (table *Table) state(id balsamproxy.TargetID) State {
	existing, found := table.records[id]
	if !found {
		return State{}
	}
	target := existing.announcement.Target
	leaving := existing.withdrawn || existing.draining
	if leaving {
		target.State = balsamproxy.TargetDraining
	}
	return State{Target: target, Born: existing.announcement.Born, Down: existing.down, Leaving: leaving}
}

// State returns the state of a target.
func (table *Table) State(id balsamproxy.TargetID) (State, bool) {
	existing, found := table.records[id]
	if !found {
		return State{}, false
	}
	state := table.state(id)
	state.ColdUntil = existing.coldUntil
	state.Restored, state.Unconfirmed = existing.restored, existing.unconfirmed
	return state, true
}

// States returns the states of all targets, ordered by id.
func (table *Table) States() []State {
	states := make([]State, 0, len(table.records))
	for id := range table.records {
		state, _ := table.State(id)
		states = append(states, state)
	}
	slices.SortFunc(states, func(left, right State) int {
		return strings.Compare(string(left.Target.ID), string(right.Target.ID))
	})
	return states
}

// Record is the persistent state of a target, from which a daemon recovers
// after a restart.
type Record struct {
	Target    balsamproxy.Target `json:"target"`
	Born      int64              `json:"born"`
	Sequence  int64              `json:"sequence"`
	Withdrawn bool               `json:"withdrawn,omitempty"`
}

// Records returns the state to be persisted, ordered by target id.
func (table *Table) Records() []Record {
	records := make([]Record, 0, len(table.records))
	for _, state := range table.States() {
		records = append(records, table.records[state.Target.ID].persistent())
	}
	return records
}

// Restore loads the records persisted by an earlier run of the daemon. Targets
// that are already known are left unchanged, unless the record is of a later state. The
// restored ones receive no calls before Confirm or an announcement.
func (table *Table) Restore(records []Record, now time.Time) {
	for _, record := range records {
		if existing, found := table.records[record.Target.ID]; found && !record.supersedes(existing.persistent()) {
			continue
		}
		table.put(record.Target.ID, restored(record, now))
	}
}

// Confirm ends the wait for a confirmation of a restored target, and reports whether it
// was waiting.
func (table *Table) Confirm(id balsamproxy.TargetID) bool {
	existing, found := table.records[id]
	if !found || !existing.unconfirmed {
		return false
	}
	existing.unconfirmed = false
	return true
}

// persistent returns the record as it is persisted.
func (record *record) persistent() Record {
	target := record.announcement.Target
	if record.withdrawn || record.draining {
		target.State = balsamproxy.TargetDraining
	}
	return Record{Target: target, Born: record.announcement.Born, Sequence: record.announcement.Sequence, Withdrawn: record.withdrawn}
}

func restored(stored Record, now time.Time) *record {
	return &record{
		restored:     true,
		unconfirmed:  true,
		announcement: balsamproxy.Announcement{Target: stored.Target, Born: stored.Born, Sequence: stored.Sequence},
		lastUpdate:   now,
		withdrawn:    stored.Withdrawn,
		draining:     stored.Target.State == balsamproxy.TargetDraining,
	}
}
