// Package connector provides the HTTP transports and servers of a node, with or
// without TLS. Transports pool a limited number of connections. Servers limit
// connections, header and body sizes, and timeouts. Tests replace Network.
package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("connector")

// Network opens connections and listeners. Both functions must be set.
type Network struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// Limits holds the timeouts and limits of a transport.
type Limits struct {
	// DialTimeout bounds the time to open a connection, including its TLS handshake.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the header of an answer.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// MaxConnectionsPerHost is the largest number of connections to one host.
	MaxConnectionsPerHost int
	// PingInterval, if positive, selects HTTP/2, even without TLS. A connection that receives
	// nothing for this long is pinged. It is closed if the ping is not answered within
	// DialTimeout, so that the next request opens a new one.
	PingInterval time.Duration
	// TLS holds the certificates for https; nil selects the system's authorities.
	TLS *TLS
}

// Liveness configures the detection of dead TCP connections.
type Liveness struct {
	// KeepAlive detects dead connections while no data is sent.
	KeepAlive net.KeepAliveConfig
	// UnacknowledgedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT). Zero selects the system's default.
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
	return Network{
		Dial: dialer.DialContext,
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			return listening.Listen(ctx, "tcp", address)
		},
	}
}

// control sets TCP_USER_TIMEOUT on a socket.
func (l Liveness) control(_, _ string, raw syscall.RawConn) error {
	if l.UnacknowledgedTimeout <= 0 {
		return nil
	}
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.UnacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// dial opens a connection. With HTTP/1, whose answers may end with their connection, it verifies
// the end. With pings it counts the reads, for CloseUnresponsive.
func (n Network) dial(ctx context.Context, network, address string, limits Limits) (net.Conn, error) {
	opened, err := n.Dial(ctx, network, address)
	switch {
	case err != nil:
		return nil, err
	case limits.PingInterval > 0:
		return &readCountingConn{Conn: opened}, nil
	default:
		return VerifyEnd(opened), nil
	}
}

// maxResponseHeaderBytes bounds the header of an answer.
const maxResponseHeaderBytes = 64 << 10

// Transport returns an HTTP transport that connects through the network.
func (n Network) Transport(limits Limits) *Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, limits.DialTimeout)
			defer cancel()
			opened, err := n.dial(ctx, network, address, limits)
			if verified, ok := opened.(*VerifiedConn); ok {
				return newExchangeConn(verified), nil
			}
			return opened, err
		},
		TLSHandshakeTimeout:   limits.DialTimeout,
		ResponseHeaderTimeout: limits.HeaderTimeout,
		IdleConnTimeout:       limits.IdleTimeout,
		MaxConnsPerHost:       limits.MaxConnectionsPerHost,
		MaxIdleConnsPerHost:   limits.MaxConnectionsPerHost,
		DisableCompression:    true,
		Protocols:             new(http.Protocols),
	}
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	transport.Protocols.SetHTTP1(limits.PingInterval <= 0)
	if limits.PingInterval > 0 {
		transport.Protocols.SetHTTP2(true)
		transport.Protocols.SetUnencryptedHTTP2(true)
		transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: limits.PingInterval, PingTimeout: limits.DialTimeout}
	}
	transport.DialTLSContext = n.dialTLS(limits)
	return &Transport{Transport: transport, http2: limits.PingInterval > 0}
}
