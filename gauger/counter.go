package gauger

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/foxtailspool/foxtailspool/connector"
)

// connectionCounts contains totals over the connections of all measured nodes.
type connectionCounts struct {
	bytes  atomic.Int64
	writes atomic.Int64
	dials  atomic.Int64
	// open is the number of connections that are open now.
	open atomic.Int64
}

// countingNetwork returns the system's network, with its connections counted in c.
func (c *connectionCounts) countingNetwork() connector.Network {
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
		listener, err := listen(ctx, address)
		return &countedListener{listener, c}, err
	}
	return network
}

// countedConn counts the bytes of both directions and the writes of the dialling side.
type countedConn struct {
	net.Conn
	counts *connectionCounts
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

// countedListener counts only the writes of the accepting side: countedConn counts the bytes.
type countedListener struct {
	net.Listener
	counts *connectionCounts
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
	counts *connectionCounts
}

func (c *acceptedConn) Write(data []byte) (int, error) {
	c.counts.writes.Add(1)
	return c.Conn.Write(data)
}
