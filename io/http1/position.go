package http1

import (
	"context"
	"errors"
	"sync"

	"balsamproxy"
	"balsamproxy/core/memory"
)

// Position is the place of a request behind others on its connection. Handlers call Wait before
// they act on the request. A nil Position is that of a request without a connection.
type Position struct {
	connection *connection
	own        *pending
	// ahead is the request in front, nil if there is none.
	ahead *pending
	// passed is closed when the request has begun or never will, so that the next one may.
	passed   chan struct{}
	passOnce sync.Once
	// running is set while the request takes one of the places for requests that run.
	running bool
}

// Wait waits until the request may run and returns nil. A request that may run concurrently
// begins after those in front have begun, any other one after they have been answered. If ctx
// ends first, or there is no memory, it returns why the request has not run.
func (position *Position) Wait(ctx context.Context, concurrent bool) *balsamproxy.Refusal {
	if position == nil {
		return nil
	}
	defer position.pass()
	if position.ahead != nil {
		if refusal := await(ctx, position.ahead.position.passed); refusal != nil {
			return refusal
		}
		if !concurrent {
			if refusal := await(ctx, position.ahead.done); refusal != nil {
				return refusal
			}
		}
	}
	if ctx.Err() != nil {
		// Those in front may have passed for the same reason.
		return ended(ctx)
	}
	select {
	case position.connection.running <- struct{}{}:
		position.running = true
	case <-ctx.Done():
		return ended(ctx)
	}
	return position.takeWindow(ctx)
}

// takeWindow takes the memory for the bodies on their way. If it is short, a request behind
// others waits until they have been answered; the first one may take it from connections
// that lag.
func (position *Position) takeWindow(ctx context.Context) *balsamproxy.Refusal {
	budget := position.connection.server.budget()
	grow := func() memory.Shortage { return position.own.charge.GrowWindow(memory.WindowBytes) }
	if position.ahead != nil {
		if budget.Requesting.Empty() && grow() == memory.NoShortage {
			return nil
		}
		if refusal := await(ctx, position.ahead.done); refusal != nil {
			return refusal
		}
	}
	if !position.connection.server.reclaim(grow) {
		return position.connection.refuseBody()
	}
	return nil
}

// pass lets the next request begin.
func (position *Position) pass() { position.passOnce.Do(func() { close(position.passed) }) }

// end returns the place of the request when it has been handled. The requests in front are
// forgotten: each would keep all those before it.
func (position *Position) end() {
	position.pass()
	position.ahead = nil
	if position.running {
		<-position.connection.running
	}
}

// await waits until a channel is closed. If ctx ends first, it returns why the request has
// not run.
func await(ctx context.Context, closed <-chan struct{}) *balsamproxy.Refusal {
	select {
	case <-closed:
		return nil
	default:
	}
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ended(ctx)
	}
}

func ended(ctx context.Context) *balsamproxy.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return balsamproxy.NotRun(balsamproxy.ReasonDeadline, "the requests in front took too long")
	}
	return balsamproxy.NotRun(balsamproxy.ReasonCancelled, "nobody waits for the answer")
}
