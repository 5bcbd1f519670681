package standing

import (
	"context"
	"errors"
	"time"

	"balsamproxy"
	core "balsamproxy/core/standing"
	"balsamproxy/io/peer"
	"balsamproxy/io/store"
	"balsamproxy/task"
)

const (
	kindHeld  peer.Kind = "shared-held"
	kindFetch peer.Kind = "shared-fetch"
	kindOffer peer.Kind = "shared-offer"
)

// fetchTimeout bounds the read of the store before a daemon answers a question
// about revisions that it does not hold yet.
const fetchTimeout = 300 * time.Millisecond

// Question asks for the revisions that a daemon holds, and names those that it
// should hold.
type Question struct {
	Wanted balsamproxy.Revisions `cbor:"1,keyasint"`
}

type heldAnswer struct {
	Held balsamproxy.Revisions `cbor:"1,keyasint"`
}

type fetchQuestion struct {
	Held balsamproxy.Revisions `cbor:"1,keyasint"`
}

type fetchAnswer struct {
	Documents []document `cbor:"1,keyasint"`
}

type document struct {
	Name     store.DocumentName   `cbor:"1,keyasint"`
	Value    []byte               `cbor:"2,keyasint"`
	Revision balsamproxy.Revision `cbor:"3,keyasint"`
}

type offerAnswer struct{}

// errNoDocuments is returned by a daemon that holds no documents yet. It must
// not confirm any revision, since it may have held a later one before it
// restarted.
var errNoDocuments = errors.New("no documents held yet")

// Serve registers the handlers for questions of other daemons.
func Serve(server *peer.Server, state *core.Standing, documents *store.Documents) {
	peer.Handle(server, kindHeld, func(ctx context.Context, _ balsamproxy.HostID, question Question) (heldAnswer, error) {
		if !state.Held().Covers(question.Wanted) {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			_ = documents.Fetch(ctx)
		}
		held := state.Held()
		if held.Roster == 0 {
			return heldAnswer{}, errNoDocuments
		}
		return heldAnswer{Held: held}, nil
	})
	peer.Handle(server, kindFetch, func(_ context.Context, _ balsamproxy.HostID, question fetchQuestion) (fetchAnswer, error) {
		return fetchAnswer{Documents: newerDocuments(documents, question.Held)}, nil
	})
	peer.Handle(server, kindOffer, func(_ context.Context, _ balsamproxy.HostID, offered document) (offerAnswer, error) {
		documents.Update(balsamproxy.StoreEntry{Key: documents.Key(offered.Name), Value: offered.Value, Revision: offered.Revision})
		return offerAnswer{}, nil
	})
}

// newerDocuments returns the documents of which this daemon holds a later
// revision than the peer.
func newerDocuments(documents *store.Documents, held balsamproxy.Revisions) []document {
	revisions := map[store.DocumentName]balsamproxy.Revision{
		store.DocumentConfig: held.Config,
		store.DocumentRoster: held.Roster,
		store.DocumentHomes:  held.Homes,
	}
	found := []document{}
	for name, revision := range revisions {
		entry, holds := documents.Held(name)
		if holds && entry.Revision > revision {
			found = append(found, document{Name: name, Value: entry.Value, Revision: entry.Revision})
		}
	}
	return found
}

// askHosts asks all hosts other than this one concurrently, and calls handle
// for each response, one at a time.
func askHosts(
	ctx context.Context,
	pool *peer.Pool,
	self balsamproxy.HostID,
	hosts []balsamproxy.HostID,
	asked Question,
	handle func(host balsamproxy.HostID, sentAt time.Time, held balsamproxy.Revisions),
) {
	type result struct {
		host   balsamproxy.HostID
		sentAt time.Time
		held   balsamproxy.Revisions
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan result, len(hosts))
	var asking task.Group
	count := 0
	for _, host := range hosts {
		if host == self {
			continue
		}
		count++
		asking.Start(ctx, func(ctx context.Context) error {
			sentAt := time.Now()
			answer, err := peer.Ask[Question, heldAnswer](ctx, pool, host, kindHeld, asked)
			answers <- result{host: host, sentAt: sentAt, held: answer.Held, err: err}
			return err
		}, nil)
	}
	for range count {
		answer := <-answers
		if answer.err == nil {
			handle(answer.host, answer.sentAt, answer.held)
		}
	}
}
