package mesh

import (
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/suspect"
)

const (
	// crashReportTTL is how long a crash is reported to peers: a link that was
	// lost may need a second to be re-established.
	crashReportTTL = 2 * time.Second
	// maxCrashReports bounds the crashes that are reported to peers. It is about
	// the number of requests that a target has in progress.
	maxCrashReports = 128
)

// crashes records the requests that crashed a target anywhere in the fleet. It
// is safe for concurrent use.
type crashes struct {
	table suspect.Table
	// onReport is called when there is a new crash to report to peers.
	onReport func()

	mutex   sync.Mutex
	reports []crashReport
}

// crashReport is a crash of a target that ran a request of this daemon.
type crashReport struct {
	crash balsamproxy.Crash
	at    time.Time
}

// Any reports whether a crash is known, so that Blocked may be true for a request.
func (crashes *crashes) Any() bool { return crashes.table.HasEntries() }

// Blocked reports whether a request has crashed too many targets to be sent
// again.
func (crashes *crashes) Blocked(fingerprint suspect.Fingerprint, now time.Time) bool {
	return crashes.table.IsBlocked(fingerprint, now)
}

// RecordCrash records that a target crashed while it ran a request of this daemon.
func (crashes *crashes) RecordCrash(fingerprint suspect.Fingerprint, id balsamproxy.CrashID, now time.Time) {
	crashes.table.RecordCrash(fingerprint, id, now)
	crashes.mutex.Lock()
	crashes.expireLocked(now)
	if len(crashes.reports) < maxCrashReports {
		crash := balsamproxy.Crash{Fingerprint: fingerprint[:], ID: id}
		crashes.reports = append(crashes.reports, crashReport{crash: crash, at: now})
	}
	crashes.mutex.Unlock()
	crashes.onReport()
}

func (crashes *crashes) expireLocked(now time.Time) {
	for len(crashes.reports) > 0 && now.Sub(crashes.reports[0].at) > crashReportTTL {
		crashes.reports = crashes.reports[1:]
	}
}

// recent returns the crashes to report to peers.
func (crashes *crashes) recent(now time.Time) []balsamproxy.Crash {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	crashes.expireLocked(now)
	recent := make([]balsamproxy.Crash, 0, len(crashes.reports))
	for _, report := range crashes.reports {
		recent = append(recent, report.crash)
	}
	return recent
}

// merge records the crashes that a peer reported.
func (crashes *crashes) merge(reported []balsamproxy.Crash, now time.Time) {
	for _, crash := range reported {
		var fingerprint suspect.Fingerprint
		if copy(fingerprint[:], crash.Fingerprint) == len(fingerprint) {
			crashes.table.RecordCrash(fingerprint, crash.ID, now)
		}
	}
}
