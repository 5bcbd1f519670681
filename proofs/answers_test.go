package proofs_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/internal/standin/service"
)

// TestBrokenAnswers guards against truncated responses that look complete. Targets
// abort their responses at several lengths, and the caller must get an error.
func TestBrokenAnswers(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	target := fleet.startTarget(fleet.daemons[1], "venues")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	const length = 300 << 10
	for _, chunked := range []bool{true, false} {
		for _, sent := range []int{0, 10, 20 << 10, 200 << 10} {
			t.Run(fmt.Sprintf("chunked %t, %d bytes", chunked, sent), func(t *testing.T) {
				target.Hook(func(writer http.ResponseWriter, _ *http.Request) {
					if !chunked {
						writer.Header().Set("Content-Length", strconv.Itoa(length))
					}
					writer.WriteHeader(http.StatusOK)
					_, _ = writer.Write(make([]byte, sent))
					_ = http.NewResponseController(writer).Flush()
					panic(http.ErrAbortHandler)
				})
				response := fleet.send(fleet.daemons[0], "GET", "/venues/broken")
				assert.Assert(t, response.err != nil || response.status == http.StatusBadGateway, "status %d, %d bytes", response.status, len(response.body))
			})
		}
	}
}

// TestRetriesBounded guards against retry amplification in nested calls. All
// targets of a nested service fail, and the retries for one client request must
// stay within its limit over the whole call graph.
func TestRetriesBounded(t *testing.T) {
	fleet := newFleet(t, 6)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	venues := []*service.Server{}
	lofts := []*service.Server{}
	for _, daemon := range fleet.daemons {
		lofts = append(lofts, fleet.startTarget(daemon, "lofts"))
		venues = append(venues, fleet.startTarget(daemon, "venues", "lofts"))
	}
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
	}
	for _, target := range lofts {
		target.Hook(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	const limit = 3
	for index := range 12 {
		before := requestCount(venues) + requestCount(lofts)
		path := fmt.Sprintf("/venues/bounded-%d", index)
		response := fleet.send(fleet.daemons[index%6], "GET", path)
		assert.Equal(t, response.status, http.StatusBadGateway, string(response.body))
		attempts := requestCount(venues) + requestCount(lofts) - before
		assert.Assert(t, attempts <= 2+limit, "%d attempts", attempts)
		assert.Assert(t, attempts > 2, "no call was retried")
	}
}

func requestCount(targets []*service.Server) int {
	count := 0
	for _, target := range targets {
		count += len(target.Requests())
	}
	return count
}

// TestNestedOrderIsNotRepeated guards against retries of a nested call on behalf of
// an order: the called service aborts, and must not receive the call twice.
func TestNestedOrderIsNotRepeated(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	lofts := fleet.startTarget(fleet.daemons[0], "lofts")
	fleet.startTarget(fleet.daemons[1], "lofts")
	fleet.startTarget(fleet.daemons[1], "bookings", "lofts")
	fleet.awaitStatus(fleet.daemons[0], "POST", "/bookings/warm", http.StatusOK)
	lofts.Hook(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for index := range 10 {
		name := fmt.Sprintf("nested-%d", index)
		response := fleet.sendOrder(fleet.daemons[0], name, newIdempotencyKey())
		assert.Assert(t, executionCount(lofts, name) <= 1, "%d %s", response.status, response.body)
	}
}
