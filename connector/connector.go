// Package connector provides the HTTP transports and servers of a node, with or
// without TLS. Transports pool a limited number of connections. Servers limit
// connections, header and body sizes, and timeouts. Tests replace Network.
package connector

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
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
