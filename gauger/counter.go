package gauger

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/foxtailspool/foxtailspool/connector"
)

// counts sums over all connections that nodes open.
type counts struct {
	bytes  atomic.Int64
	writes atomic.Int64
	dials  atomic.Int64
	// open counts the connections that are open now.
	open atomic.Int64
}

// network returns the system's network with every connection counted.
func (c *counts) network() connector.Network {
	network := connector.NewNetwork()
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		opened, err := dial(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		c.dials.Add(1)
		c.open.Add(1)
		return &countedConn{Conn: opened, counts: c}, nil
	}
	listen := network.Listen
	network.Listen = func(ctx context.Context, address string) (net.Listener, error) {
		listening, err := listen(ctx, address)
		return &countedListener{listening, c}, err
	}
	return network
}

// countedConn counts both directions at the side that dialled.
type countedConn struct {
	net.Conn
	counts *counts
	closed atomic.Bool
}

func (c *countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.counts.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counts.bytes.Add(int64(n))
	c.counts.writes.Add(1)
	return n, err
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.counts.open.Add(-1)
	}
	return c.Conn.Close()
}

// countedListener counts the writes of the accepting side.
type countedListener struct {
	net.Listener
	counts *counts
}

func (l *countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &acceptedConn{accepted, l.counts}, nil
}

type acceptedConn struct {
	net.Conn
	counts *counts
}

func (c *acceptedConn) Write(data []byte) (int, error) {
	c.counts.writes.Add(1)
	return c.Conn.Write(data)
}
