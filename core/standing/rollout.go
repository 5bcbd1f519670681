package standing

import (
	"time"

	"balsamproxy"
)

// Rollout determines when a stored document is in force on every daemon that
// has standing. Its exported fields must be set before use. It is not safe for
// concurrent use.
type Rollout struct {
	// Wanted are the revisions that the daemons must hold.
	Wanted balsamproxy.Revisions
	// Hosts are the hosts of the roster.
	Hosts []balsamproxy.HostID
	// StoredAt is an instant at which the document was in the store.
	StoredAt time.Time

	holders    map[balsamproxy.HostID]bool
	majorityAt time.Time
}

// RecordHeld records the revisions that a host held at an instant.
func (rollout *Rollout) RecordHeld(host balsamproxy.HostID, held balsamproxy.Revisions, now time.Time) {
	if !held.Covers(rollout.Wanted) {
		return
	}
	if rollout.holders == nil {
		rollout.holders = map[balsamproxy.HostID]bool{}
	}
	rollout.holders[host] = true
	if rollout.majorityAt.IsZero() && Majority(rollout.Hosts, rollout.holds) {
		rollout.majorityAt = now
	}
}

func (rollout *Rollout) holds(host balsamproxy.HostID) bool {
	return rollout.holders[host]
}

// Missing returns the hosts that are not known to hold the document.
func (rollout *Rollout) Missing() []balsamproxy.HostID {
	missing := []balsamproxy.HostID{}
	for _, host := range rollout.Hosts {
		if !rollout.holders[host] {
			missing = append(missing, host)
		}
	}
	return missing
}

// InForce reports whether every daemon that has standing at an instant holds
// the document: either all hosts hold it, or a majority does and every
// confirmation that was obtained before has expired.
func (rollout *Rollout) InForce(now time.Time) bool {
	if len(rollout.Missing()) == 0 {
		return true
	}
	if rollout.majorityAt.IsZero() {
		return false
	}
	return now.Sub(rollout.majorityAt) > Validity && now.Sub(rollout.StoredAt) > Validity
}
