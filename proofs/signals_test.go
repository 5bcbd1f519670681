package proofs_test

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSignalsDoNotEndDaemons guards against a SIGHUP or SIGPIPE that ends a daemon at
// once, so that the requests in progress get no answer: no handler was registered.
func TestSignalsDoNotEndDaemons(t *testing.T) {
	fleet := newFleet(t, 1)
	fleet.start()
	daemon := fleet.daemons[0]
	fleet.applyConfig(daemon, document(goodSecret))
	fleet.awaitReady(daemon)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGTERM} {
		daemon.signal(t, signal)
	}
	assert.NilError(t, daemon.wait())
}
