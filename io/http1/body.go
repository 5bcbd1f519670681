package http1

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"balsamproxy"
	"balsamproxy/core/memory"
	"balsamproxy/io/eviction"
)

// headFactor is the memory of a parsed header in multiples of its length.
const headFactor = 2

// reception is a body that is being received.
type reception struct {
	body *memory.Body
	// abandoned is set when the body is given up in favour of others.
	abandoned atomic.Bool
	// released is closed when the body is complete or has been released.
	released chan struct{}
}

// receiveBody reads the body into memory. If it refuses the request, it releases the
// body.
func (connection *connection) receiveBody(body *memory.Body, head *http.Request, limits Limits) *balsamproxy.Refusal {
	if head.Body == http.NoBody || head.ContentLength == 0 {
		return nil
	}
	server := connection.server
	if head.ContentLength > 0 && !server.reclaimBodies(func() bool { return server.budget().Fits(head.ContentLength) }) {
		return connection.refuseBody()
	}
	if head.Header.Get("Expect") != "" {
		connection.sendContinue()
	}
	_ = connection.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	connection.reading.Reset(time.Now())
	reception := &reception{body: body, released: make(chan struct{})}
	connection.reception.Store(reception)
	connection.limited.turn.Enable()
	refusal := connection.fillBody(body, head.Body, limits)
	connection.limited.turn.Disable()
	connection.reception.Store(nil)
	if reception.abandoned.Load() && refusal != nil {
		server.counts.abandonedBodies.Add(1)
		server.reportEviction(EvictedReceiving, connection.conn)
		refusal = balsamproxy.NotRun(balsamproxy.ReasonBodyStalled, "the body came too slowly while memory was short")
	}
	if refusal != nil {
		body.Release()
	}
	close(reception.released)
	return refusal
}

// fillBody reads the body to its end. A byte is read ahead of each new piece, since
// the body may end where a piece does.
func (connection *connection) fillBody(body *memory.Body, reader io.Reader, limits Limits) *balsamproxy.Refusal {
	server := connection.server
	var ahead [1]byte
	for {
		space := body.Space()
		full := len(space) == 0
		if full {
			space = ahead[:]
		}
		count, err := reader.Read(space)
		if body.Len()+int64(count) > int64(limits.BodyBytes) {
			return balsamproxy.NotRun(balsamproxy.ReasonTooLarge, "the body is longer than allowed")
		}
		if full && count > 0 {
			// Those that give way need a turn to end.
			connection.limited.turn.End()
			if !server.reclaimBodies(body.Grow) {
				return connection.refuseBody()
			}
			copy(body.Space(), ahead[:])
		}
		body.Extend(count)
		connection.reading.Credit(count)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the body ended early")
		}
	}
}

// reclaim evicts connections that lag until there is enough. It returns false if none lags
// any more.
func (server *Server) reclaim(enough func() memory.Shortage) bool {
	return eviction.Reclaim(server.budget(), enough)
}

// reclaimBodies is like reclaim for the memory of bodies.
func (server *Server) reclaimBodies(enough func() bool) bool {
	return server.reclaim(func() memory.Shortage {
		if enough() {
			return memory.NoShortage
		}
		return memory.ShortOfBodies
	})
}

// refuseBody returns the refusal of a request for which there is no memory.
func (connection *connection) refuseBody() *balsamproxy.Refusal {
	connection.server.counts.refusedBodies.Add(1)
	connection.server.reportEviction(EvictedBody, connection.conn)
	refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the memory for requests is in use")
	// Peers that do not take what they hold lag by then.
	refusal.RetryAfter = memory.MinLag
	return refusal
}

// budget returns the memory for bodies, with a default if none is set.
func (server *Server) budget() *memory.Budget {
	server.defaultBodies.Do(func() {
		if server.Bodies == nil {
			server.Bodies = memory.NewBudget(defaultBodyMemory, defaultBodyMemory)
		}
	})
	return server.Bodies
}
