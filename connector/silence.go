package connector

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// heardConn counts the reads that received something.
type heardConn struct {
	net.Conn
	heard atomic.Int64
}

func (c *heardConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.heard.Add(1)
	}
	return n, err
}

// CloseSilent returns a transport that closes the connection of a call that timed
// out while the connection received nothing at all. Calls that share an HTTP/2
// connection would otherwise keep using it until its ping fails. The transport
// below is one of Network.Transport with Limits.Ping set; its other connections
// are left alone.
func CloseSilent(next http.RoundTripper) http.RoundTripper {
	return silenceTransport{next}
}

type silenceTransport struct {
	next http.RoundTripper
}

func (t silenceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[usedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.Store(newUsedConn(info.Conn)) }}
	response, err := t.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	var failure net.Error
	if err == nil || !errors.As(err, &failure) || !failure.Timeout() {
		return response, err
	}
	if connection := used.Load(); connection != nil {
		connection.closeIfSilent()
	}
	return nil, err
}

// usedConn is a connection as a call found it.
type usedConn struct {
	*heardConn
	// before is what had been heard when the call got the connection.
	before int64
}

// newUsedConn finds the connection that the network opened, below TLS if need be;
// nil for one that is not watched.
func newUsedConn(connection net.Conn) *usedConn {
	if secured, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = secured.NetConn()
	}
	watched, ok := connection.(*heardConn)
	if !ok {
		return nil
	}
	return &usedConn{watched, watched.heard.Load()}
}

func (c *usedConn) closeIfSilent() {
	if c.heard.Load() == c.before {
		_ = c.Close()
	}
}

// CloseIdleConnections closes the kept connections of the transport below.
func (t silenceTransport) CloseIdleConnections() {
	closeIdle(t.next)
}
