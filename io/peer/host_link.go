package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// hostLink holds the link to one host and the state of dialling it.
type hostLink struct {
	// dialToken holds one token, which a call takes to dial.
	dialToken chan struct{}
	mutex     sync.Mutex
	address   string
	link      *clientLink
	failedAt  time.Time
	failures  int
}

func newHostLink() *hostLink {
	hostLink := &hostLink{dialToken: make(chan struct{}, 1)}
	hostLink.dialToken <- struct{}{}
	return hostLink
}

// current returns the link if it leads to address and accepts new calls.
func (hostLink *hostLink) current(address string) (*clientLink, bool) {
	hostLink.mutex.Lock()
	defer hostLink.mutex.Unlock()
	if hostLink.link == nil || hostLink.address != address || !hostLink.link.usable() {
		return nil, false
	}
	return hostLink.link, true
}

// backingOff reports whether the back-off after the last failed dial has not yet
// elapsed.
func (hostLink *hostLink) backingOff(now time.Time) bool {
	hostLink.mutex.Lock()
	defer hostLink.mutex.Unlock()
	if hostLink.failures == 0 {
		return false
	}
	doublings := min(hostLink.failures-1, dialDoublingsMax)
	return now.Sub(hostLink.failedAt) < dialBackOffMin<<doublings
}

// acquireDial takes the token to dial. It waits for at most dialWaitTimeout, so
// that a call is not held up by the dial of another one.
func (hostLink *hostLink) acquireDial(ctx context.Context) error {
	timer := time.NewTimer(dialWaitTimeout)
	defer timer.Stop()
	select {
	case <-hostLink.dialToken:
		return nil
	case <-timer.C:
		return eris.Wrap(ErrUnreachable, "another call is dialling")
	case <-ctx.Done():
		return eris.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

func (hostLink *hostLink) setLink(link *clientLink, address string) {
	hostLink.mutex.Lock()
	defer hostLink.mutex.Unlock()
	hostLink.link = link
	hostLink.address = address
	hostLink.failures = 0
}

func (hostLink *hostLink) recordFailure(now time.Time) {
	hostLink.mutex.Lock()
	defer hostLink.mutex.Unlock()
	hostLink.failures++
	hostLink.failedAt = now
}

func (hostLink *hostLink) probe(now time.Time) {
	hostLink.mutex.Lock()
	link := hostLink.link
	hostLink.mutex.Unlock()
	if link != nil && link.usable() {
		link.probe(now)
	}
}
