package proofs_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/internal/standin/service"
)

// TestBrokenAnswers lets targets break off their answers. The caller must get
// an error, never a part that looks whole.
func TestBrokenAnswers(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.apply(fleet.daemons[0], document(goodSecret))
	target := fleet.target(fleet.daemons[1], "venues")
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
				answered := fleet.ask(fleet.daemons[0], "GET", "/venues/broken")
				assert.Assert(t, answered.err != nil || answered.status == http.StatusBadGateway, "status %d, %d bytes", answered.status, len(answered.body))
			})
		}
	}
}

// TestRetriesBounded lets all targets of a service fail. The extra attempts of
// one customer request stay within its limit over the whole call graph.
func TestRetriesBounded(t *testing.T) {
	fleet := newFleet(t, 6)
	fleet.start()
	fleet.apply(fleet.daemons[0], document(goodSecret))
	venues := []*service.Server{}
	lofts := []*service.Server{}
	for _, daemon := range fleet.daemons {
		lofts = append(lofts, fleet.target(daemon, "lofts"))
		venues = append(venues, fleet.target(daemon, "venues", "lofts"))
	}
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
	}
	for _, target := range lofts {
		target.Hook(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	const limit = 3
	for index := range 12 {
		before := total(venues) + total(lofts)
		path := fmt.Sprintf("/venues/bounded-%d", index)
		answered := fleet.ask(fleet.daemons[index%6], "GET", path)
		assert.Equal(t, answered.status, http.StatusBadGateway, string(answered.body))
		attempts := total(venues) + total(lofts) - before
		assert.Assert(t, attempts <= 2+limit, "%d attempts", attempts)
		assert.Assert(t, attempts > 2, "no call was tried again")
	}
}

func total(targets []*service.Server) int {
	count := 0
	for _, target := range targets {
		count += len(target.Requests())
	}
	return count
}

// TestNestedOrderIsNotRepeated lets a service that an order calls break off.
func TestNestedOrderIsNotRepeated(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.apply(fleet.daemons[0], document(goodSecret))
	lofts := fleet.target(fleet.daemons[0], "lofts")
	fleet.target(fleet.daemons[1], "lofts")
	fleet.target(fleet.daemons[1], "bookings", "lofts")
	fleet.awaitStatus(fleet.daemons[0], "POST", "/bookings/warm", http.StatusOK)
	lofts.Hook(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for index := range 10 {
		name := fmt.Sprintf("nested-%d", index)
		answered := fleet.order(fleet.daemons[0], name, newKey())
		assert.Assert(t, runs(lofts, name) <= 1, "%d %s", answered.status, answered.body)
	}
}
