// Package connector makes the connections of a node: HTTP transports with
// bounded, kept connections, and listeners. Tests replace the network below it.
package connector

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network opens connections. The zero functions are never called: NewNetwork
// and tests fill both.
type Network struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// Limits bounds the connections of one transport.
type Limits struct {
	// Dial bounds the time to open a connection.
	Dial time.Duration
	// Header bounds the wait for an answer's header.
	Header time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// PerHost is the largest number of connections to one host.
	PerHost int
}

// NewNetwork returns the network of the operating system.
func NewNetwork() Network {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	var listening net.ListenConfig
	return Network{
		Dial: dialer.DialContext,
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			return listening.Listen(ctx, "tcp", address)
		},
	}
}

// Transport returns an HTTP transport over the network.
func (n Network) Transport(limits Limits) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, limits.Dial)
			defer cancel()
			return n.Dial(ctx, network, address)
		},
		ResponseHeaderTimeout: limits.Header,
		IdleConnTimeout:       limits.Idle,
		MaxConnsPerHost:       limits.PerHost,
		MaxIdleConnsPerHost:   limits.PerHost,
		DisableCompression:    true,
	}
}
