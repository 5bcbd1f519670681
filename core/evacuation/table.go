// Package evacuation tracks which data centres the operator has evacuated: their
// targets receive no work until the evacuation is taken back.
//
// Daemons learn of evacuations from the store and from each other, in any order. Each
// entry has the era and the revision of the store at which it held, and the latest one
// counts.
package evacuation

import (
	"cmp"
	"slices"
	"sync"

	"balsamproxy"
	"balsamproxy/core/era"
)

// Table holds the latest entry of each data centre. The zero value holds none. It is
// safe for concurrent use.
type Table struct {
	mutex   sync.RWMutex
	entries map[balsamproxy.DataCentreID]balsamproxy.Evacuation
	// evacuated counts the evacuated data centres.
	evacuated int
}

// Merge applies entries and reports whether the set of evacuated data centres has
// changed.
func (table *Table) Merge(entries []balsamproxy.Evacuation) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	changed := false
	for _, entry := range entries {
		changed = table.put(entry) || changed
	}
	return changed
}

func (table *Table) put(entry balsamproxy.Evacuation) bool {
	known, found := table.entries[entry.DataCentre]
	if found && position(entry).Compare(position(known)) <= 0 {
		return false
	}
	if table.entries == nil {
		table.entries = map[balsamproxy.DataCentreID]balsamproxy.Evacuation{}
	}
	table.entries[entry.DataCentre] = entry
	if known.Evacuated == entry.Evacuated {
		return false
	}
	if entry.Evacuated {
		table.evacuated++
	} else {
		table.evacuated--
	}
	return true
}

// position returns the point in the history of the store at which an entry held.
func position(entry balsamproxy.Evacuation) era.Position {
	return era.Position{Era: entry.Era, Revision: entry.Revision}
}

// Replace applies the complete list of evacuated data centres at a position: all
// others are not evacuated. It reports whether the set has changed.
func (table *Table) Replace(evacuated []balsamproxy.Evacuation, at era.Position) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	listed := map[balsamproxy.DataCentreID]bool{}
	changed := false
	for _, entry := range evacuated {
		listed[entry.DataCentre] = true
		changed = table.put(entry) || changed
	}
	for dataCentre, entry := range table.entries {
		if entry.Evacuated && !listed[dataCentre] {
			changed = table.put(balsamproxy.Evacuation{DataCentre: dataCentre, Revision: at.Revision, Era: at.Era}) || changed
		}
	}
	return changed
}

// Contains reports whether a data centre is evacuated.
func (table *Table) Contains(dataCentre balsamproxy.DataCentreID) bool {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	return table.evacuated > 0 && table.entries[dataCentre].Evacuated
}

// Any reports whether any data centre is evacuated.
func (table *Table) Any() bool {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	return table.evacuated > 0
}

// Entries returns all entries, ordered by data centre.
func (table *Table) Entries() []balsamproxy.Evacuation {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	if len(table.entries) == 0 {
		return nil
	}
	entries := make([]balsamproxy.Evacuation, 0, len(table.entries))
	for _, entry := range table.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(left, right balsamproxy.Evacuation) int { return cmp.Compare(left.DataCentre, right.DataCentre) })
	return entries
}
