package http1

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamproxy"
	"balsamproxy/core/memory"
)

const (
	// stalledAfter is how long a request that is being received must have made no
	// progress to be given up in favour of others.
	stalledAfter = time.Second
	// releaseTimeout bounds the wait for the memory of an abandoned body. Its
	// connection is woken at once.
	releaseTimeout = 500 * time.Millisecond
	// headFactor is the memory of a parsed header in multiples of its length.
	headFactor = 2
)

// reception is a body that is being received.
type reception struct {
	connection *connection
	abandoned  bool
	// released is closed when the body is complete or has been released.
	released chan struct{}
}

// receptions are the bodies that are being received. The zero value is ready to use.
type receptions struct {
	mutex  sync.Mutex
	bodies map[*reception]struct{}
}

func (receptions *receptions) add(added *reception) {
	receptions.mutex.Lock()
	defer receptions.mutex.Unlock()
	if receptions.bodies == nil {
		receptions.bodies = map[*reception]struct{}{}
	}
	receptions.bodies[added] = struct{}{}
}

// remove ends a reception and reports whether it was abandoned.
func (receptions *receptions) remove(removed *reception) bool {
	receptions.mutex.Lock()
	defer receptions.mutex.Unlock()
	delete(receptions.bodies, removed)
	return removed.abandoned
}

// abandonStalled abandons the body that has made no progress for the longest time. It
// returns nil if none is stalled.
func (receptions *receptions) abandonStalled(now time.Time) *reception {
	receptions.mutex.Lock()
	defer receptions.mutex.Unlock()
	var stalled *reception
	oldest := now.Add(-stalledAfter).UnixNano()
	for candidate := range receptions.bodies {
		if progressAt := candidate.connection.limited.progressAt.Load(); !candidate.abandoned && progressAt <= oldest {
			stalled, oldest = candidate, progressAt
		}
	}
	if stalled != nil {
		stalled.abandoned = true
		_ = stalled.connection.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return stalled
}

// receiveBody reads the body into memory. If it refuses the request, it releases the
// body.
func (connection *connection) receiveBody(body *memory.Body, head *http.Request, limits Limits) *balsamproxy.Refusal {
	if head.Body == http.NoBody || head.ContentLength == 0 {
		return nil
	}
	server := connection.server
	if head.ContentLength > 0 && !server.reclaim(func() bool { return server.budget().Fits(head.ContentLength) }) {
		return server.refuseBody()
	}
	if head.Header.Get("Expect") != "" {
		connection.sendContinue()
	}
	_ = connection.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	connection.limited.noteProgress()
	reception := &reception{connection: connection, released: make(chan struct{})}
	server.receptions.add(reception)
	refusal := connection.fillBody(body, head.Body, limits)
	if server.receptions.remove(reception) && refusal != nil {
		server.counts.abandonedBodies.Add(1)
		refusal = balsamproxy.NotRun(balsamproxy.ReasonBodyStalled, "the body made no progress while memory was short")
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
			if !server.reclaim(body.Grow) {
				return server.refuseBody()
			}
			copy(body.Space(), ahead[:])
		}
		body.Extend(count)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, "the body ended early")
		}
	}
}

// reclaim abandons stalled bodies until enough memory is free. It returns false if
// there is no stalled body left.
func (server *Server) reclaim(enough func() bool) bool {
	for !enough() {
		abandoned := server.receptions.abandonStalled(time.Now())
		if abandoned == nil {
			return false
		}
		select {
		case <-abandoned.released:
		case <-time.After(releaseTimeout):
		}
	}
	return true
}

// refuseBody returns the refusal of a body for which there is no memory.
func (server *Server) refuseBody() *balsamproxy.Refusal {
	server.counts.refusedBodies.Add(1)
	return balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the memory for bodies is in use")
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
