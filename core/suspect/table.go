// Package suspect identifies poison requests, which crash the targets that run
// them, and keeps them from being retried across the fleet. It decides by the
// crashes at which requests with the same contents were in flight, and by the
// runs of such requests that ended well.
package suspect

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"balsamproxy"
)

const (
	// crashTTL is how long a crash is remembered, after the end of the hold if the
	// request is held.
	crashTTL = time.Hour
	// trialTimeout bounds a trial whose result is never reported.
	trialTimeout = 30 * time.Second
	// maxEntries bounds the number of requests in the table.
	maxEntries = 10_000
	// evictedEntries is how many requests make room when the table is full.
	evictedEntries = maxEntries / 8
	// expireInterval is the time between two searches for expired entries.
	expireInterval = time.Second
)

// Verdict tells whether a request may be sent to a target.
type Verdict string

// Verdicts on requests.
const (
	// Free lets the request proceed.
	Free Verdict = "free"
	// Trial lets this request proceed, and no other with its fingerprint until it
	// has ended.
	Trial Verdict = "trial"
	// Wait means that a trial is in progress.
	Wait Verdict = "wait"
	// Blocked rejects the request.
	Blocked Verdict = "blocked"
)

// Table holds the requests that were in flight when a target crashed. It is safe for
// concurrent use, and its zero value is ready to use.
type Table struct {
	mutex   sync.Mutex
	entries map[Fingerprint]*entry
	history history
	// digest is the exclusive or of the digests of all crashes.
	digest    uint64
	expiredAt time.Time
}

// entry is what is known of one request.
type entry struct {
	crashes map[balsamproxy.CrashID]*crash
	// runs is the number of runs that ended well and have explained no crash yet, at
	// most runsPerCrash.
	runs int
	// explainedAt is when a crash was last explained by runs from before it.
	explainedAt time.Time
	trialUntil  time.Time
	heldUntil   time.Time
	lastCrash   time.Time
}

type crash struct {
	at time.Time
	// explained is set if runs that ended well show that something else was the cause.
	explained bool
}

// RecordCrash records that a request, sent at the given time, was in flight at a crash.
// Repeated reports of one crash count once. It reports whether the crash is explained by
// recent runs of the request.
func (table *Table) RecordCrash(fingerprint Fingerprint, id balsamproxy.CrashID, sent, now time.Time) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.recordLocked(fingerprint, id, sent, now, now).explained
}

// recordLocked records a crash that happened at the given time.
func (table *Table) recordLocked(fingerprint Fingerprint, id balsamproxy.CrashID, sent, at, now time.Time) *crash {
	table.expire(now)
	stored, found := table.entries[fingerprint]
	if !found {
		table.makeRoom()
		stored = &entry{crashes: map[balsamproxy.CrashID]*crash{}, runs: min(table.history.runs(fingerprint, now), runsPerCrash)}
		table.entries[fingerprint] = stored
	}
	recorded, known := stored.crashes[id]
	if !known {
		recorded = &crash{at: at}
		stored.crashes[id] = recorded
		stored.trialUntil = time.Time{}
		table.digest ^= crashDigest(fingerprint, id, false)
	}
	if recorded.explained {
		return recorded
	}
	switch {
	case stored.runs >= runsPerCrash:
		stored.runs -= runsPerCrash
		stored.explainedAt = now
		table.explain(fingerprint, id, recorded)
	case sent.Before(stored.explainedAt):
		// Targets that are lost together all had the request in flight. One that was sent
		// after the first of these crashes is new evidence.
		table.explain(fingerprint, id, recorded)
	}
	stored.update()
	return recorded
}

func (table *Table) explain(fingerprint Fingerprint, id balsamproxy.CrashID, recorded *crash) {
	recorded.explained = true
	table.digest ^= crashDigest(fingerprint, id, false) ^ crashDigest(fingerprint, id, true)
}

// update derives the hold from the crashes.
func (entry *entry) update() {
	var unexplained []time.Time
	proven := false
	for _, crash := range entry.crashes {
		proven = proven || crash.explained
		if crash.at.After(entry.lastCrash) {
			entry.lastCrash = crash.at
		}
		if !crash.explained {
			unexplained = append(unexplained, crash.at)
		}
	}
	entry.heldUntil = HeldUntil(unexplained, proven)
}

// unexplained returns the number of crashes that nothing else explains.
func (entry *entry) unexplained() int {
	count := 0
	for _, crash := range entry.crashes {
		if !crash.explained {
			count++
		}
	}
	return count
}

// forgetAt returns when the entry expires.
func (entry *entry) forgetAt() time.Time {
	if entry.heldUntil.After(entry.lastCrash) {
		return entry.heldUntil.Add(crashTTL)
	}
	return entry.lastCrash.Add(crashTTL)
}

// RecordRun records that a run of a request ended well, and returns the crash that it
// explains together with earlier runs, if there is one.
func (table *Table) RecordRun(fingerprint Fingerprint, now time.Time) (balsamproxy.CrashID, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.history.record(fingerprint, now)
	stored, found := table.entries[fingerprint]
	if !found {
		return "", false
	}
	stored.runs = min(stored.runs+1, runsPerCrash)
	if stored.runs < runsPerCrash {
		return "", false
	}
	var oldest balsamproxy.CrashID
	for id, crash := range stored.crashes {
		if !crash.explained && (oldest == "" || crash.at.Before(stored.crashes[oldest].at)) {
			oldest = id
		}
	}
	if oldest == "" {
		return "", false
	}
	stored.runs -= runsPerCrash
	table.explain(fingerprint, oldest, stored.crashes[oldest])
	stored.update()
	return oldest, true
}

// Merge records a crash that another daemon knows, and reports whether this daemon can
// explain it, which the other cannot.
func (table *Table) Merge(reported balsamproxy.Crash, now time.Time) bool {
	var fingerprint Fingerprint
	if copy(fingerprint[:], reported.Fingerprint) != len(fingerprint) {
		return false
	}
	at := now.Add(-max(reported.Age, 0))
	table.mutex.Lock()
	defer table.mutex.Unlock()
	recorded := table.recordLocked(fingerprint, reported.ID, now, at, now)
	if !reported.Explained {
		return recorded.explained
	}
	if !recorded.explained {
		stored := table.entries[fingerprint]
		table.explain(fingerprint, reported.ID, recorded)
		// The runs before one crash explain it once in the whole fleet. Otherwise a
		// request that has begun to crash targets would be held after as many crashes as
		// there are daemons that passed it on before.
		stored.runs = 0
		stored.explainedAt = now
		stored.update()
	}
	return false
}

// makeRoom removes the entries that matter least if the table is full.
func (table *Table) makeRoom() {
	if table.entries == nil {
		table.entries = map[Fingerprint]*entry{}
	}
	if len(table.entries) < maxEntries {
		return
	}
	fingerprints := table.byWeight()
	for _, fingerprint := range fingerprints[len(fingerprints)-evictedEntries:] {
		table.remove(fingerprint)
	}
}

// byWeight returns the requests in the table, those that matter most first.
func (table *Table) byWeight() []Fingerprint {
	return slices.SortedFunc(maps.Keys(table.entries), func(left, right Fingerprint) int {
		return compareWeight(table.entries[right], table.entries[left])
	})
}

// compareWeight orders entries by the number of unexplained crashes, then by time.
func compareWeight(left, right *entry) int {
	return cmp.Or(cmp.Compare(left.unexplained(), right.unexplained()), left.lastCrash.Compare(right.lastCrash))
}

func (table *Table) remove(fingerprint Fingerprint) {
	for id, crash := range table.entries[fingerprint].crashes {
		table.digest ^= crashDigest(fingerprint, id, crash.explained)
	}
	delete(table.entries, fingerprint)
}

func (table *Table) expire(now time.Time) {
	if now.Sub(table.expiredAt) < expireInterval {
		return
	}
	table.expiredAt = now
	for fingerprint, stored := range table.entries {
		if !now.Before(stored.forgetAt()) {
			table.remove(fingerprint)
		}
	}
}

// HeldUntil returns until when a request is held because it has crashed too many
// targets, and false if it is not held.
func (table *Table) HeldUntil(fingerprint Fingerprint, now time.Time) (time.Time, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored, found := table.entries[fingerprint]
	if !found || !now.Before(stored.heldUntil) {
		return time.Time{}, false
	}
	return stored.heldUntil, true
}

// Clear removes a request that has been answered.
func (table *Table) Clear(fingerprint Fingerprint) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if _, found := table.entries[fingerprint]; found {
		table.remove(fingerprint)
	}
}

// Check returns whether a request may be sent, and starts a trial if the
// verdict is Trial.
func (table *Table) Check(fingerprint Fingerprint, now time.Time) Verdict {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored, found := table.entries[fingerprint]
	switch {
	case !found || !now.Before(stored.forgetAt()):
		return Free
	case now.Before(stored.heldUntil):
		return Blocked
	case now.Before(stored.trialUntil):
		return Wait
	default:
		stored.trialUntil = now.Add(trialTimeout)
		return Trial
	}
}

// Crashes returns the recorded crashes of a request.
func (table *Table) Crashes(fingerprint Fingerprint, now time.Time) []balsamproxy.CrashID {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored, found := table.entries[fingerprint]
	if !found || !now.Before(stored.forgetAt()) {
		return nil
	}
	crashes := make([]balsamproxy.CrashID, 0, len(stored.crashes))
	for crash := range stored.crashes {
		crashes = append(crashes, crash)
	}
	return crashes
}

// HasEntries reports whether the table has any entries.
func (table *Table) HasEntries() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return len(table.entries) > 0
}

// Digest returns a value that is equal in tables with the same crashes, and zero if
// there are none.
func (table *Table) Digest() uint64 {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.digest
}

func crashDigest(fingerprint Fingerprint, id balsamproxy.CrashID, explained bool) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write(fingerprint[:])
	_, _ = digest.Write([]byte(id))
	if explained {
		_, _ = digest.Write([]byte{1})
	}
	return digest.Sum64()
}

// Snapshot returns the crashes of the requests that matter most, up to a number of crashes.
func (table *Table) Snapshot(limit int, now time.Time) []balsamproxy.Crash {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.expire(now)
	snapshot := []balsamproxy.Crash{}
	for _, fingerprint := range table.byWeight() {
		for id, crash := range table.entries[fingerprint].crashes {
			if len(snapshot) == limit {
				return snapshot
			}
			snapshot = append(snapshot, balsamproxy.Crash{
				Fingerprint: fingerprint[:], ID: id, Explained: crash.explained, Age: now.Sub(crash.at),
			})
		}
	}
	return snapshot
}
