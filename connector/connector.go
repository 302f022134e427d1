// Package connector makes the connections of a node: HTTP transports with
// bounded, kept connections, and HTTP servers whose connections, headers,
// bodies and waits are bounded, with or without TLS. Tests replace the network
// below it.
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

// Network opens connections. The zero functions are never called: NewNetwork
// and tests fill both.
type Network struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// Limits bounds the connections of one transport.
type Limits struct {
	// Dial bounds the time to open a connection, with its TLS handshake.
	Dial time.Duration
	// Header bounds the wait for an answer's header.
	Header time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// PerHost is the largest number of connections to one host.
	PerHost int
	// Ping, when positive, makes the transport speak HTTP/2, also without TLS,
	// and ping a connection that has received nothing for so long. A connection
	// that does not answer within Dial is closed, so that the next request opens
	// a new one.
	Ping time.Duration
	// TLS holds the certificates for https; nil uses the system's authorities.
	TLS *TLS
}

// Liveness is how dead TCP connections are found.
type Liveness struct {
	// KeepAlive finds those that nothing is being sent on.
	KeepAlive net.KeepAliveConfig
	// Unacknowledged is how long sent bytes may go without acknowledgement before
	// the connection is given up; zero leaves it to the operating system.
	Unacknowledged time.Duration
}

// defaultLiveness spares networks on which connections seldom die unnoticed.
var defaultLiveness = Liveness{
	KeepAlive: net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3},
}

// NewNetwork returns the network of the operating system.
func NewNetwork() Network {
	return NewLiveNetwork(defaultLiveness)
}

// NewLiveNetwork returns the network of the operating system, with its own way to
// find dead connections.
func NewLiveNetwork(liveness Liveness) Network {
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

// control bounds how long sent bytes may go without acknowledgement.
func (l Liveness) control(_, _ string, raw syscall.RawConn) error {
	if l.Unacknowledged <= 0 {
		return nil
	}
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacknowledged.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// dial opens a connection; one that is pinged notes when it hears something.
func (n Network) dial(ctx context.Context, network, address string, limits Limits) (net.Conn, error) {
	opened, err := n.Dial(ctx, network, address)
	if err != nil || limits.Ping <= 0 {
		return opened, err
	}
	return &heardConn{Conn: opened}, nil
}

// Transport returns an HTTP transport over the network.
func (n Network) Transport(limits Limits) *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, limits.Dial)
			defer cancel()
			return n.dial(ctx, network, address, limits)
		},
		TLSHandshakeTimeout:   limits.Dial,
		ResponseHeaderTimeout: limits.Header,
		IdleConnTimeout:       limits.Idle,
		MaxConnsPerHost:       limits.PerHost,
		MaxIdleConnsPerHost:   limits.PerHost,
		DisableCompression:    true,
		Protocols:             new(http.Protocols),
	}
	transport.Protocols.SetHTTP1(limits.Ping <= 0)
	if limits.Ping > 0 {
		transport.Protocols.SetHTTP2(true)
		transport.Protocols.SetUnencryptedHTTP2(true)
		transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: limits.Ping, PingTimeout: limits.Dial}
	}
	if limits.TLS != nil {
		transport.DialTLSContext = n.dialTLS(limits)
	}
	return transport
}
