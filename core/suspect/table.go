// Package suspect keeps requests that crash their targets from being tried
// again and again over the fleet.
package suspect

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"balsamproxy"
)

const (
	// suspectFor is how long one crash is remembered.
	suspectFor = time.Minute
	// blockedFor is how long a request is refused after a second crash.
	blockedFor = 5 * time.Minute
	// trialFor bounds one trial whose end is not reported.
	trialFor = 30 * time.Second
	// crashesMost is how many targets one request may cost.
	crashesMost = 2
	// entriesMax bounds the requests that are remembered.
	entriesMax = 10_000
)

// Fingerprint names all requests with the same contents of one client account.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a call with its body, or with the
// beginning of a long one.
func FingerprintOf(head balsamproxy.CallHead, body []byte) Fingerprint {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %q %q\n", head.Account, head.Service, head.Method, head.Path)
	_, _ = digest.Write(body)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// Verdict says whether a request may be tried.
type Verdict string

// Verdicts on a request.
const (
	// Free lets the request go.
	Free Verdict = "free"
	// Trial lets this one request go, and no other until it has ended.
	Trial Verdict = "trial"
	// Wait says that a trial is under way.
	Wait Verdict = "wait"
	// Blocked refuses the request.
	Blocked Verdict = "blocked"
)

// Table holds the requests that crashed a target. Its zero value works.
type Table struct {
	mutex   sync.Mutex
	entries map[Fingerprint]*entry
	count   atomic.Int64
}

type entry struct {
	crashes    map[balsamproxy.CrashID]struct{}
	until      time.Time
	trialUntil time.Time
}

// RecordCrash takes a crash that a request caused; the same crash counts once.
func (table *Table) RecordCrash(fingerprint Fingerprint, crash balsamproxy.CrashID, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.expire(now)
	held, found := table.entries[fingerprint]
	if !found {
		if len(table.entries) >= entriesMax {
			return
		}
		held = &entry{crashes: map[balsamproxy.CrashID]struct{}{}}
		table.put(fingerprint, held)
	}
	if _, known := held.crashes[crash]; known {
		return
	}
	held.crashes[crash] = struct{}{}
	held.trialUntil = time.Time{}
	held.until = now.Add(suspectFor)
	if len(held.crashes) >= crashesMost {
		held.until = now.Add(blockedFor)
	}
}

func (table *Table) put(fingerprint Fingerprint, held *entry) {
	if table.entries == nil {
		table.entries = map[Fingerprint]*entry{}
	}
	table.entries[fingerprint] = held
	table.count.Store(int64(len(table.entries)))
}

func (table *Table) expire(now time.Time) {
	for fingerprint, held := range table.entries {
		if !now.Before(held.until) {
			delete(table.entries, fingerprint)
		}
	}
	table.count.Store(int64(len(table.entries)))
}

// IsBlocked says whether a request crashed too many targets to be tried.
func (table *Table) IsBlocked(fingerprint Fingerprint, now time.Time) bool {
	if !table.HasEntries() {
		return false
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	held, found := table.entries[fingerprint]
	return found && now.Before(held.until) && len(held.crashes) >= crashesMost
}

// Clear forgets a request that has been answered.
func (table *Table) Clear(fingerprint Fingerprint) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	delete(table.entries, fingerprint)
	table.count.Store(int64(len(table.entries)))
}

// Check asks whether a request may be tried, and begins a trial if it may be
// tried once.
func (table *Table) Check(fingerprint Fingerprint, now time.Time) Verdict {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	held, found := table.entries[fingerprint]
	switch {
	case !found || !now.Before(held.until):
		return Free
	case len(held.crashes) >= crashesMost:
		return Blocked
	case now.Before(held.trialUntil):
		return Wait
	default:
		held.trialUntil = now.Add(trialFor)
		return Trial
	}
}

// Crashes returns the crashes that are remembered of a request.
func (table *Table) Crashes(fingerprint Fingerprint, now time.Time) []balsamproxy.CrashID {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	held, found := table.entries[fingerprint]
	if !found || !now.Before(held.until) {
		return nil
	}
	crashes := make([]balsamproxy.CrashID, 0, len(held.crashes))
	for crash := range held.crashes {
		crashes = append(crashes, crash)
	}
	return crashes
}

// HasEntries says whether any request is remembered.
func (table *Table) HasEntries() bool { return table.count.Load() > 0 }
