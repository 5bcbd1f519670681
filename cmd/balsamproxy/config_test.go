package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestApplyStatus checks the exit status of config apply for the responses of a
// daemon. A script must not take it for "nothing was stored" when the daemon
// responded with success but the body broke off.
func TestApplyStatus(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   exitStatus
	}{
		"accepted":                    {http.StatusOK, `{"status":"accepted","revision":7}`, exitOK},
		"stored, not yet everywhere":  {http.StatusOK, `{"status":"pending","revision":7,"missing":["h2"]}`, exitOutcomeUnknown},
		"body of a proxy":             {http.StatusOK, "<html>", exitOutcomeUnknown},
		"empty body":                  {http.StatusOK, "", exitOutcomeUnknown},
		"other revision":              {http.StatusConflict, `{"problem":"conflict"}`, exitConflict},
		"invalid document":            {http.StatusUnprocessableEntity, `{"problem":"invalid"}`, exitInvalid},
		"outcome unknown":             {http.StatusBadGateway, `{"problem":"lost"}`, exitOutcomeUnknown},
		"failure without explanation": {http.StatusInternalServerError, "", exitFailed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_, _ = io.WriteString(writer, test.body)
			}))
			defer server.Close()
			var output, problems bytes.Buffer
			status := run(t.Context(), []string{"config", "apply", "--daemon", server.URL, "--revision", "6", "-"}, nil,
				strings.NewReader("{}"), &output, &problems)
			assert.Equal(t, status, test.want, problems.String())
		})
	}
}
