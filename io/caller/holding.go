package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"balsamproxy"
	"balsamproxy/core/memory"
	"balsamproxy/io/eviction"
	"balsamproxy/io/fleet"
)

// requestBytes is the memory of a request in flight for its buffers and stacks.
const requestBytes = 24 << 10

// holding is what a request in progress holds.
type holding struct {
	handler *Handler
	// conn is nil if the connection is not limited.
	conn   *conn
	charge *memory.Charge
}

// hold takes the memory that a request and its response need on their way, if need be from
// callers that lag.
func (handler *Handler) hold(request *http.Request) (*holding, *balsamproxy.Refusal) {
	holding := &holding{handler: handler}
	holding.conn, _ = request.Context().Value(connKey{}).(*conn)
	enough := func() (shortage memory.Shortage) {
		holding.charge, shortage = handler.Memory.Charge(requestBytes, memory.WindowBytes)
		return shortage
	}
	if !eviction.Reclaim(handler.Memory, enough) {
		return nil, holding.noMemory()
	}
	if holding.conn != nil {
		holding.conn.charges.Add(holding.charge)
	}
	return holding, nil
}

// grow takes memory for more of the body.
func (holding *holding) grow(bytes int64) bool {
	return eviction.Reclaim(holding.handler.Memory, func() memory.Shortage { return holding.charge.GrowWindow(bytes) })
}

// release returns the memory.
func (holding *holding) release() {
	if holding.conn != nil {
		// The body may not have been read to its end.
		holding.conn.turn.Disable()
		holding.conn.charges.Release(holding.charge)
		return
	}
	holding.charge.Release()
}

// bodyRefusal returns the refusal of a request whose body could not be received.
func (holding *holding) bodyRefusal(err error) *balsamproxy.Refusal {
	if errors.Is(err, fleet.ErrNoMemory) {
		return holding.noMemory()
	}
	return balsamproxy.NotRun(balsamproxy.ReasonBadRequest, err.Error())
}

func (holding *holding) noMemory() *balsamproxy.Refusal {
	holding.handler.Metrics.Counter("requests_without_memory").Inc(1)
	if holding.conn != nil {
		holding.conn.connections.report("no-memory", holding.conn)
	}
	refusal := balsamproxy.NotRun(balsamproxy.ReasonOverloaded, "the memory for requests is in use")
	refusal.RetryAfter = shedRetryAfter
	return refusal
}

// limit returns a body that measures how far its caller lags and takes turns with others.
func (holding *holding) limit(body io.Reader) io.Reader {
	if holding.conn == nil {
		return body
	}
	return &limitedBody{Reader: body, conn: holding.conn}
}

// limitedBody is the body of a request.
type limitedBody struct {
	io.Reader
	conn    *conn
	started bool
}

// Read implements io.Reader.
func (body *limitedBody) Read(buffer []byte) (int, error) {
	if !body.started {
		body.started = true
		now := time.Now()
		body.conn.reading.Reset(now)
		body.conn.receivingSince.Store(now.UnixNano())
		body.conn.turn.Enable()
	}
	body.conn.receiving.Add(1)
	defer body.conn.receiving.Add(-1)
	count, err := body.Reader.Read(buffer)
	body.conn.reading.Credit(count)
	if err != nil {
		body.conn.turn.Disable()
	} else {
		body.conn.turn.End()
	}
	return count, err
}
