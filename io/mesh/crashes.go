package mesh

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/suspect"
)

const (
	// crashReportTTL is how long a crash is reported to peers in the status: a link that
	// was lost may need a second to be re-established. Peers that miss it ask for it.
	crashReportTTL = 2 * time.Second
	// maxCrashReports bounds the crashes that are reported to peers. It is about
	// the number of requests that a target has in progress.
	maxCrashReports = 128
)

// crashes records the requests that were in flight at a crash of a target anywhere in
// the fleet. It is safe for concurrent use.
type crashes struct {
	table suspect.Table
	// onReport is called when there is a new crash to report to peers.
	onReport func()
	// metrics counts what the crashes of targets say about the requests in flight.
	metrics tally.Scope
	log     zerolog.Logger

	mutex   sync.Mutex
	reports []crashReport
}

// crashReport is a crash of a target that ran a request of this daemon, or one that runs
// at this daemon have explained.
type crashReport struct {
	crash balsamproxy.Crash
	at    time.Time
}

// HeldUntil returns until when a request is held because it has crashed too many targets
// to be sent again, and false if it is not held.
func (crashes *crashes) HeldUntil(fingerprint suspect.Fingerprint, now time.Time) (time.Time, bool) {
	return crashes.table.HeldUntil(fingerprint, now)
}

// RecordCrash records that a target crashed while it ran a request of this daemon, which
// was sent at the given time.
func (crashes *crashes) RecordCrash(fingerprint suspect.Fingerprint, id balsamproxy.CrashID, sent, now time.Time) {
	var explained bool
	crashes.logChange(fingerprint, now, func() {
		explained = crashes.table.RecordCrash(fingerprint, id, sent, now)
	})
	crashes.count(explained)
	crashes.report(balsamproxy.Crash{Fingerprint: fingerprint[:], ID: id, Explained: explained}, now)
}

// RecordRun records that a run of a request ended well.
func (crashes *crashes) RecordRun(fingerprint suspect.Fingerprint, now time.Time) {
	if id, explained := crashes.table.RecordRun(fingerprint, now); explained {
		crashes.count(true)
		crashes.log.Info().Str("event", "crash-explained").Hex("fingerprint", fingerprint[:]).Str("crash", string(id)).Send()
		crashes.report(balsamproxy.Crash{Fingerprint: fingerprint[:], ID: id, Explained: true}, now)
	}
}

// logChange logs if a change of the table begins or ends the hold of a request.
func (crashes *crashes) logChange(fingerprint suspect.Fingerprint, now time.Time, change func()) {
	_, before := crashes.HeldUntil(fingerprint, now)
	change()
	until, after := crashes.HeldUntil(fingerprint, now)
	if before == after {
		return
	}
	event := "request-released"
	if after {
		event = "request-held"
	}
	crashes.log.Warn().Str("event", event).Hex("fingerprint", fingerprint[:]).Dur("for", until.Sub(now)).Send()
}

func (crashes *crashes) count(explained bool) {
	evidence := "against-request"
	if explained {
		evidence = "for-request"
	}
	crashes.metrics.Tagged(map[string]string{"evidence": evidence}).Counter("request_crashes").Inc(1)
}

func (crashes *crashes) report(crash balsamproxy.Crash, now time.Time) {
	crashes.mutex.Lock()
	crashes.expireLocked(now)
	if len(crashes.reports) < maxCrashReports {
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

// merge records the crashes that a peer reported, and reports those that this daemon can
// explain.
func (crashes *crashes) merge(reported []balsamproxy.Crash, now time.Time) {
	for _, crash := range reported {
		var fingerprint suspect.Fingerprint
		copy(fingerprint[:], crash.Fingerprint)
		var explains bool
		crashes.logChange(fingerprint, now, func() { explains = crashes.table.Merge(crash, now) })
		if explains {
			crash.Explained = true
			crashes.count(true)
			crashes.report(crash, now)
		}
	}
}
