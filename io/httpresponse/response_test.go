package httpresponse_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/io/httpresponse"
)

// TestInvalidStatusIsNotWritten guards against a status line that callers cannot
// read or take for an interim response, and against the end of their connection.
func TestInvalidStatusIsNotWritten(t *testing.T) {
	for _, status := range []int{0, -1, 99, 100, 101, 103, 600, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			writer := &httpresponse.Writer{}
			server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
				writer.Write(response, "r1", &balsamproxy.Response{
					Head: balsamproxy.ResponseHead{Status: status, Header: http.Header{"X": {"1"}}, ContentLength: 3},
					Body: io.NopCloser(strings.NewReader("odd")),
				})
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			assert.Equal(t, response.Header.Get(httpresponse.HeaderOutcome), string(balsamproxy.OutcomeMayHaveRun))
		})
	}
}
