package connector_test

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/foxtailspool/foxtailspool/connector"
)

// pipeNetwork is a network of in-memory pipes with one listener. It works in a
// synctest bubble, unlike sockets.
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
	clientEnd, serverEnd := net.Pipe()
	select {
	case p.accepted <- serverEnd:
		return clientEnd, nil
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

// blackholeConn is a connection that discards its writes while dropWrites is set.
type blackholeConn struct {
	net.Conn
	dropWrites atomic.Bool
	closed     atomic.Bool
}

func (s *blackholeConn) Write(content []byte) (int, error) {
	if s.dropWrites.Load() {
		return len(content), nil
	}
	return s.Conn.Write(content)
}

func (s *blackholeConn) Close() error {
	s.closed.Store(true)
	return s.Conn.Close()
}
