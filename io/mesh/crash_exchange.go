package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"balsamproxy"
	"balsamproxy/io/peer"
)

const (
	kindCrashes peer.Kind = "known-crashes"

	// crashExchangeInterval is the time between two comparisons with a peer that knows
	// other crashes, after the first ones over a new link.
	crashExchangeInterval = 5 * time.Second
	// firstExchangesMax bounds the peers that are asked at once in that time, so that a
	// daemon that starts does not load the same crashes from every peer.
	firstExchangesMax = 3
	// crashExchangeTimeout bounds one question.
	crashExchangeTimeout = 500 * time.Millisecond
	// maxCrashesExchanged bounds an answer to about 60 KB.
	maxCrashesExchanged = 1000
	// maxNewLinks bounds the peers that wait to be asked.
	maxNewLinks = 64
)

type crashesRequest struct {
	// Digest is that of the crashes which the asking daemon knows.
	Digest uint64 `cbor:"1,keyasint"`
}

type crashesResponse struct {
	// Crashes are empty if the peer knows the same ones.
	Crashes []balsamproxy.Crash `cbor:"1,keyasint,omitempty"`
}

// crashExchange asks peers for the crashes that they know and this daemon does not. The
// status tells of new crashes for seconds only, so a daemon that starts, was cut off or
// lost a report asks for the others.
type crashExchange struct {
	crashes *crashes
	view    *view
	pool    *peer.Pool
	clock   balsamproxy.Clock
	// linked holds peers over whose new link the first status has arrived.
	linked chan balsamproxy.HostID

	// asked holds the digest that a peer had when it last answered.
	asked map[balsamproxy.HostID]uint64
	// first is the number of peers that may still be asked at once.
	first int
}

// serve answers peers that ask for crashes.
func (exchange *crashExchange) serve(server *peer.Server) {
	peer.Handle(server, kindCrashes, func(_ context.Context, _ balsamproxy.HostID, request crashesRequest) (crashesResponse, error) {
		table := &exchange.crashes.table
		if request.Digest == table.Digest() {
			return crashesResponse{}, nil
		}
		return crashesResponse{Crashes: table.Snapshot(maxCrashesExchanged, exchange.clock.Now())}, nil
	})
}

// handleNewLink has a peer asked soon if it knows other crashes.
func (exchange *crashExchange) handleNewLink(host balsamproxy.HostID) {
	select {
	case exchange.linked <- host:
	default:
		// It is asked at one of the next intervals.
	}
}

// run asks peers until ctx ends.
func (exchange *crashExchange) run(ctx context.Context) error {
	exchange.asked = map[balsamproxy.HostID]uint64{}
	exchange.first = firstExchangesMax
	ticker := time.NewTicker(crashExchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case host := <-exchange.linked:
			if exchange.first > 0 && exchange.differs(host, exchange.view.crashDigests()[host]) {
				exchange.first--
				exchange.ask(ctx, host)
			}
		case <-ticker.C:
			exchange.first = firstExchangesMax
			exchange.askAny(ctx)
		}
	}
}

// differs reports whether a peer with a digest may know a crash that this daemon does not,
// and has not been asked for it.
func (exchange *crashExchange) differs(host balsamproxy.HostID, digest uint64) bool {
	return digest != 0 && digest != exchange.crashes.table.Digest() && exchange.asked[host] != digest
}

// askAny asks one of the peers that know other crashes.
func (exchange *crashExchange) askAny(ctx context.Context) {
	var differing []balsamproxy.HostID
	digests := exchange.view.crashDigests()
	for host, digest := range digests {
		if exchange.differs(host, digest) {
			differing = append(differing, host)
		}
	}
	for host := range exchange.asked {
		if _, linked := digests[host]; !linked {
			delete(exchange.asked, host)
		}
	}
	if len(differing) > 0 {
		exchange.ask(ctx, differing[rand.IntN(len(differing))]) //nolint:gosec // any peer will do
	}
}

func (exchange *crashExchange) ask(ctx context.Context, host balsamproxy.HostID) {
	digest := exchange.view.crashDigests()[host]
	ctx, cancel := context.WithTimeout(ctx, crashExchangeTimeout)
	defer cancel()
	request := crashesRequest{Digest: exchange.crashes.table.Digest()}
	answer, err := peer.Ask[crashesRequest, crashesResponse](ctx, exchange.pool, host, kindCrashes, request)
	if err != nil {
		exchange.crashes.log.Info().Str("event", "crashes-not-learnt").Str("peer", string(host)).Err(err).Send()
		return
	}
	exchange.asked[host] = digest
	if len(answer.Crashes) == 0 {
		return
	}
	exchange.crashes.merge(answer.Crashes, exchange.clock.Now())
	exchange.crashes.log.Info().Str("event", "crashes-learnt").Str("peer", string(host)).Int("crashes", len(answer.Crashes)).Send()
}
