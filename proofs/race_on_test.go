//go:build race

package proofs_test

// buildFlags are passed to go build for the daemon, so that the daemon runs with
// the race detector if the tests do.
var buildFlags = []string{"-race"}
