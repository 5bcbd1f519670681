package evidence_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/evidence"
)

func TestReaderOrderIsDeterministic(t *testing.T) {
	hosts := []balsamproxy.HostID{"a", "b", "c", "d"}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	assert.DeepEqual(t, evidence.ReaderOrder(hosts), evidence.ReaderOrder(reversed))
	assert.Equal(t, len(evidence.ReaderOrder(nil)), 0)
}
