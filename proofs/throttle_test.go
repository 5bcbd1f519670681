package proofs_test

import (
	"net/http"
	"testing"

	"balsamproxy"
	"balsamproxy/io/httpresponse"
)

// TestRequestsWhoseCallsHangAreShed guards against work spent on requests that
// time out because a service behind their target does not answer.
func TestRequestsWhoseCallsHangAreShed(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	fleet.startTarget(fleet.daemons[0], "venues", "lofts")
	lofts := fleet.startTarget(fleet.daemons[1], "lofts")
	fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	lofts.Hook(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	header := bearerHeader(goodSecret)
	header.Set(httpresponse.HeaderTimeout, "100")
	url := fleet.scheme + "://" + fleet.daemons[0].settings.CallerAddress + "/venues/1"
	fleet.await(func() (bool, string) {
		response := doWith(t.Context(), fleet.client, "GET", url, nil, header)
		shed := response.reason == balsamproxy.ReasonDeepServiceOverloaded && response.outcome == balsamproxy.OutcomeNotRun
		return shed, string(response.reason)
	})
	lofts.Hook(nil)
	for served := 0; served < 50; served++ {
		fleet.awaitStatus(fleet.daemons[0], "GET", "/venues/1", http.StatusOK)
	}
}
