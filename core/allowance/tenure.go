package allowance

import (
	"slices"
	"sync"
	"time"

	"balsamproxy"
)

// Limits are the rate and the burst of a client account over the fleet.
type Limits struct {
	// Rate is in requests a second.
	Rate int
	// Burst is in requests.
	Burst int
}

// HomesTracker decides which shares a host may act by while the homes change. Its
// zero value holds no homes.
type HomesTracker struct {
	mutex    sync.RWMutex
	homes    Homes
	revision balsamproxy.Revision
	// since is when the homes were found to be in force on all daemons, zero
	// until then.
	since time.Time
	// former are the homes that other daemons may still act by.
	former []Homes
}

// Update takes later homes. The host acts by the lesser share of the former and
// the new homes until the new ones are in force on all daemons and no token
// that was lent before can still be spent.
func (tenure *HomesTracker) Update(homes Homes, revision balsamproxy.Revision, now time.Time) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	if revision <= tenure.revision {
		return
	}
	switch {
	case tenure.revision == 0:
	case tenure.settled(now):
		tenure.former = []Homes{tenure.homes}
	default:
		tenure.former = append(tenure.former, tenure.homes)
	}
	tenure.homes = homes
	tenure.revision = revision
	tenure.since = time.Time{}
}

// MarkInForce notes that homes are in force on all daemons that have standing.
func (tenure *HomesTracker) MarkInForce(revision balsamproxy.Revision, now time.Time) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	if revision == tenure.revision && tenure.since.IsZero() {
		tenure.since = now
	}
}

func (tenure *HomesTracker) settled(now time.Time) bool {
	return !tenure.since.IsZero() && now.Sub(tenure.since) > LenderLoanTTL
}

// Homes returns the homes, their revision and whether they are in force.
func (tenure *HomesTracker) Homes() (Homes, balsamproxy.Revision, bool) {
	tenure.mutex.RLock()
	defer tenure.mutex.RUnlock()
	return tenure.homes, tenure.revision, !tenure.since.IsZero()
}

// InForceSince returns when the homes came into force, zero if they have not.
func (tenure *HomesTracker) InForceSince() time.Time {
	tenure.mutex.RLock()
	defer tenure.mutex.RUnlock()
	return tenure.since
}

// Share returns a host's share of an account, and whether it is one of the
// account's homes: the least of the shares in all homes that some daemon may
// still act by.
func (tenure *HomesTracker) Share(account balsamproxy.ClientAccountID, host balsamproxy.HostID, limits Limits, now time.Time) (Share, bool) {
	tenure.mutex.RLock()
	defer tenure.mutex.RUnlock()
	share, home := tenure.homes.share(account, host, limits)
	if tenure.settled(now) {
		return share, home
	}
	for _, former := range tenure.former {
		other, _ := former.share(account, host, limits)
		share = lesser(share, other)
	}
	return share, home
}

func (homes Homes) share(account balsamproxy.ClientAccountID, host balsamproxy.HostID, limits Limits) (Share, bool) {
	list := homes.Of(account)
	position := slices.Index(list, host)
	if position < 0 {
		return Share{}, false
	}
	return ShareOf(limits.Rate, limits.Burst, position, len(list)), true
}
