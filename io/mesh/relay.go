package mesh

import (
	"context"
	"time"

	"balsamproxy"
	"balsamproxy/core/evidence"
	"balsamproxy/io/peer"
)

const (
	// relayInterval is the time between two questions to a peer.
	relayInterval = 700 * time.Millisecond
	// relayTimeout bounds one question to a peer.
	relayTimeout = 300 * time.Millisecond
	// relayMax is the oldest evidence of a peer that is as good as a read of
	// the store: a healthy reader's is no older than two waits.
	relayMax = 1600 * time.Millisecond
	// helpersMax is how many peers are asked if the store does not answer.
	helpersMax = 2

	kindEvidence peer.Kind = "configuration-evidence"
)

type evidenceQuestion struct{}

type evidenceAnswer struct {
	// Known says that the peer has evidence, of Age, for Version.
	Known   bool                 `cbor:"1,keyasint"`
	Age     time.Duration        `cbor:"2,keyasint"`
	Version balsamproxy.Revision `cbor:"3,keyasint"`
}

// relay gets evidence from peers, so that one daemon of each data centre
// reads the store for all, and a daemon that the store turns away goes on.
type relay struct {
	documents *documents
	pool      *peer.Pool
	view      *view
}

// serve gives this daemon's evidence to peers. Its age is taken before the
// version, so that a change in between cannot make the evidence too good.
func (relay *relay) serve(server *peer.Server) {
	peer.Handle(server, kindEvidence, func(context.Context, balsamproxy.HostID, evidenceQuestion) (evidenceAnswer, error) {
		documents := relay.documents
		age, known := documents.evidence.Age(documents.clock.Boot())
		return evidenceAnswer{Known: known, Age: age, Version: documents.version()}, nil
	})
}

// follow confirms the configuration by the daemon that reads the store for
// this data centre. It says false if this daemon has to read the store.
func (relay *relay) follow(ctx context.Context) bool {
	readers := evidence.ReaderOrder(relay.view.neighbours())
	if len(readers) == 0 || readers[0] == relay.view.host {
		return false
	}
	return relay.ask(ctx, readers[0], relayMax)
}

// help confirms the configuration by peers that may reach the store.
func (relay *relay) help(ctx context.Context) {
	asked := 0
	for _, host := range evidence.ReaderOrder(relay.view.present()) {
		if host == relay.view.host || ctx.Err() != nil {
			continue
		}
		if asked == helpersMax || relay.ask(ctx, host, relay.documents.evidence.MaxAge) {
			return
		}
		asked++
	}
}

// ask asks one peer for evidence that is no older than a limit.
func (relay *relay) ask(ctx context.Context, host balsamproxy.HostID, limit time.Duration) bool {
	documents := relay.documents
	began := documents.clock.Boot()
	asking, cancel := context.WithTimeout(ctx, relayTimeout)
	answer, err := peer.Ask[evidenceQuestion, evidenceAnswer](asking, relay.pool, host, kindEvidence, evidenceQuestion{})
	cancel()
	if err != nil || !answer.Known || answer.Age >= limit {
		return false
	}
	if answer.Version > documents.version() {
		documents.fetch(ctx, relay.pool, host)
	}
	if answer.Version > documents.version() {
		return false
	}
	documents.evidence.Confirm(began - balsamproxy.BootTime(answer.Age))
	return true
}
