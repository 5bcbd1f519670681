// Package suspect identifies poison requests, which crash the targets that run
// them, and keeps them from being retried across the fleet.
package suspect

import (
	"crypto/sha256"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"balsamproxy"
)

const (
	// suspectTTL is how long a single crash is remembered.
	suspectTTL = time.Minute
	// blockedTTL is how long a request is rejected after a second crash.
	blockedTTL = 5 * time.Minute
	// trialTimeout bounds a trial whose result is never reported.
	trialTimeout = 30 * time.Second
	// maxCrashes is the number of crashes after which a request is blocked.
	maxCrashes      = 2
	copyBufferBytes = 4 << 10
	// maxEntries bounds the number of requests in the table.
	maxEntries = 10_000
)

// Fingerprint identifies requests of one client account with the same
// contents.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a call and its body, or the
// beginning of a long body.
func FingerprintOf(head balsamproxy.CallHead, body io.Reader) Fingerprint {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %q %q\n", head.Account, head.Service, head.Method, head.Path)
	// io.Copy would allocate a buffer that is longer than most bodies.
	_, _ = io.CopyBuffer(digest, body, make([]byte, copyBufferBytes))
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

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

// Table holds the requests that crashed a target. It is safe for concurrent
// use, and its zero value is ready to use.
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

// RecordCrash records a crash caused by a request. Repeated reports of one
// crash count once.
func (table *Table) RecordCrash(fingerprint Fingerprint, crash balsamproxy.CrashID, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.expire(now)
	stored, found := table.entries[fingerprint]
	if !found {
		if len(table.entries) >= maxEntries {
			return
		}
		stored = &entry{crashes: map[balsamproxy.CrashID]struct{}{}}
		table.put(fingerprint, stored)
	}
	if _, known := stored.crashes[crash]; known {
		return
	}
	stored.crashes[crash] = struct{}{}
	stored.trialUntil = time.Time{}
	stored.until = now.Add(suspectTTL)
	if len(stored.crashes) >= maxCrashes {
		stored.until = now.Add(blockedTTL)
	}
}

func (table *Table) put(fingerprint Fingerprint, stored *entry) {
	if table.entries == nil {
		table.entries = map[Fingerprint]*entry{}
	}
	table.entries[fingerprint] = stored
	table.count.Store(int64(len(table.entries)))
}

func (table *Table) expire(now time.Time) {
	for fingerprint, stored := range table.entries {
		if !now.Before(stored.until) {
			delete(table.entries, fingerprint)
		}
	}
	table.count.Store(int64(len(table.entries)))
}

// IsBlocked reports whether a request has crashed too many targets to be sent
// again.
func (table *Table) IsBlocked(fingerprint Fingerprint, now time.Time) bool {
	if !table.HasEntries() {
		return false
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored, found := table.entries[fingerprint]
	return found && now.Before(stored.until) && len(stored.crashes) >= maxCrashes
}

// Clear removes a request that has been answered.
func (table *Table) Clear(fingerprint Fingerprint) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	delete(table.entries, fingerprint)
	table.count.Store(int64(len(table.entries)))
}

// Check returns whether a request may be sent, and starts a trial if the
// verdict is Trial.
func (table *Table) Check(fingerprint Fingerprint, now time.Time) Verdict {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored, found := table.entries[fingerprint]
	switch {
	case !found || !now.Before(stored.until):
		return Free
	case len(stored.crashes) >= maxCrashes:
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
	if !found || !now.Before(stored.until) {
		return nil
	}
	crashes := make([]balsamproxy.CrashID, 0, len(stored.crashes))
	for crash := range stored.crashes {
		crashes = append(crashes, crash)
	}
	return crashes
}

// HasEntries reports whether the table has any entries.
func (table *Table) HasEntries() bool { return table.count.Load() > 0 }
