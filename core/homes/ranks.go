// Package homes decides which daemon should take the tenure of a group of
// client accounts. It is only a hint: the store lets one daemon at a time hold
// a tenure.
package homes

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamproxy"
	"balsamproxy/core/allowance"
)

const (
	// rankDelay is how long the next daemon in rank waits for the one before
	// it to take a tenure that is free.
	rankDelay = 700 * time.Millisecond
	// PromiseDuration is how long a backup leaves a tenure alone after it has
	// promised that to the holder.
	PromiseDuration = 1200 * time.Millisecond
	// PromiseValidity is how long the holder relies on the promise, counted from
	// before it asked; it is less, since clocks may run a little apart.
	PromiseValidity = time.Second
	// NonBackupDelay is how long daemons other than the backup leave a tenure
	// alone whose record is gone: so long its holder may go on by promises of
	// the backup, over an outage of the store.
	NonBackupDelay = 3 * time.Second
)

// Rank returns how many of the present hosts go before one host for a group.
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

// Backup returns the host that may follow a holder first, if there is one.
func Backup(group allowance.Group, holder balsamproxy.HostID, present []balsamproxy.HostID) balsamproxy.HostID {
	var backup balsamproxy.HostID
	for _, host := range present {
		if host != holder && (backup == "" || score(group, host) > score(group, backup)) {
			backup = host
		}
	}
	return backup
}

// Tenure is the store's record of the home of one group.
type Tenure struct {
	Host        balsamproxy.HostID `json:"host"`
	Incarnation string             `json:"incarnation"`
}

// PreviousHome is what stands of the last home of a group when its tenure has ended.
type PreviousHome struct {
	Host        balsamproxy.HostID `json:"host"`
	Incarnation string             `json:"incarnation"`
	// Backup is the host that may follow first.
	Backup balsamproxy.HostID `json:"backup,omitempty"`
	// Closed says that the home ended its tenure itself.
	Closed bool `json:"closed,omitempty"`
}

// Candidate is what one daemon knows when it decides whether to take a tenure.
type Candidate struct {
	Host    balsamproxy.HostID
	Present []balsamproxy.HostID
	// Uptime is how long this daemon has been running.
	Uptime time.Duration
	// Tenure is the record that stands, if any.
	Tenure *Tenure
	// PreviousHome is the last home; its zero value says that there was none.
	PreviousHome PreviousHome
	// FreeFor is how long this daemon has known that no tenure stands.
	FreeFor time.Duration
	// Promised says that this daemon has promised to leave the tenure alone.
	Promised bool
}

// ShouldTake says whether a daemon that does not hold the tenure of a group should
// try to take it: at once if its own host held it last, in an earlier run or
// under a lease that it could not renew in time, or if it is the backup;
// otherwise when the last home cannot be at work any more and its turn has
// come.
func ShouldTake(group allowance.Group, candidate Candidate) bool {
	if candidate.Tenure != nil {
		return candidate.Tenure.Host == candidate.Host
	}
	former := candidate.PreviousHome
	turn := time.Duration(Rank(group, candidate.Host, candidate.Present)) * rankDelay
	switch {
	case candidate.Promised:
		return false
	case former.Host == candidate.Host:
		return true
	case former.Host == "" || former.Closed:
		return candidate.FreeFor >= turn
	case former.Backup == candidate.Host:
		// An earlier run may have given a promise.
		return candidate.Uptime >= PromiseDuration
	}
	return candidate.FreeFor >= NonBackupDelay+turn
}

// IsSuccessor says whether a daemon is the one that should watch for the end of
// a tenure whose holder cannot be reached.
func IsSuccessor(group allowance.Group, host, holder balsamproxy.HostID, present []balsamproxy.HostID) bool {
	return host != holder && Backup(group, holder, present) == host
}
