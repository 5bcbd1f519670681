package peer

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamproxy"
	"balsamproxy/core/memory"
	"balsamproxy/io/eviction"
)

// callBytes is the memory of a call that was received: buffers, stacks and the first part
// of its response.
const callBytes = 56 << 10

// errAnswerEvicted means that a response was given up in favour of others.
var errAnswerEvicted = eris.New("peer: the response was taken too slowly while memory was short")

// charge takes the memory for a call, if need be from responses that are taken too slowly.
// Nothing of a refused call has been sent to its target.
func (link *serverLink) charge(head balsamproxy.CallHead) (*memory.Charge, *balsamproxy.Refusal) {
	budget := link.server.Memory
	if budget == nil {
		return nil, nil
	}
	window := int64(windowBytes)
	if head.ContentLength >= 0 {
		window = min(window, head.ContentLength)
	}
	var charge *memory.Charge
	if eviction.Reclaim(budget, func() (shortage memory.Shortage) {
		charge, shortage = budget.Charge(callBytes, window)
		return shortage
	}) {
		return charge, nil
	}
	return nil, balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the daemon beside the target lacks memory")
}

// heldAnswer is a response on its way to a peer.
type heldAnswer struct {
	stream   *stream
	link     *serverLink
	bytes    int64
	evicted  atomic.Bool
	released chan struct{}
}

var _ memory.Holder = (*heldAnswer)(nil)

// holdAnswer makes a response give way to others while its peer takes it too slowly. The
// returned function ends that.
func (link *serverLink) holdAnswer(stream *stream, answer *balsamproxy.Response) func() {
	holder, ok := answer.Body.(interface{ Held() int64 })
	if !ok || link.server.Memory == nil {
		return func() {}
	}
	held := &heldAnswer{stream: stream, link: link, bytes: holder.Held(), released: make(chan struct{})}
	holders := &link.server.Memory.Holders
	holders.Add(held)
	return func() {
		holders.Remove(held)
		close(held.released)
	}
}

// Lag implements memory.Holder.
func (held *heldAnswer) Lag(now time.Time) time.Duration {
	lag := held.stream.outbound.lag.At(now)
	if lag < memory.MinLag || held.evicted.Load() {
		return 0
	}
	return lag
}

// Held implements memory.Holder.
func (held *heldAnswer) Held(shortage memory.Shortage) int64 {
	switch shortage {
	case memory.ShortOfBodies:
		return held.bytes
	case memory.ShortOfOverhead:
		return callBytes
	default:
		return 0
	}
}

// Evict implements memory.Holder. The caller of the request never sees the end of the
// response.
func (held *heldAnswer) Evict(memory.Shortage) (<-chan struct{}, bool) {
	if held.evicted.Swap(true) {
		return nil, false
	}
	held.stream.outbound.fail(errAnswerEvicted)
	if held.link.server.OnEvict != nil {
		held.link.server.OnEvict(held.link.host)
	}
	return held.released, true
}
