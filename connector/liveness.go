package connector

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Liveness configures the detection of dead TCP connections.
type Liveness struct {
	// KeepAlive detects dead connections while no data is sent.
	KeepAlive net.KeepAliveConfig
	// UnacknowledgedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT). Zero selects the system's default. A peer whose
	// receive window is closed counts as dead only if it leaves the probes of the window
	// unacknowledged for about as long: one that reads slowly lives.
	UnacknowledgedTimeout time.Duration
}

// defaultLiveness sends few probes: connections rarely die unnoticed.
var defaultLiveness = Liveness{
	KeepAlive: net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3},
}

// NewNetwork returns the network of the operating system.
func NewNetwork() Network {
	return NewNetworkWithLiveness(defaultLiveness)
}

// NewNetworkWithLiveness returns the network of the operating system with the given
// detection of dead connections.
func NewNetworkWithLiveness(liveness Liveness) Network {
	control := liveness.control
	dialer := &net.Dialer{KeepAliveConfig: liveness.KeepAlive, Control: control}
	listening := net.ListenConfig{KeepAliveConfig: liveness.KeepAlive, Control: control}
	network := Network{
		Dial: dialer.DialContext,
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			return listening.Listen(ctx, "tcp", address)
		},
	}
	if liveness.UnacknowledgedTimeout <= 0 {
		return network
	}
	return newWindowWatch(liveness).network(network)
}

// control sets TCP_USER_TIMEOUT on a socket.
func (l Liveness) control(_, _ string, raw syscall.RawConn) error {
	if l.UnacknowledgedTimeout <= 0 {
		return nil
	}
	return setUserTimeout(raw, l.UnacknowledgedTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
