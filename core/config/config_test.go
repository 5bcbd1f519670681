package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy/core/config"
)

const digest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

const validDocument = `{
  "client-accounts": [
    {"id": "planner", "rate": 10, "burst": 20, "keys": [{"id": "k1", "digest": "` + digest + `"}]}
  ],
  "routes": [
    {"id": "browse", "service": "venues", "methods": ["GET"], "path": "/venues/", "access": "keyed",
     "priority": 2, "idempotent": true, "deadline-ms": 500}
  ]
}`

func TestParse(t *testing.T) {
	replace := func(old, replacement string) string { return strings.Replace(validDocument, old, replacement, 1) }
	cases := map[string]struct {
		document string
		faults   []string
	}{
		"valid":                   {validDocument, nil},
		"not JSON":                {"{", []string{""}},
		"trailing data":           {validDocument + "{}", []string{""}},
		"unknown field":           {replace(`"rate"`, `"rat"`), []string{"/client-accounts/0/rat"}},
		"duplicate field":         {replace(`"rate": 10`, `"rate": 10, "rate": 11`), []string{"/client-accounts/0/rate"}},
		"wrong type":              {replace(`"rate": 10`, `"rate": "10"`), []string{"/client-accounts/0/rate"}},
		"fraction":                {replace(`"rate": 10`, `"rate": 1.5`), []string{"/client-accounts/0/rate"}},
		"negative rate":           {replace(`"rate": 10`, `"rate": -1`), []string{"/client-accounts/0/rate"}},
		"zero burst":              {replace(`"burst": 20`, `"burst": 0`), []string{"/client-accounts/0/burst"}},
		"invalid name":            {replace(`"planner"`, `"Planner!"`), []string{"/client-accounts/0/id"}},
		"invalid digest":          {replace(digest, "sha256:12"), []string{"/client-accounts/0/keys/0/digest"}},
		"invalid expiry time":     {replace(`"k1",`, `"k1", "not-after": "tomorrow",`), []string{"/client-accounts/0/keys/0/not-after"}},
		"unknown method":          {replace(`"GET"`, `"GRAB"`), []string{"/routes/0/methods/0"}},
		"no method":               {replace(`["GET"]`, `[]`), []string{"/routes/0/methods"}},
		"duplicate method":        {replace(`["GET"]`, `["GET", "GET"]`), []string{"/routes/0/methods/1"}},
		"path without slash":      {replace(`"/venues/"`, `"venues/"`), []string{"/routes/0/path"}},
		"path with dot segment":   {replace(`"/venues/"`, `"/../venues/"`), []string{"/routes/0/path"}},
		"unknown access":          {replace(`"keyed"`, `"all"`), []string{"/routes/0/access"}},
		"priority too high":       {replace(`"priority": 2`, `"priority": 10`), []string{"/routes/0/priority"}},
		"priority overflows type": {replace(`"priority": 2`, `"priority": 300`), []string{"/routes/0/priority"}},
		"zero deadline":           {replace(`500`, `0`), []string{"/routes/0/deadline-ms"}},
		"too many retries":        {replace(`500`, `500, "retry-limit": 99`), []string{"/routes/0/retry-limit"}},
		"all faults are listed": {
			strings.NewReplacer(`"rate": 10`, `"rate": -1`, `"keyed"`, `"all"`, `500`, `0`).Replace(validDocument),
			[]string{"/client-accounts/0/rate", "/routes/0/access", "/routes/0/deadline-ms"},
		},
		"nested too deep": {strings.Repeat("[", 100), []string{""}},
		"too large":       {validDocument + strings.Repeat(" ", 1<<20), []string{""}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			document, faults := config.Parse([]byte(test.document))
			pointers := []string{}
			for _, fault := range faults {
				pointers = append(pointers, fault.Pointer)
			}
			assert.DeepEqual(t, pointers, append([]string{}, test.faults...))
			assert.Equal(t, document != nil, len(test.faults) == 0)
		})
	}
}

func TestAccountBySecret(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	secret := config.NewSecret([config.SecretBytes]byte{1})
	cases := map[string]struct {
		secret, notAfter string
		found            bool
	}{
		"valid key":                {secret, "", true},
		"key not yet expired":      {secret, "2026-12-04T12:00:01Z", true},
		"expired key":              {secret, "2026-12-04T11:59:59Z", false},
		"unknown key":              {config.NewSecret([config.SecretBytes]byte{2}), "", false},
		"empty secret":             {"", "", false},
		"digest instead of secret": {config.FormatDigest(secret), "", false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			document := &config.Document{ClientAccounts: []config.ClientAccount{{
				ID: "planner", Keys: []config.Key{{ID: "k", Digest: config.FormatDigest(secret), NotAfter: test.notAfter}},
			}}}
			_, found := config.NewIndex(document, 1).AccountBySecret(test.secret, now)
			assert.Equal(t, found, test.found)
		})
	}
}

// TestUpdateIgnoresOlderRevisions guards against a daemon going back to an older
// configuration when revisions arrive out of order or twice.
func TestUpdateIgnoresOlderRevisions(t *testing.T) {
	current := &config.Current{}
	assert.Assert(t, current.Update(config.NewIndex(&config.Document{}, 7)))
	assert.Assert(t, !current.Update(config.NewIndex(&config.Document{}, 7)))
	assert.Assert(t, !current.Update(config.NewIndex(&config.Document{}, 6)))
	assert.Assert(t, current.Update(config.NewIndex(&config.Document{}, 8)))
	assert.Equal(t, current.Index().Revision().String(), "8")
}

// FuzzParse checks that an accepted document is accepted again after it has been
// encoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"routes":null}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, faults := config.Parse(data)
		if len(faults) > 0 {
			return
		}
		encoded, err := json.Marshal(document)
		assert.NilError(t, err)
		_, faults = config.Parse(encoded)
		assert.NilError(t, faults.Err())
	})
}

func ExampleDiff() {
	before := &config.Document{ClientAccounts: []config.ClientAccount{{ID: "planner", Rate: 1, Burst: 1}}}
	after := &config.Document{ClientAccounts: []config.ClientAccount{{ID: "planner", Rate: 2, Burst: 1}}}
	for _, line := range config.Diff(before, after) {
		fmt.Println(line)
	}
	// Output:
	// client-account planner ~ {"id":"planner","rate":1,"burst":1,"keys":null} -> {"id":"planner","rate":2,"burst":1,"keys":null}
}

func ExampleFormatDigest() {
	secret := config.NewSecret([config.SecretBytes]byte{})
	fmt.Println(len(secret), len(config.FormatDigest(secret)))
	// Output: 47 71
}

// TestCurrentKnowsTheOneBefore guards against a daemon that rejects an operator's
// edit as conflicting but cannot report what changed, because the revision that
// the operator saw has just been replaced.
func TestCurrentKnowsTheOneBefore(t *testing.T) {
	current := &config.Current{}
	assert.Assert(t, current.AtRevision(1) == nil)
	first := config.NewIndex(&config.Document{}, 1)
	second := config.NewIndex(&config.Document{}, 5)
	assert.Assert(t, current.Update(first))
	assert.Assert(t, current.Update(second))
	assert.Assert(t, current.AtRevision(1) == first)
	assert.Assert(t, current.AtRevision(5) == second)
	assert.Assert(t, current.AtRevision(3) == nil)
}
