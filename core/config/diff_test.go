package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/config"
)

// TestChangesShowNoDigest guards against digests in what operators see, and against
// a new secret, or new limits of callers, that are not reported.
func TestChangesShowNoDigest(t *testing.T) {
	before, after := parsed(t), parsed(t)
	after.ClientAccounts[0].Keys[0].Digest = config.FormatDigest("x")
	after.Callers = &config.CallerLimits{BodyBytes: 7}
	after.Routes[0].ID = "search"
	changes := config.Changes(before, after)
	kinds := []string{}
	for _, change := range changes {
		kinds = append(kinds, change.Entry+" "+string(change.Kind))
	}
	assert.DeepEqual(t, kinds, []string{"callers added", "client-account planner key k1 changed", "route browse removed", "route search added"})
	assert.Assert(t, changes[1].SecretChanged)
	data, err := json.Marshal(changes)
	assert.NilError(t, err)
	text := string(data) + strings.Join(config.Diff(before, after), "\n")
	assert.Assert(t, !strings.Contains(text, "sha256"), text)
	assert.Equal(t, len(config.Changes(after, after)), 0)
}

func parsed(t *testing.T) *config.Document {
	t.Helper()
	document, faults := config.Parse([]byte(validDocument))
	assert.NilError(t, faults.Err())
	return document
}
