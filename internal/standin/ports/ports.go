// Package ports finds free loopback ports for tests and the demo.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The range lies below the ephemeral ports of the system, so that no outgoing
// connection takes a port between Free and its use.
const (
	firstPort = 10_000
	portCount = 22_000
	// processStride separates the ports of processes with successive ids. A port
	// whose daemon is down looks free to other processes.
	processStride = 1009
)

var next atomic.Int64

// ErrNoFreePort means that no port in the range is free.
var ErrNoFreePort = errors.New("ports: no free port")

// Free returns a loopback address with a port that was free when checked and
// that it has not returned to this process before.
func Free() (string, error) {
	for range portCount {
		offset := (int64(os.Getpid())*processStride + next.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", ErrNoFreePort
}
