// Package balsamproxy defines the shared types of an overload control layer for
// service call graphs: the interfaces between its components, the named types
// for ids and units, and the records that its processes exchange.
//
// The package contains no logic of its own. Decision logic is in the packages
// below balsamproxy/core, which perform no I/O and have no side effects.
// Goroutines, sockets and clocks are in the packages below balsamproxy/io, each
// named after the peer or protocol that it communicates with. Package daemon
// wires them into one process.
package balsamproxy
