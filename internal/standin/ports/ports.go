// Package ports finds free loopback addresses for processes of tests and of
// the demo.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below those that the system gives to outgoing connections, so
// that a port which is free now is not taken by one of them.
const (
	first = 10_000
	count = 20_000
	// stride keeps processes that start one after another apart.
	stride = 97
)

var next atomic.Int64

// ErrNoFreePort says that no port is free.
var ErrNoFreePort = errors.New("ports: none is free")

// Free returns a loopback address that was free a moment ago and that this
// process has not got before.
func Free() (string, error) {
	for range count {
		offset := (int64(os.Getpid())*stride + next.Add(1)) % count
		address := fmt.Sprintf("127.0.0.1:%d", first+offset)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", ErrNoFreePort
}
