// Package proofs holds the end-to-end tests. They run daemons as separate
// processes and inject faults: SIGKILL, SIGSTOP, closed connections and store
// outages. docs/PROOFS.md lists them.
package proofs
