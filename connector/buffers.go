package connector

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitBuffers bounds the buffers of a connection, or of those that a listener accepts. The
// receive buffer has a fixed size. The send buffer is bounded by what has not been sent: a fixed
// small size delays large answers by hundreds of milliseconds where segments are larger than it,
// as on loopback. It does nothing for sockets that are not the system's, or for zero bytes.
func limitBuffers(socket any, bytes int) {
	connection, ok := socket.(syscall.Conn)
	if !ok || bytes <= 0 {
		return
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	// A socket that refuses an option keeps the system's sizes and works.
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}

// minPending is the least number of connections that wait to be accepted, which a burst of
// callers or other nodes may need while the process has no processor time.
const minPending = 64

// limitPending bounds the connections that wait to be accepted by a listener with limited buffers
// to half of those that it may have: the kernel holds what their clients send. Further clients
// connect a second later. The system's own bound is some thousands.
func limitPending(listener net.Listener, limits ServerLimits) {
	connection, ok := listener.(syscall.Conn)
	if !ok || limits.BufferBytes <= 0 {
		return
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = unix.Listen(int(descriptor), max(minPending, limits.MaxConnections/2)) })
}

// WithBuffers returns a network whose outgoing connections have buffers in the kernel of at most
// so many bytes in each direction.
func (n Network) WithBuffers(bytes int) Network {
	dial := n.Dial
	n.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err == nil {
			limitBuffers(opened, bytes)
		}
		return opened, err
	}
	return n
}
