package proofs_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/io/httpresponse"
)

// TestEndlessAnswers guards against targets that send a head or a body without
// end and so use up the memory of the daemon or outlast the caller's deadline.
func TestEndlessAnswers(t *testing.T) {
	const memoryTargetMB, deadline, margin = 256, time.Second, time.Second
	long := strings.Repeat("x", 64<<10)
	cases := map[string]struct{ start, part string }{
		"status line":            {"HTTP/1.1 200 ", long},
		"header line":            {"HTTP/1.1 200 OK\r\nX-Long: ", long},
		"interim responses":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of unknown length": {"HTTP/1.1 200 OK\r\n\r\n", long},
		"chunked body":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n"},
	}
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	target := fleet.startTarget(fleet.daemons[1], "venues")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			target.Hook(func(writer http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				for _, err = io.WriteString(conn, test.start); err == nil; {
					_, err = io.WriteString(conn, test.part)
				}
			})
			var callers sync.WaitGroup
			for range 6 {
				callers.Go(func() {
					begin := time.Now()
					assert.Check(t, !fleet.getsWholeBody(t, deadline), "an endless body looked complete")
					assert.Check(t, time.Since(begin) < deadline+margin, "held beyond the deadline")
				})
			}
			callers.Wait()
			for _, daemon := range fleet.daemons {
				used := residentMegabytes(t, daemon.process.Process.Pid)
				assert.Check(t, used <= memoryTargetMB, "%s uses %.0f MB", daemon.settings.Host, used)
			}
		})
	}
}

// getsWholeBody sends a request and reports whether it is answered with status
// 200 and a complete body.
func (fleet *fleet) getsWholeBody(t *testing.T, deadline time.Duration) bool {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+fleet.daemons[0].settings.CallerAddress+"/venues/1", http.NoBody)
	assert.Check(t, err)
	request.Header = bearerHeader(goodSecret)
	request.Header.Set(httpresponse.HeaderTimeout, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
