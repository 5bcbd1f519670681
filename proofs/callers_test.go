package proofs_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
)

// TestNoTargetSeesAKey guards against keys that leak to targets. It sends a key in
// the headers, the query and the path, plain and percent-encoded, and searches
// the requests that the targets received.
func TestNoTargetSeesAKey(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	lofts := fleet.startTarget(fleet.daemons[0], "lofts")
	venues := fleet.startTarget(fleet.daemons[1], "venues", "lofts")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	escaped := strings.ReplaceAll(goodSecret, "_", "%5f")
	cases := map[string]struct {
		path   string
		header http.Header
		status int
	}{
		"bearer":             {path: "/venues/1", header: bearerHeader(goodSecret), status: 200},
		"api key":            {path: "/venues/1", header: http.Header{"X-Api-Key": {goodSecret}}, status: 200},
		"open route":         {path: "/open/1", header: bearerHeader(goodSecret), status: 200},
		"unknown, open":      {path: "/open/1", header: bearerHeader(otherSecret), status: 200},
		"query":              {path: "/venues/1?a=1&key=" + goodSecret + "&b=2", header: bearerHeader(goodSecret), status: 200},
		"escaped query":      {path: "/venues/1?key=" + escaped, header: bearerHeader(goodSecret), status: 200},
		"cookie and referer": {path: "/open/1", header: http.Header{"Cookie": {"k=" + goodSecret}, "Referer": {"http://x/?k=" + escaped}}, status: 200},
		"forwarded headers":  {path: "/open/1", header: http.Header{"X-Forwarded-Authorization": {"Bearer " + goodSecret}, "Forwarded": {"for=" + goodSecret}}, status: 200},
		"header name":        {path: "/open/1", header: http.Header{goodSecret: {"1"}}, status: 200},
		"path":               {path: "/open/" + goodSecret, header: nil, status: 400},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			url := "http://" + fleet.daemons[0].settings.CallerAddress + test.path
			response := do(t, "GET", url, nil, test.header)
			assert.Equal(t, response.status, test.status, string(response.body))
		})
	}
	ledgers, err := json.Marshal(append(lofts.Requests(), venues.Requests()...))
	assert.NilError(t, err)
	for _, secret := range []string{goodSecret, otherSecret, escaped} {
		assert.Assert(t, !bytes.Contains(ledgers, []byte(secret)), "a target received the secret %s", secret)
	}
	assert.Assert(t, bytes.Contains(ledgers, []byte("/venues/1?a=1")), "other query parameters must be kept")
}

// TestKeysGuardRoutes checks which requests each kind of route admits, with and
// without a valid key.
func TestKeysGuardRoutes(t *testing.T) {
	fleet := newFleet(t, 1)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	fleet.startTarget(fleet.daemons[0], "venues")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	cases := map[string]struct {
		method, path, secret string
		status               int
		reason               balsamproxy.Reason
	}{
		"keyed with key":         {"GET", "/venues/1", goodSecret, 200, ""},
		"keyed without key":      {"GET", "/venues/1", "", 401, balsamproxy.ReasonKeyMissing},
		"keyed with wrong key":   {"GET", "/venues/1", otherSecret, 401, balsamproxy.ReasonKeyUnknown},
		"open without key":       {"GET", "/open/1", "", 200, ""},
		"no such path":           {"GET", "/nowhere", goodSecret, 404, balsamproxy.ReasonNoRoute},
		"no such method":         {"DELETE", "/venues/1", goodSecret, 404, balsamproxy.ReasonNoRoute},
		"dot segments":           {"GET", "/open/../venues/1", "", 400, balsamproxy.ReasonBadRequest},
		"escaped slash":          {"GET", "/open/..%2fvenues/1", "", 400, balsamproxy.ReasonBadRequest},
		"escaped dots":           {"GET", "/open/%2e%2e/venues/1", "", 400, balsamproxy.ReasonBadRequest},
		"service without target": {"POST", "/bookings/1", goodSecret, 503, balsamproxy.ReasonNoTarget},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			if test.secret != "" {
				header = orderHeader(test.secret, newIdempotencyKey())
			}
			url := "http://" + fleet.daemons[0].settings.CallerAddress + test.path
			response := do(t, test.method, url, nil, header)
			assert.Equal(t, response.status, test.status, string(response.body))
			assert.Equal(t, response.reason, test.reason)
			if test.reason != "" {
				assert.Equal(t, response.outcome, balsamproxy.OutcomeNotRun)
			}
		})
	}
}

// TestBadRequests sends malformed requests over raw connections. Each must get its
// own error status, must not reach a target as a complete request, and must not
// affect the next request.
func TestBadRequests(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	venues := fleet.startTarget(fleet.daemons[1], "venues")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	post := "POST /open/bad HTTP/1.1\r\nHost: x\r\n"
	flood := strings.Repeat("X-Flood: 1\r\n", 500)
	cases := map[string]struct {
		request string
		status  int
	}{
		"not HTTP":                 {"nonsense\r\n\r\n", 400},
		"huge header":              {post + "X-Huge: " + strings.Repeat("h", 1<<20) + "\r\n\r\n", 431},
		"too many header lines":    {post + flood + "\r\n", 400},
		"huge Content-Length":      {post + "Content-Length: 99999999999\r\n\r\n", 413},
		"truncated body":           {post + "Content-Length: 10\r\n\r\nabc", 400},
		"invalid chunk size":       {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400},
		"truncated chunk":          {post + "Transfer-Encoding: chunked\r\n\r\n10\r\nabc", 400},
		"two Content-Lengths":      {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length and chunked":       {post + "Content-Length: 3\r\nTransfer-Encoding: chunked, x\r\n\r\nabc", 501},
		"no host":                  {"GET /open/1 HTTP/1.1\r\n\r\n", 400},
		"large chunked, too large": {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("b", 0x10000)+"\r\n", 140), 413},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status := fleet.sendRaw(fleet.daemons[0], test.request)
			assert.Equal(t, status, test.status)
			next := fleet.send(fleet.daemons[0], "GET", "/venues/1")
			assert.Equal(t, next.status, http.StatusOK, "%s %s", next.reason, next.body)
		})
	}
	for _, entry := range venues.Requests() {
		assert.Assert(t, entry.Incomplete || !strings.HasPrefix(entry.URL, "/open/bad"), "a target received a malformed request as complete: %s", entry.URL)
	}
}

// sendRaw writes a request, closes the write side of the connection, and returns
// the status of the response, or -1 if there is none.
func (fleet *fleet) sendRaw(daemon *daemon, request string) int {
	fleet.t.Helper()
	conn, err := net.Dial("tcp", daemon.settings.CallerAddress)
	assert.NilError(fleet.t, err)
	defer func() { _ = conn.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, request)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return -1
	}
	_ = response.Body.Close()
	_ = conn.Close()
	<-written
	return response.StatusCode
}

// dialAndSend opens a connection, writes a request and leaves the connection open.
func (fleet *fleet) dialAndSend(daemon *daemon, request string) net.Conn {
	fleet.t.Helper()
	conn, err := net.Dial("tcp", daemon.settings.CallerAddress)
	assert.NilError(fleet.t, err)
	_, err = io.WriteString(conn, request)
	assert.NilError(fleet.t, err)
	return conn
}

// TestTargetCutsReusedConnection guards against automatic retries of an order when
// the target closes a reused connection after it has received the request.
func TestTargetCutsReusedConnection(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	target := fleet.startTarget(fleet.daemons[1], "bookings")
	fleet.awaitStatus(fleet.daemons[0], "POST", "/bookings/warm", http.StatusOK)
	target.Hook(func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
	url := "http://" + fleet.daemons[0].settings.CallerAddress + "/bookings/cut"
	response := do(t, "POST", url, []byte("{}"), orderHeader(goodSecret, newIdempotencyKey()))
	assert.Equal(t, response.status, http.StatusBadGateway)
	assert.Equal(t, response.outcome, balsamproxy.OutcomeMayHaveRun)
	executionCount := 0
	for _, entry := range target.Requests() {
		if entry.URL == "/bookings/cut" {
			executionCount++
		}
	}
	assert.Equal(t, executionCount, 1)
}

// TestLargeBodies checks that request and response bodies of several sizes pass
// unchanged through two daemons.
func TestLargeBodies(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	target := fleet.startTarget(fleet.daemons[1], "bookings")
	fleet.awaitStatus(fleet.daemons[0], "POST", "/bookings/warm", http.StatusOK)
	target.Hook(func(writer http.ResponseWriter, request *http.Request) { _, _ = io.Copy(writer, request.Body) })
	for _, size := range []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := bytes.Repeat([]byte("b"), size)
			url := "http://" + fleet.daemons[0].settings.CallerAddress + "/bookings/large"
			response := do(t, "POST", url, body, orderHeader(goodSecret, newIdempotencyKey()))
			assert.NilError(t, response.err)
			assert.Equal(t, response.status, http.StatusOK)
			assert.Assert(t, bytes.Equal(response.body, body))
		})
	}
}
