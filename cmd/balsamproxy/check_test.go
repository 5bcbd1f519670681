package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/config"
	"balsamproxy/platform/platformtest"
)

const ownDocument = `{"client-accounts": [{"id": "planner", "rate": 10, "burst": 20, "keys": [{"id": "k1", "digest": "sha256:0000000000000000000000000000000000000000000000000000000000000000"}]}],
"routes": [{"id": "browse", "service": "venues", "methods": ["GET"], "path": "/venues/", "access": "keyed", "priority": 2, "idempotent": true, "deadline-ms": 500}]}`

// check runs config check on a document.
func check(t *testing.T, document string, flags ...string) (status exitStatus, output, problems string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	arguments := append([]string{"config", "check", "-"}, flags...)
	status = run(t.Context(), arguments, nil, strings.NewReader(document), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// TestCheck guards against an exit status that tells a script to send a bad document
// or to hold back one with warnings only, and against findings at a wrong place.
func TestCheck(t *testing.T) {
	own := func(old, replacement string) string { return strings.Replace(ownDocument, old, replacement, 1) }
	other := func(old, replacement string) string {
		return strings.Replace(platformtest.Document, old, replacement, 1)
	}
	cases := map[string]struct {
		document, format string
		want             exitStatus
		// findings are the findings as severity and pointer.
		findings []string
	}{
		"good":                        {ownDocument, "own", exitOK, nil},
		"warning":                     {own("500", `500, "objective-ms": 501`), "own", exitOK, []string{"warning /routes/0/objective-ms"}},
		"error":                       {own("500", "0"), "own", exitInvalid, []string{"error /routes/0/deadline-ms"}},
		"no JSON":                     {"{", "own", exitInvalid, []string{"error "}},
		"other format":                {platformtest.Document, "own", exitInvalid, []string{"error /limits", "error /routes", "error /tenants", "error /version"}},
		"platform, good":              {platformtest.Document, "platform", exitOK, nil},
		"platform, objective":         {other(`"2s", 0`, `"6s", 0`), "platform", exitOK, []string{"warning /routes/rows/1"}},
		"platform, hidden route":      {other(`"/order/"`, `"/look/"`), "platform", exitOK, []string{"warning /routes/rows/1"}},
		"platform, no burst":          {other(`1000, 1000`, `1000, 0.5`), "platform", exitInvalid, []string{"error /tenants/rows/0"}},
		"platform, rate below one":    {other(`1000, 1000`, `0.5, 1000`), "platform", exitOK, []string{"warning /tenants/rows/0"}},
		"platform, idle below header": {other(`"15s"`, `"1s"`), "platform", exitOK, []string{"warning /limits/idleTimeout"}},
		"platform, odd duration":      {other(`"15s"`, `"1 day"`), "platform", exitInvalid, []string{"error "}},
		"platform, own format":        {ownDocument, "platform", exitInvalid, []string{"error "}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, output, problems := check(t, test.document, "--format", test.format, "--json")
			assert.Equal(t, status, test.want, problems)
			var result checkResult
			assert.NilError(t, json.Unmarshal([]byte(output), &result))
			assert.Equal(t, result.Valid, test.want == exitOK)
			got := []string{}
			for _, finding := range result.Findings {
				got = append(got, string(finding.Severity)+" "+finding.Pointer)
			}
			assert.DeepEqual(t, got, append([]string{}, test.findings...))
			status, output, problems = check(t, test.document, "--format", test.format)
			assert.Equal(t, status, test.want)
			for _, finding := range result.Findings {
				assert.Assert(t, strings.Contains(output+problems, finding.String()), output+problems)
			}
		})
	}
}

// TestCheckAgainstVersionInForce guards against differences that are missing or show
// secrets, and against a source that never ends or gets a token meant for another.
func TestCheckAgainstVersionInForce(t *testing.T) {
	t.Setenv(tokenEnvVar, "operators-token")
	file := func(content string) string {
		name := filepath.Join(t.TempDir(), "in-force.json")
		assert.NilError(t, os.WriteFile(name, []byte(content), 0o600))
		return name
	}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token := request.Header.Get("Authorization")
		switch request.URL.Path {
		case "/balsamproxy/v1/config":
			if token == "Bearer operators-token" {
				_, _ = fmt.Fprintf(writer, `{"revision": 7, "document": %s}`, ownDocument)
			}
		case "/document":
			if token == "" {
				_, _ = io.WriteString(writer, ownDocument)
			}
		case "/long":
			_, _ = writer.Write(bytes.Repeat([]byte(" "), inForceMaxBytes+1))
		default:
			http.NotFound(writer, request)
		}
	}))
	defer server.Close()
	changed := strings.NewReplacer(`"rate": 10`, `"rate": 11`, `:0000`, `:1111`, `"browse"`, `"search"`).Replace(ownDocument)
	cases := map[string]struct {
		document, inForce, format string
		want                      exitStatus
		differences               []string
	}{
		"same":              {ownDocument, file(ownDocument), "own", exitOK, nil},
		"file":              {changed, file(ownDocument), "own", exitOK, []string{"client-account planner changed", "client-account planner key k1 changed", "route browse removed", "route search added"}},
		"operators' API":    {strings.Replace(ownDocument, "500", "600", 1), server.URL + "/balsamproxy/v1/config", "own", exitOK, []string{"route browse changed"}},
		"URL":               {strings.Replace(ownDocument, "500", "600", 1), server.URL + "/document", "own", exitOK, []string{"route browse changed"}},
		"platform":          {strings.NewReplacer("16384", "8192", "secret-1", "secret-2").Replace(platformtest.Document), file(platformtest.Document), "platform", exitOK, []string{"callers changed", "client-account t1 key 0 changed"}},
		"no such file":      {ownDocument, "/nowhere", "own", exitInvalid, nil},
		"no document there": {ownDocument, file("<html>"), "own", exitInvalid, nil},
		"too long":          {ownDocument, server.URL + "/long", "own", exitFailed, nil},
		"not found":         {ownDocument, server.URL + "/nowhere", "own", exitFailed, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, output, problems := check(t, test.document, "--format", test.format, "--json", "--in-force", test.inForce)
			assert.Equal(t, status, test.want, problems)
			if test.want != exitOK {
				return
			}
			var result struct{ Differences []config.Change }
			assert.NilError(t, json.Unmarshal([]byte(output), &result))
			got := []string{}
			for _, change := range result.Differences {
				got = append(got, change.Entry+" "+string(change.Kind))
			}
			assert.DeepEqual(t, got, append([]string{}, test.differences...))
			_, text, _ := check(t, test.document, "--format", test.format, "--in-force", test.inForce)
			assert.Assert(t, !strings.Contains(output+text, "sha256:"), output+text)
		})
	}
}
