package allowance

import (
	"slices"
	"sync"
	"time"

	"balsamproxy"
)

// Limits are the rate and the burst of a client account across all hosts.
type Limits struct {
	// Rate is in requests per second.
	Rate int
	// Burst is in requests.
	Burst int
}

// HomesTracker determines which shares a host may use while the assignment of
// homes changes. Its zero value has no homes.
type HomesTracker struct {
	mutex    sync.RWMutex
	homes    Homes
	revision balsamproxy.Revision
	// inForceSince is when the homes were found to be in force on all
	// daemons. It is zero until then.
	inForceSince time.Time
	// previous are the earlier homes that other daemons may still use.
	previous []Homes
}

// Update replaces the homes by a later revision. Until the new homes are in
// force on all daemons and all tokens lent before have expired, the host uses
// the lower of its shares in the previous and the new homes.
func (tracker *HomesTracker) Update(homes Homes, revision balsamproxy.Revision, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if revision <= tracker.revision {
		return
	}
	switch {
	case tracker.revision == 0:
	case tracker.settled(now):
		tracker.previous = []Homes{tracker.homes}
	default:
		tracker.previous = append(tracker.previous, tracker.homes)
	}
	tracker.homes = homes
	tracker.revision = revision
	tracker.inForceSince = time.Time{}
}

// MarkInForce records that a revision of the homes is in force on all daemons
// that have standing.
func (tracker *HomesTracker) MarkInForce(revision balsamproxy.Revision, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if revision == tracker.revision && tracker.inForceSince.IsZero() {
		tracker.inForceSince = now
	}
}

func (tracker *HomesTracker) settled(now time.Time) bool {
	return !tracker.inForceSince.IsZero() && now.Sub(tracker.inForceSince) > LenderLoanTTL
}

// Homes returns the homes, their revision and whether they are in force.
func (tracker *HomesTracker) Homes() (Homes, balsamproxy.Revision, bool) {
	tracker.mutex.RLock()
	defer tracker.mutex.RUnlock()
	return tracker.homes, tracker.revision, !tracker.inForceSince.IsZero()
}

// InForceSince returns when the homes came into force, or zero if they are not
// in force yet.
func (tracker *HomesTracker) InForceSince() time.Time {
	tracker.mutex.RLock()
	defer tracker.mutex.RUnlock()
	return tracker.inForceSince
}

// Share returns a host's share of an account and whether the host is one of
// the account's homes. The share is the lowest one in all assignments that some
// daemon may still use.
func (tracker *HomesTracker) Share(account balsamproxy.ClientAccountID, host balsamproxy.HostID, limits Limits, now time.Time) (Share, bool) {
	tracker.mutex.RLock()
	defer tracker.mutex.RUnlock()
	share, home := tracker.homes.share(account, host, limits)
	if tracker.settled(now) {
		return share, home
	}
	for _, previous := range tracker.previous {
		other, _ := previous.share(account, host, limits)
		share = minShare(share, other)
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
