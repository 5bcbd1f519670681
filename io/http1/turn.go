package http1

import (
	"context"
	"errors"
	"sync"

	"balsamproxy"
	"balsamproxy/core/memory"
)

// Turn is the place of a request behind others on its connection. Handlers call Wait before
// they act on the request. A nil Turn is that of a request without a connection.
type Turn struct {
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
func (turn *Turn) Wait(ctx context.Context, concurrent bool) *balsamproxy.Refusal {
	if turn == nil {
		return nil
	}
	defer turn.pass()
	if turn.ahead != nil {
		if refusal := await(ctx, turn.ahead.turn.passed); refusal != nil {
			return refusal
		}
		if !concurrent {
			if refusal := await(ctx, turn.ahead.done); refusal != nil {
				return refusal
			}
		}
	}
	if ctx.Err() != nil {
		// Those in front may have passed for the same reason.
		return ended(ctx)
	}
	select {
	case turn.connection.running <- struct{}{}:
		turn.running = true
	case <-ctx.Done():
		return ended(ctx)
	}
	return turn.takeWindow(ctx)
}

// takeWindow takes the memory for the bodies on their way. If it is short, a request behind
// others waits until they have been answered; the first one may take it from connections
// that lag.
func (turn *Turn) takeWindow(ctx context.Context) *balsamproxy.Refusal {
	budget := turn.connection.server.budget()
	grow := func() memory.Shortage { return turn.own.charge.GrowWindow(memory.WindowBytes) }
	if turn.ahead != nil {
		if budget.Requesting.Empty() && grow() == memory.NoShortage {
			return nil
		}
		if refusal := await(ctx, turn.ahead.done); refusal != nil {
			return refusal
		}
	}
	if !turn.connection.server.reclaim(grow) {
		return turn.connection.refuseBody()
	}
	return nil
}

// pass lets the next request begin.
func (turn *Turn) pass() { turn.passOnce.Do(func() { close(turn.passed) }) }

// end returns the place of the request when it has been handled. The requests in front are
// forgotten: each would keep all those before it.
func (turn *Turn) end() {
	turn.pass()
	turn.ahead = nil
	if turn.running {
		<-turn.connection.running
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
