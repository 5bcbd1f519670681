package proofs_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/internal/standin/service"
)

// TestRequestThatCrashesTargets guards against one request that crashes every
// target of a service: it is sent repeatedly to all daemons, between requests that
// must succeed, and may crash two targets at most.
func TestRequestThatCrashesTargets(t *testing.T) {
	fleet := newFleet(t, 5)
	fleet.start()
	fleet.awaitRoster()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	var crashed atomic.Int64
	for _, daemon := range fleet.daemons {
		fleet.crashOnPoison(fleet.startTarget(daemon, "venues"), &crashed)
	}
	for _, daemon := range fleet.daemons {
		fleet.awaitStatus(daemon, "GET", "/venues/1", http.StatusOK)
	}
	refused := 0
	for index := range 25 {
		daemon := fleet.daemons[index%len(fleet.daemons)]
		response := fleet.send(daemon, "GET", "/venues/poison")
		assert.Assert(t, response.status != http.StatusOK)
		if response.reason == balsamproxy.ReasonRequestCrashedTargets {
			refused++
		}
		assert.Equal(t, fleet.send(daemon, "GET", "/venues/good").status, http.StatusOK)
	}
	assert.Assert(t, crashed.Load() <= 2, "%d targets crashed, at most 2 allowed", crashed.Load())
	assert.Assert(t, refused > 20, "%d of 25 requests refused, more than 20 expected", refused)
}

// crashOnPoison makes a target crash on requests whose path ends with /poison.
func (fleet *fleet) crashOnPoison(target *service.Server, crashed *atomic.Int64) {
	target.Hook(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasSuffix(request.URL.Path, "/poison") {
			crashed.Add(1)
			target.Crash()
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(http.StatusOK)
	})
}

// TestRestartBlamesNobody guards against false suspicion: a target crashes while it
// handles many identical requests that did not cause the crash. All of them must
// be served by another target, and later ones must not be refused.
func TestRestartBlamesNobody(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet.start()
	fleet.awaitRoster()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	victim := fleet.startTarget(fleet.daemons[1], "venues")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	fleet.awaitStatus(fleet.daemons[2], "GET", "/venues/1", http.StatusOK)
	arrived := make(chan struct{}, 10)
	victim.Hook(func(_ http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		<-request.Context().Done()
	})
	results := make(chan clientResponse, 10)
	for range cap(results) {
		go func() { results <- fleet.send(fleet.daemons[0], "GET", "/venues/same") }()
	}
	for range cap(results) {
		<-arrived
	}
	fleet.startTarget(fleet.daemons[2], "venues")
	fleet.startTarget(fleet.daemons[2], "bookings")
	fleet.awaitStatus(fleet.daemons[0], "POST", "/bookings/known", http.StatusOK)
	victim.Crash()
	for range cap(results) {
		response := <-results
		assert.Equal(t, response.status, http.StatusOK, string(response.body))
	}
	assert.Equal(t, fleet.send(fleet.daemons[0], "GET", "/venues/same").status, http.StatusOK)
}
