package mesh

import (
	"context"
	"time"

	"balsamproxy"
	"balsamproxy/core/era"
	"balsamproxy/core/evidence"
	"balsamproxy/io/peer"
)

const (
	// relayInterval is the time between two requests to the reader.
	relayInterval = 700 * time.Millisecond
	// relayTimeout bounds one request to a peer.
	relayTimeout = 300 * time.Millisecond
	// maxReadAge is the maximum age of a reader's evidence that replaces a read of
	// the store. The evidence of a healthy reader is no older than two polls. A new
	// configuration that a reader misses because it alone is cut off from the store
	// is noticed by the others after this age and the interval of their requests.
	maxReadAge = time.Second
	// maxRelayedAge is the same for the evidence of a reader that has it from the
	// first reader of the fleet.
	maxRelayedAge = maxReadAge + relayInterval
	// minTwoStepAge is the validity of evidence from which it is relayed twice: the
	// age of relayed evidence, a request interval and a request that times out.
	minTwoStepAge = maxRelayedAge + relayInterval + relayTimeout
	// maxFallbackPeers is the number of peers that are asked if the store does
	// not answer.
	maxFallbackPeers = 2

	kindEvidence peer.Kind = "configuration-evidence"
)

type evidenceRequest struct{}

type evidenceResponse struct {
	// Known reports whether the peer has evidence. If so, Age is its age and
	// Version the version that it confirms.
	Known   bool                 `cbor:"1,keyasint"`
	Age     time.Duration        `cbor:"2,keyasint"`
	Version balsamproxy.Revision `cbor:"3,keyasint"`
	// Evacuations are those that the peer knew when it was asked.
	Evacuations []balsamproxy.Evacuation `cbor:"4,keyasint,omitempty"`
	// Era is the era of the store that the peer has seen, or zero.
	Era balsamproxy.StoreEra `cbor:"5,keyasint,omitempty"`
}

// relay obtains evidence from peers, so that only one daemon has to read the
// store, and a daemon that cannot reach the store can continue. One reader of each
// data centre asks the first reader of the fleet, and passes its evidence on to the
// daemons of its data centre.
type relay struct {
	follower *configFollower
	pool     *peer.Pool
	view     *view
}

// serve answers peers that request evidence. The age is read before the version,
// so that a concurrent update cannot pair a new age with an old version.
func (relay *relay) serve(server *peer.Server) {
	peer.Handle(server, kindEvidence, func(context.Context, balsamproxy.HostID, evidenceRequest) (evidenceResponse, error) {
		follower := relay.follower
		age, known := follower.evidence.Age(follower.clock.Boot())
		return evidenceResponse{Known: known, Age: age, Version: follower.version(), Era: follower.storeEra(), Evacuations: follower.evacuationRecords()}, nil
	})
}

// isReader reports whether this daemon is the reader of its data centre.
func (relay *relay) isReader() bool {
	return evidence.ReaderOrder(relay.view.readerCandidates())[0] == relay.view.host
}

// isLinkedReader reports whether this daemon would be the reader of its data centre
// if all daemons reached the store. In an outage none of them says that it does.
func (relay *relay) isLinkedReader() bool {
	return evidence.ReaderOrder(relay.view.linkedNearby())[0] == relay.view.host
}

// fetchesFrom reports whether this daemon fetches a newer configuration from the
// one that announced it. Daemons that have one leave it to the reader of their data
// centre to fetch it from another, so that it crosses between them once.
func (relay *relay) fetchesFrom(status balsamproxy.Status) bool {
	version := relay.follower.version()
	return status.Config > version &&
		(version == 0 || status.DataCentre == relay.view.dataCentre || relay.isReader())
}

// confirmByReader confirms the configuration with the evidence of the daemon that
// reads the store for this one. It returns false if this daemon has to read the
// store itself.
func (relay *relay) confirmByReader(ctx context.Context) bool {
	twoSteps := relay.follower.evidence.MaxAge >= minTwoStepAge
	readers := evidence.ReaderOrder(relay.view.readerCandidates())
	if readers[0] != relay.view.host {
		limit := maxReadAge
		if twoSteps {
			limit = maxRelayedAge
		}
		return relay.confirmByPeer(ctx, readers[0], limit)
	}
	first := evidence.ReaderOrder(relay.view.availableHosts())[0]
	return twoSteps && first != relay.view.host && relay.confirmByPeer(ctx, first, maxReadAge)
}

// confirmByAnyPeer confirms the configuration with the evidence of a peer that
// may still reach the store.
func (relay *relay) confirmByAnyPeer(ctx context.Context) {
	asked := 0
	for _, host := range evidence.ReaderOrder(relay.view.availableHosts()) {
		if host == relay.view.host || ctx.Err() != nil {
			continue
		}
		if asked == maxFallbackPeers || relay.confirmByPeer(ctx, host, relay.follower.evidence.MaxAge) {
			return
		}
		asked++
	}
}

// confirmByPeer confirms the configuration with the evidence of one peer, if that
// is younger than a limit. It fetches the configuration of the peer if that is
// newer. The evidence counts from before the request was sent.
func (relay *relay) confirmByPeer(ctx context.Context, host balsamproxy.HostID, limit time.Duration) bool {
	follower := relay.follower
	start := follower.clock.Boot()
	askCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	answer, err := peer.Ask[evidenceRequest, evidenceResponse](askCtx, relay.pool, host, kindEvidence, evidenceRequest{})
	cancel()
	if err != nil || !answer.Known || answer.Age >= limit || answer.Era < follower.storeEra() {
		return false
	}
	follower.mergeEvacuations(answer.Evacuations)
	if answer.Version > follower.version() {
		follower.fetch(ctx, relay.pool, host)
	}
	if answer.Version > follower.version() || !era.Confirms(answer.Version, follower.version(), follower.lossy.Load() != 0) {
		return false
	}
	follower.evidence.Confirm(start - balsamproxy.BootTime(answer.Age))
	return true
}
