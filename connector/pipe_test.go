package connector_test

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/foxtailspool/foxtailspool/connector"
)

// pipeNetwork is a network of one listener over in-memory pipes, so that tests
// can run in a synctest bubble.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeNetwork) network() connector.Network {
	return connector.Network{
		Dial:   func(context.Context, string, string) (net.Conn, error) { return p.dial() },
		Listen: func(context.Context, string) (net.Listener, error) { return p, nil },
	}
}

func (p *pipeNetwork) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.accepted <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case connection := <-p.accepted:
		return connection, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeNetwork) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// silencer is a connection that can go silent: what is written is lost.
type silencer struct {
	net.Conn
	silent atomic.Bool
	closed atomic.Bool
}

func (s *silencer) Write(content []byte) (int, error) {
	if s.silent.Load() {
		return len(content), nil
	}
	return s.Conn.Write(content)
}

func (s *silencer) Close() error {
	s.closed.Store(true)
	return s.Conn.Close()
}
