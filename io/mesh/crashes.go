package mesh

import (
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/suspect"
)

const (
	// toldFor is how long peers are told of a crash: a link that was lost may
	// need a second to be there again.
	toldFor = 2 * time.Second
	// toldMax bounds the crashes that peers are told of: about what a target
	// has under way.
	toldMax = 128
)

// crashes keeps the requests that crashed targets anywhere in the fleet.
type crashes struct {
	table suspect.Table
	// changed is called when peers should be told of a crash.
	changed func()

	mutex sync.Mutex
	own   []ownCrash
}

type ownCrash struct {
	crash balsamproxy.Crash
	at    time.Time
}

// Blocked says whether a request crashed too many targets to be tried.
func (crashes *crashes) Blocked(fingerprint suspect.Fingerprint, now time.Time) bool {
	return crashes.table.IsBlocked(fingerprint, now)
}

// RecordCrash notes that a request of this daemon was under way in a crash.
func (crashes *crashes) RecordCrash(fingerprint suspect.Fingerprint, id balsamproxy.CrashID, now time.Time) {
	crashes.table.RecordCrash(fingerprint, id, now)
	crashes.mutex.Lock()
	crashes.drop(now)
	if len(crashes.own) < toldMax {
		crash := balsamproxy.Crash{Fingerprint: fingerprint[:], ID: id}
		crashes.own = append(crashes.own, ownCrash{crash: crash, at: now})
	}
	crashes.mutex.Unlock()
	crashes.changed()
}

func (crashes *crashes) drop(now time.Time) {
	for len(crashes.own) > 0 && now.Sub(crashes.own[0].at) > toldFor {
		crashes.own = crashes.own[1:]
	}
}

// told returns what peers should know.
func (crashes *crashes) told(now time.Time) []balsamproxy.Crash {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	crashes.drop(now)
	told := make([]balsamproxy.Crash, 0, len(crashes.own))
	for _, own := range crashes.own {
		told = append(told, own.crash)
	}
	return told
}

// learn takes what a peer tells.
func (crashes *crashes) learn(told []balsamproxy.Crash, now time.Time) {
	for _, crash := range told {
		var fingerprint suspect.Fingerprint
		if copy(fingerprint[:], crash.Fingerprint) == len(fingerprint) {
			crashes.table.RecordCrash(fingerprint, crash.ID, now)
		}
	}
}
