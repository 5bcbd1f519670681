// Package homes decides which daemon should try to acquire the tenure of a
// group of client accounts, that is, become its home. The decision is only a
// hint: the store guarantees that at most one daemon holds a tenure.
package homes

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
	"balsamproxy/core/allowance"
)

const (
	// rankDelay is how long each daemon waits for the one ranked before it to
	// acquire a free tenure.
	rankDelay = 700 * time.Millisecond
	// PromiseDuration is how long a backup does not acquire a tenure after it
	// has promised this to the holder.
	PromiseDuration = 1200 * time.Millisecond
	// PromiseValidity is how long the holder relies on the promise, counted
	// from before it sent the request. It is shorter than PromiseDuration to
	// allow for clocks that run at slightly different rates.
	PromiseValidity = time.Second
	// NonBackupDelay is how long daemons other than the backup wait after the
	// record of a tenure is gone. For that long its holder may continue on
	// promises of the backup during an outage of the store.
	NonBackupDelay = 3 * time.Second
	// FormerEraDelay is how long after a daemon has seen an era of the store a home of
	// an earlier one may continue: the time to live of its lease and, if it cannot
	// reach the store, NonBackupDelay.
	FormerEraDelay = 4500 * time.Millisecond
)

// Rank returns the position of a host in the order of preference for a group
// among the present hosts, starting at 0.
func Rank(group allowance.Group, host balsamproxy.HostID, present []balsamproxy.HostID) int {
	own := score(group, host)
	rank := 0
	for _, other := range present {
		if other != host && score(group, other) > own {
			rank++
		}
	}
	return rank
}

func score(group allowance.Group, host balsamproxy.HostID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(int(group)) + "/" + string(host))
}

// Backup returns the preferred host to take over from a holder, or an empty ID
// if no other host is present.
func Backup(group allowance.Group, holder balsamproxy.HostID, present []balsamproxy.HostID) balsamproxy.HostID {
	var backup balsamproxy.HostID
	for _, host := range present {
		if host != holder && (backup == "" || score(group, host) > score(group, backup)) {
			backup = host
		}
	}
	return backup
}

// Tenure is the record in the store of the home of one group.
type Tenure struct {
	Host        balsamproxy.HostID   `json:"host"`
	Incarnation string               `json:"incarnation"`
	Era         balsamproxy.StoreEra `json:"era,omitempty"`
}

// PreviousHome is the last known home of a group whose tenure has ended.
type PreviousHome struct {
	Host        balsamproxy.HostID `json:"host"`
	Incarnation string             `json:"incarnation"`
	// Backup is the host that may take over first.
	Backup balsamproxy.HostID `json:"backup,omitempty"`
	// Closed is set if the home ended its tenure itself.
	Closed bool `json:"closed,omitempty"`
	// Era is the era of the store in which the home had the tenure.
	Era balsamproxy.StoreEra `json:"era,omitempty"`
}

// Candidate is the state from which a daemon decides whether to acquire a
// tenure.
type Candidate struct {
	Host    balsamproxy.HostID
	Present []balsamproxy.HostID
	// Uptime is how long this daemon has been running.
	Uptime time.Duration
	// Tenure is the current record, or nil if there is none.
	Tenure *Tenure
	// PreviousHome is the last home, or the zero value if there was none.
	PreviousHome PreviousHome
	// FreeFor is how long this daemon has known that there is no record.
	FreeFor time.Duration
	// Promised is set while this daemon has promised not to acquire the
	// tenure.
	Promised bool
	// FormerEra is set if no home of the present era of the store is known, so that
	// there may be one of an earlier era whose records are lost. This daemon has
	// seen the present era for InEraFor.
	FormerEra bool
	InEraFor  time.Duration
}

// ShouldTake reports whether a daemon that does not hold the tenure of a group
// should try to acquire it. It should at once if its own host was the last
// holder, in an earlier run or under a lease that it could not renew in time,
// or if it is the backup. Any other daemon waits until the last home must have
// stopped and the daemons ranked before it have had their chance. After the store
// came back from an older copy, every daemon waits until a home that does not know of it
// must have stopped.
func ShouldTake(group allowance.Group, candidate Candidate) bool {
	if candidate.FormerEra && candidate.InEraFor < FormerEraDelay {
		return false
	}
	if candidate.Tenure != nil {
		return candidate.Tenure.Host == candidate.Host
	}
	previous := candidate.PreviousHome
	delay := time.Duration(Rank(group, candidate.Host, candidate.Present)) * rankDelay
	switch {
	case candidate.Promised:
		return false
	case previous.Host == candidate.Host:
		return true
	case previous.Host == "" || previous.Closed:
		return candidate.FreeFor >= delay
	case previous.Backup == candidate.Host:
		// An earlier run of this daemon may have given a promise that is
		// still valid.
		return candidate.Uptime >= PromiseDuration
	}
	return candidate.FreeFor >= NonBackupDelay+delay
}

// IsSuccessor reports whether a host is the one that should watch for the end
// of a tenure whose holder cannot be reached.
func IsSuccessor(group allowance.Group, host, holder balsamproxy.HostID, present []balsamproxy.HostID) bool {
	return host != holder && Backup(group, holder, present) == host
}
