package peer

import (
	"context"
	"errors"
	"net"
)

// handshakeBytesMax bounds what is read of the response to a handshake. Its parser has
// no limit of its own, and the address may meanwhile belong to another server.
const handshakeBytesMax = 64 << 10

var errHandshakeTooLong = errors.New("peer: the response to the handshake is too long")

// handshakeConn is a connection that fails reads after handshakeBytesMax bytes until
// its handshake is done.
type handshakeConn struct {
	net.Conn
	left int
	done bool
}

// Read implements net.Conn.
func (conn *handshakeConn) Read(buffer []byte) (int, error) {
	if conn.done {
		return conn.Conn.Read(buffer)
	}
	if conn.left <= 0 {
		return 0, errHandshakeTooLong
	}
	count, err := conn.Conn.Read(buffer[:min(len(buffer), conn.left)])
	conn.left -= count
	return count, err
}

// limitHandshake returns a dial function whose connections are bounded until finish is
// called. It serves one dial.
func limitHandshake(dialer *net.Dialer) (dial func(ctx context.Context, network, address string) (net.Conn, error), finish func()) {
	var dialled *handshakeConn
	dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		dialled = &handshakeConn{Conn: conn, left: handshakeBytesMax}
		return dialled, nil
	}
	finish = func() {
		if dialled != nil {
			dialled.done = true
		}
	}
	return dial, finish
}
