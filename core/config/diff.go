package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"balsamproxy"
)

// ChangeKind tells how an entry differs between two documents.
type ChangeKind string

// Values of ChangeKind.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

var changeSigns = map[ChangeKind]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeChanged: "~"}

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"change"`
	// Entry names the kind and the id of the entry.
	Entry string `json:"entry"`
	// Old and New are the entry in JSON, without digests; nil if there is none.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
	// SecretChanged reports whether a key has another secret under the same id.
	SecretChanged bool `json:"secret-changed,omitempty"`
}

// String formats the change as one line: the entry, then + for an added, - for a
// removed or ~ for a changed one, then its values.
func (change Change) String() string {
	line := change.Entry + " " + changeSigns[change.Kind]
	switch change.Kind {
	case ChangeAdded:
		return line + " " + string(change.New)
	case ChangeRemoved:
		return line + " " + string(change.Old)
	}
	line += fmt.Sprintf(" %s -> %s", change.Old, change.New)
	if change.SecretChanged {
		line += " (another secret)"
	}
	return line
}

// Diff returns the differences between two documents as lines; see Changes.
func Diff(before, after *Document) []string {
	lines := []string{}
	for _, change := range Changes(before, after) {
		lines = append(lines, change.String())
	}
	return lines
}

// Changes returns the differences between two documents, sorted by entry: one for
// each client account, key and route, and one for the limits of callers. A nil
// document is treated as empty.
func Changes(before, after *Document) []Change {
	old, current := entries(before), entries(after)
	changes := []Change{}
	for name, entry := range old {
		changed, kept := current[name]
		switch {
		case !kept:
			changes = append(changes, Change{Kind: ChangeRemoved, Entry: name, Old: entry.shown})
		case !changed.equal(entry):
			changes = append(changes, newChanged(name, entry, changed))
		}
	}
	for name, entry := range current {
		if _, known := old[name]; !known {
			changes = append(changes, Change{Kind: ChangeAdded, Entry: name, New: entry.shown})
		}
	}
	slices.SortFunc(changes, func(left, right Change) int { return cmp.Compare(left.Entry, right.Entry) })
	return changes
}

// newChanged returns the change of an entry. A new digest is only mentioned.
func newChanged(name string, old, current entry) Change {
	change := Change{Kind: ChangeChanged, Entry: name, Old: old.shown, New: current.shown}
	change.SecretChanged = old.digest != current.digest
	return change
}

// entry is one comparable part of a document: its JSON form without the digest, and
// the digest.
type entry struct {
	shown  json.RawMessage
	digest string
}

func (first entry) equal(second entry) bool {
	return string(first.shown) == string(second.shown) && first.digest == second.digest
}

func entries(document *Document) map[string]entry {
	entries := map[string]entry{}
	if document == nil {
		return entries
	}
	for _, account := range document.ClientAccounts {
		name := "client-account " + string(account.ID)
		for _, key := range account.Keys {
			entries[name+" key "+string(key.ID)] = newKeyEntry(key)
		}
		account.Keys = nil
		entries[name] = newEntry(account)
	}
	for _, service := range document.Services {
		entries["service "+string(service.ID)] = newEntry(service)
	}
	for _, route := range document.Routes {
		entries["route "+string(route.ID)] = newEntry(route)
	}
	if document.Callers != nil {
		entries["callers"] = newEntry(document.Callers)
	}
	return entries
}

func newEntry(value any) entry {
	data, err := json.Marshal(value)
	if err != nil {
		data = []byte("null")
	}
	return entry{shown: data}
}

func newKeyEntry(key Key) entry {
	rendered := newEntry(struct {
		ID       balsamproxy.KeyID `json:"id"`
		NotAfter string            `json:"not-after,omitempty"`
	}{key.ID, key.NotAfter})
	rendered.digest = key.Digest
	return rendered
}
