// Package suspects notifies all daemons of requests that crashed a target, and
// limits retries of such a request to one daemon at a time.
package suspects

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamproxy"
	"balsamproxy/core/rendezvous"
	"balsamproxy/core/suspect"
	"balsamproxy/io/peer"
	"balsamproxy/task"
)

const (
	kindCrash peer.Kind = "suspect-crash"
	kindClear peer.Kind = "suspect-clear"
	kindTrial peer.Kind = "suspect-trial"

	noticeTimeout = 500 * time.Millisecond
	trialTimeout  = 500 * time.Millisecond
	// trialPollInterval is the time between two requests to the owner while
	// another daemon tries the request.
	trialPollInterval = 50 * time.Millisecond
)

// Coordinator decides whether a request may be tried. Its exported fields must be
// set before use.
type Coordinator struct {
	Host    balsamproxy.HostID
	Members balsamproxy.HostLister
	Pool    *peer.Pool
	Clock   balsamproxy.Clock
	Metrics tally.Scope

	table   suspect.Table
	owned   suspect.Table
	notices task.Group
}

type crashNotice struct {
	Fingerprint suspect.Fingerprint   `cbor:"1,keyasint"`
	Crashes     []balsamproxy.CrashID `cbor:"2,keyasint"`
}

type noticeAnswer struct{}

type trialAnswer struct {
	Verdict suspect.Verdict `cbor:"1,keyasint"`
}

// Serve registers the handlers for notices and trial requests of other
// daemons.
func (coordinator *Coordinator) Serve(server *peer.Server) {
	peer.Handle(server, kindCrash, func(_ context.Context, _ balsamproxy.HostID, notice crashNotice) (noticeAnswer, error) {
		coordinator.recordCrashes(notice)
		return noticeAnswer{}, nil
	})
	peer.Handle(server, kindClear, func(_ context.Context, _ balsamproxy.HostID, notice crashNotice) (noticeAnswer, error) {
		coordinator.clearFingerprint(notice.Fingerprint)
		return noticeAnswer{}, nil
	})
	peer.Handle(server, kindTrial, func(_ context.Context, _ balsamproxy.HostID, notice crashNotice) (trialAnswer, error) {
		return trialAnswer{Verdict: coordinator.decide(notice)}, nil
	})
}

// recordCrashes records crashes both for calls of this host and for decisions
// as an owner.
func (coordinator *Coordinator) recordCrashes(notice crashNotice) {
	now := coordinator.Clock.Now()
	for _, crash := range notice.Crashes {
		coordinator.table.RecordCrash(notice.Fingerprint, crash, now, now)
		coordinator.owned.RecordCrash(notice.Fingerprint, crash, now, now)
	}
}

func (coordinator *Coordinator) clearFingerprint(fingerprint suspect.Fingerprint) {
	coordinator.table.Clear(fingerprint)
	coordinator.owned.Clear(fingerprint)
}

// decide grants trials as the owner of a fingerprint.
func (coordinator *Coordinator) decide(notice crashNotice) suspect.Verdict {
	coordinator.recordCrashes(notice)
	return coordinator.owned.Check(notice.Fingerprint, coordinator.Clock.Now())
}

// Any reports whether any request is suspect.
func (coordinator *Coordinator) Any() bool { return coordinator.table.HasEntries() }

// Admit waits until a request may be tried, or returns a refusal.
func (coordinator *Coordinator) Admit(ctx context.Context, fingerprint suspect.Fingerprint) *balsamproxy.Refusal {
	for {
		crashes := coordinator.table.Crashes(fingerprint, coordinator.Clock.Now())
		if len(crashes) == 0 {
			return nil
		}
		switch coordinator.askOwner(ctx, crashNotice{Fingerprint: fingerprint, Crashes: crashes}) {
		case suspect.Free, suspect.Trial:
			return nil
		case suspect.Blocked:
			coordinator.Metrics.Counter("suspects_refused").Inc(1)
			refusal := balsamproxy.NotRun(balsamproxy.ReasonRequestCrashedTargets, "this request crashed its targets")
			if until, held := coordinator.table.HeldUntil(fingerprint, coordinator.Clock.Now()); held {
				refusal.RetryAfter = suspect.RetryAfter(until, coordinator.Clock.Now())
			}
			return refusal
		}
		if !sleep(ctx) {
			return balsamproxy.NotRun(balsamproxy.ReasonDeadline, "this request crashed a target and is being tried once")
		}
	}
}

func sleep(ctx context.Context) bool {
	timer := time.NewTimer(trialPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askOwner requests a verdict from the owner of a fingerprint, which is chosen
// by rendezvous hashing. If the owner does not respond, the request is not
// tried.
func (coordinator *Coordinator) askOwner(ctx context.Context, notice crashNotice) suspect.Verdict {
	key := binary.BigEndian.Uint64(notice.Fingerprint[:])
	owner := rendezvous.First(key, coordinator.Members.Hosts())
	if owner == "" || owner == coordinator.Host {
		return coordinator.decide(notice)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	answer, err := peer.Ask[crashNotice, trialAnswer](ctx, coordinator.Pool, owner, kindTrial, notice)
	if err != nil {
		return suspect.Wait
	}
	return answer.Verdict
}

// Crashed records that a request crashed a target and notifies all daemons.
func (coordinator *Coordinator) Crashed(fingerprint suspect.Fingerprint, crash balsamproxy.CrashID) {
	notice := crashNotice{Fingerprint: fingerprint, Crashes: []balsamproxy.CrashID{crash}}
	coordinator.recordCrashes(notice)
	coordinator.Metrics.Counter("suspects_noted").Inc(1)
	coordinator.broadcast(kindCrash, notice)
}

// Answered records that a target has responded to a request, and notifies all
// daemons if the request was suspect.
func (coordinator *Coordinator) Answered(fingerprint suspect.Fingerprint) {
	if len(coordinator.table.Crashes(fingerprint, coordinator.Clock.Now())) == 0 {
		return
	}
	coordinator.clearFingerprint(fingerprint)
	coordinator.broadcast(kindClear, crashNotice{Fingerprint: fingerprint})
}

func (coordinator *Coordinator) broadcast(kind peer.Kind, notice crashNotice) {
	for _, host := range coordinator.Members.Hosts() {
		if host == coordinator.Host {
			continue
		}
		coordinator.notices.Start(context.Background(), func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			_, err := peer.Ask[crashNotice, noticeAnswer](ctx, coordinator.Pool, host, kind, notice)
			return err
		}, nil)
	}
}
