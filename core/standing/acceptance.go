package standing

import (
	"time"

	"balsamproxy"
)

// Rollout tells when a stored document is in force on every daemon with
// standing. Its fields must be set; it is used by one goroutine.
type Rollout struct {
	// Wanted are the revisions that must be held.
	Wanted balsamproxy.Revisions
	// Hosts is the roster.
	Hosts []balsamproxy.HostID
	// StoredAt is an instant at which the document was in the store.
	StoredAt time.Time

	holders    map[balsamproxy.HostID]bool
	majorityAt time.Time
}

// RecordHeld takes the revisions that a host was found to hold at an instant.
func (acceptance *Rollout) RecordHeld(host balsamproxy.HostID, held balsamproxy.Revisions, now time.Time) {
	if !held.Covers(acceptance.Wanted) {
		return
	}
	if acceptance.holders == nil {
		acceptance.holders = map[balsamproxy.HostID]bool{}
	}
	acceptance.holders[host] = true
	if acceptance.majorityAt.IsZero() && Majority(acceptance.Hosts, acceptance.holds) {
		acceptance.majorityAt = now
	}
}

func (acceptance *Rollout) holds(host balsamproxy.HostID) bool {
	return acceptance.holders[host]
}

// Missing returns the hosts that are not known to hold the document.
func (acceptance *Rollout) Missing() []balsamproxy.HostID {
	missing := []balsamproxy.HostID{}
	for _, host := range acceptance.Hosts {
		if !acceptance.holders[host] {
			missing = append(missing, host)
		}
	}
	return missing
}

// InForce says whether every daemon that has standing at an instant holds the
// document: because all do, or because a majority does and every standing
// that was won before has ended.
func (acceptance *Rollout) InForce(now time.Time) bool {
	if len(acceptance.Missing()) == 0 {
		return true
	}
	if acceptance.majorityAt.IsZero() {
		return false
	}
	return now.Sub(acceptance.majorityAt) > Validity && now.Sub(acceptance.StoredAt) > Validity
}
