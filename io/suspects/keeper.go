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

// Keeper decides whether a request may be tried. Its exported fields must be
// set before use.
type Keeper struct {
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
func (keeper *Keeper) Serve(server *peer.Server) {
	peer.Answer(server, kindCrash, func(_ context.Context, _ balsamproxy.HostID, notice crashNotice) (noticeAnswer, error) {
		keeper.recordCrashes(notice)
		return noticeAnswer{}, nil
	})
	peer.Answer(server, kindClear, func(_ context.Context, _ balsamproxy.HostID, notice crashNotice) (noticeAnswer, error) {
		keeper.clearFingerprint(notice.Fingerprint)
		return noticeAnswer{}, nil
	})
	peer.Answer(server, kindTrial, func(_ context.Context, _ balsamproxy.HostID, notice crashNotice) (trialAnswer, error) {
		return trialAnswer{Verdict: keeper.decide(notice)}, nil
	})
}

// recordCrashes records crashes both for calls of this host and for decisions
// as an owner.
func (keeper *Keeper) recordCrashes(notice crashNotice) {
	now := keeper.Clock.Now()
	for _, crash := range notice.Crashes {
		keeper.table.RecordCrash(notice.Fingerprint, crash, now)
		keeper.owned.RecordCrash(notice.Fingerprint, crash, now)
	}
}

func (keeper *Keeper) clearFingerprint(fingerprint suspect.Fingerprint) {
	keeper.table.Clear(fingerprint)
	keeper.owned.Clear(fingerprint)
}

// decide grants trials as the owner of a fingerprint.
func (keeper *Keeper) decide(notice crashNotice) suspect.Verdict {
	keeper.recordCrashes(notice)
	return keeper.owned.Check(notice.Fingerprint, keeper.Clock.Now())
}

// Any reports whether any request is suspect.
func (keeper *Keeper) Any() bool { return keeper.table.HasEntries() }

// Admit waits until a request may be tried, or returns a refusal.
func (keeper *Keeper) Admit(ctx context.Context, fingerprint suspect.Fingerprint) *balsamproxy.Refusal {
	for {
		crashes := keeper.table.Crashes(fingerprint, keeper.Clock.Now())
		if len(crashes) == 0 {
			return nil
		}
		switch keeper.askOwner(ctx, crashNotice{Fingerprint: fingerprint, Crashes: crashes}) {
		case suspect.Free, suspect.Trial:
			return nil
		case suspect.Blocked:
			keeper.Metrics.Counter("suspects_refused").Inc(1)
			return balsamproxy.NotRun(balsamproxy.ReasonRequestCrashedTargets, "this request crashed its targets")
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
func (keeper *Keeper) askOwner(ctx context.Context, notice crashNotice) suspect.Verdict {
	key := binary.BigEndian.Uint64(notice.Fingerprint[:])
	owner := rendezvous.First(key, keeper.Members.Hosts())
	if owner == "" || owner == keeper.Host {
		return keeper.decide(notice)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	answer, err := peer.Ask[crashNotice, trialAnswer](ctx, keeper.Pool, owner, kindTrial, notice)
	if err != nil {
		return suspect.Wait
	}
	return answer.Verdict
}

// Crashed records that a request crashed a target and notifies all daemons.
func (keeper *Keeper) Crashed(fingerprint suspect.Fingerprint, crash balsamproxy.CrashID) {
	notice := crashNotice{Fingerprint: fingerprint, Crashes: []balsamproxy.CrashID{crash}}
	keeper.recordCrashes(notice)
	keeper.Metrics.Counter("suspects_noted").Inc(1)
	keeper.broadcast(kindCrash, notice)
}

// Answered records that a target has responded to a request, and notifies all
// daemons if the request was suspect.
func (keeper *Keeper) Answered(fingerprint suspect.Fingerprint) {
	if len(keeper.table.Crashes(fingerprint, keeper.Clock.Now())) == 0 {
		return
	}
	keeper.clearFingerprint(fingerprint)
	keeper.broadcast(kindClear, crashNotice{Fingerprint: fingerprint})
}

func (keeper *Keeper) broadcast(kind peer.Kind, notice crashNotice) {
	for _, host := range keeper.Members.Hosts() {
		if host == keeper.Host {
			continue
		}
		keeper.notices.Start(context.Background(), func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			_, err := peer.Ask[crashNotice, noticeAnswer](ctx, keeper.Pool, host, kind, notice)
			return err
		}, nil)
	}
}
