package proofs_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

// TestInvalidStatusLines guards against a response with an impossible status that
// reaches the caller, or that is skipped so that the caller gets what follows on the
// broken connection. An order must not be sent again or be reported as not run.
func TestInvalidStatusLines(t *testing.T) {
	const empty, body = "\r\nContent-Length: 0\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	cases := map[string]string{
		"000":                           "HTTP/1.1 000 OK" + empty,
		"000 with a body":               "HTTP/1.1 000 OK" + body,
		"000 without a length":          "HTTP/1.1 000 OK\r\n\r\nbody",
		"000, then an answer":           "HTTP/1.1 000 OK" + empty + answer,
		"000 after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK" + empty + answer,
		"099":                           "HTTP/1.1 099 Odd" + empty,
		"099, then an answer":           "HTTP/1.1 099 Odd" + empty + answer,
		"101":                           "HTTP/1.1 101 Switching Protocols" + empty,
		"101, then an answer":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade" + empty + answer,
		"600":                           "HTTP/1.1 600 Odd" + empty,
		"999 with a body":               "HTTP/1.1 999 Odd" + body,
		"1000":                          "HTTP/1.1 1000 Odd" + empty,
		"-01":                           "HTTP/1.1 -01 Odd" + empty,
		"no status":                     "HTTP/1.1" + empty,
	}
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	bookings := fleet.startTarget(fleet.daemons[1], "bookings")
	venues := fleet.startTarget(fleet.daemons[1], "venues")
	fleet.awaitStatus(fleet.daemons[0], "POST", "/bookings/warm", http.StatusOK)
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/warm", http.StatusOK)
	index := 0
	for name, response := range cases {
		index++
		t.Run(name, func(t *testing.T) {
			var unclosed atomic.Bool
			respond := func(writer http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				// No later case may use the connection.
				context.AfterFunc(t.Context(), func() { _ = conn.Close() })
				_, _ = io.WriteString(conn, response)
				if count, _ := conn.Read(make([]byte, 1)); count > 0 {
					unclosed.Store(true)
				}
			}
			bookings.Hook(respond)
			venues.Hook(respond)
			id := fmt.Sprintf("order-%d", index)
			order := fleet.sendOrder(fleet.daemons[0], id, newIdempotencyKey())
			assert.Check(t, order.err == nil && order.status == http.StatusBadGateway, "order: status %d, %v", order.status, order.err)
			assert.Check(t, order.outcome == balsamproxy.OutcomeMayHaveRun, "order: %q", order.outcome)
			assert.Check(t, executionCount(bookings, id) == 1, "the order was sent %d times", executionCount(bookings, id))
			look := fleet.send(fleet.daemons[0], "GET", "/venues/look")
			assert.Check(t, look.err == nil && look.status == http.StatusBadGateway, "lookup: status %d, %v", look.status, look.err)
			assert.Check(t, !unclosed.Load(), "a connection was used again after its response was malformed")
		})
	}
}
