// Package announced decides which targets of a host may be given work, from
// what they say of themselves. Announcements arrive late, in another order, or
// from a target that has been replaced, so each is judged by the start and the
// sequence number that it carries.
package announced

import (
	"errors"
	"slices"
	"strings"
	"time"

	"balsamproxy"
)

// Errors of announcements that are not used.
var (
	// ErrLate says that a later announcement of the target is known.
	ErrLate = errors.New("announced: a later announcement is known")
	// ErrReplaced says that a later target has the address.
	ErrReplaced = errors.New("announced: a later target has the address")
	// ErrWithdrawn says that this start of the target has been withdrawn.
	ErrWithdrawn = errors.New("announced: the target has left")
)

// Table holds the targets of one host. It is not safe for use by several
// goroutines. Its zero value is empty.
type Table struct {
	records map[balsamproxy.TargetID]*record
}

// record is what is known of one target.
type record struct {
	announcement balsamproxy.Announcement
	heardAt      time.Time
	coldUntil    time.Time
	// withdrawn is set once the target said that it leaves for good.
	withdrawn bool
	// draining is set once the target said that it takes no new work.
	draining bool
	// down is set while the target accepts no connections.
	down bool
}

// State is what a daemon believes of one target.
type State struct {
	Target    balsamproxy.Target
	Born      int64
	ColdUntil time.Time
	Down      bool
	// Leaving says that the target gets no new work until it starts again.
	Leaving bool
}

// Announce takes an announcement. It says whether the state of a target has
// changed. An error says why the announcement is not used.
func (table *Table) Announce(announcement balsamproxy.Announcement, now time.Time) (bool, error) {
	id := announcement.Target.ID
	held, found := table.records[id]
	if found && announcement.Born < held.announcement.Born {
		return false, ErrLate
	}
	restarted := found && announcement.Born > held.announcement.Born
	if found && !restarted {
		if held.withdrawn {
			return false, ErrWithdrawn
		}
		if announcement.Sequence <= held.announcement.Sequence {
			return false, ErrLate
		}
	}
	if table.replaced(announcement) {
		return false, ErrReplaced
	}
	before := table.state(id)
	if !found || restarted {
		held = &record{}
		table.put(id, held)
	}
	held.announcement = announcement
	held.heardAt = now
	held.down = false
	held.draining = held.draining || announcement.Target.State == balsamproxy.TargetDraining
	held.coldUntil = now.Add(announcement.WarmupRemaining)
	table.dropOthers(announcement)
	return before != table.state(id), nil
}

func (table *Table) put(id balsamproxy.TargetID, held *record) {
	if table.records == nil {
		table.records = map[balsamproxy.TargetID]*record{}
	}
	table.records[id] = held
}

// replaced says whether a later target has the address of an announcement.
func (table *Table) replaced(announcement balsamproxy.Announcement) bool {
	for id, held := range table.records {
		sameAddress := held.announcement.Target.Address == announcement.Target.Address
		if id != announcement.Target.ID && sameAddress && held.announcement.Born > announcement.Born {
			return true
		}
	}
	return false
}

// dropOthers forgets the earlier targets of an address, but not that they
// left.
func (table *Table) dropOthers(announcement balsamproxy.Announcement) {
	for id, held := range table.records {
		if id != announcement.Target.ID && held.announcement.Target.Address == announcement.Target.Address {
			held.withdrawn = true
		}
	}
}

// Withdraw takes a target out until it starts again. A start of zero means
// the one that is known; of a target that is not known, all starts until now,
// since an announcement of it may still be under way.
func (table *Table) Withdraw(id balsamproxy.TargetID, born int64, now time.Time) (bool, error) {
	held, found := table.records[id]
	if !found {
		if born == 0 {
			born = now.UnixMilli()
		}
		held = &record{announcement: balsamproxy.Announcement{Target: balsamproxy.Target{ID: id}, Born: born}}
		table.put(id, held)
	}
	if born != 0 && born < held.announcement.Born {
		return false, ErrLate
	}
	changed := !held.withdrawn
	held.announcement.Born = max(held.announcement.Born, born)
	held.withdrawn = true
	held.heardAt = now
	return changed, nil
}

// SetDown notes whether a target accepts connections. It says whether that is
// new.
func (table *Table) SetDown(id balsamproxy.TargetID, down bool) bool {
	held, found := table.records[id]
	if !found || held.down == down {
		return false
	}
	held.down = down
	return true
}

// Expire forgets targets that have been silent for a time. It says whether
// there were any.
func (table *Table) Expire(silence time.Duration, now time.Time) bool {
	expired := false
	for id, held := range table.records {
		if now.Sub(held.heardAt) > silence {
			delete(table.records, id)
			expired = true
		}
	}
	return expired
}

// state returns the state of a target, the zero value if it is not known.
func (table *Table) state(id balsamproxy.TargetID) State {
	held, found := table.records[id]
	if !found {
		return State{}
	}
	target := held.announcement.Target
	leaving := held.withdrawn || held.draining
	if leaving {
		target.State = balsamproxy.TargetDraining
	}
	return State{Target: target, Born: held.announcement.Born, Down: held.down, Leaving: leaving}
}

// State returns what is believed of a target.
func (table *Table) State(id balsamproxy.TargetID) (State, bool) {
	held, found := table.records[id]
	if !found {
		return State{}, false
	}
	state := table.state(id)
	state.ColdUntil = held.coldUntil
	return state, true
}

// States returns what is believed of all targets, in order of their ids.
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

// Record is what is written down of one target, for a daemon that starts
// again.
type Record struct {
	Target    balsamproxy.Target `json:"target"`
	Born      int64              `json:"born"`
	Sequence  int64              `json:"sequence"`
	Withdrawn bool               `json:"withdrawn,omitempty"`
}

// Records returns what should be written down, in order of the ids.
func (table *Table) Records() []Record {
	records := make([]Record, 0, len(table.records))
	for _, state := range table.States() {
		held := table.records[state.Target.ID]
		records = append(records, Record{
			Target:    state.Target,
			Born:      held.announcement.Born,
			Sequence:  held.announcement.Sequence,
			Withdrawn: held.withdrawn,
		})
	}
	return records
}

// Recall takes what an earlier run of the daemon wrote down. What is known
// already stays.
func (table *Table) Recall(records []Record, now time.Time) {
	for _, record := range records {
		if _, found := table.records[record.Target.ID]; found {
			continue
		}
		table.put(record.Target.ID, recalled(record, now))
	}
}

func recalled(written Record, now time.Time) *record {
	return &record{
		announcement: balsamproxy.Announcement{Target: written.Target, Born: written.Born, Sequence: written.Sequence},
		heardAt:      now,
		withdrawn:    written.Withdrawn,
		draining:     written.Target.State == balsamproxy.TargetDraining,
	}
}
