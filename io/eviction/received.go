package eviction

import (
	"net"
	"syscall"
)

// HasReceived reports whether the kernel has received bytes of a connection that have not
// been read. A daemon that lacks processor time may not have noticed a request yet.
func HasReceived(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	received := 0
	err = raw.Control(func(descriptor uintptr) {
		received, _, _ = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && received > 0
}
