package connector

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// readCountingConn counts the reads that received data.
type readCountingConn struct {
	net.Conn
	reads atomic.Int64
}

func (c *readCountingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// CloseUnresponsive returns a transport that closes the connection of a call that timed out
// if the connection received no data during the call. Without it, calls that share an
// HTTP/2 connection would use a dead one until its ping fails. The next transport must
// come from Network.Transport with Limits.PingInterval set. Only the connection of the
// timed out call is closed.
func CloseUnresponsive(next http.RoundTripper) http.RoundTripper {
	return unresponsiveTransport{next}
}

type unresponsiveTransport struct {
	next http.RoundTripper
}

func (t unresponsiveTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var obtained atomic.Pointer[callConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { obtained.Store(newCallConn(info.Conn)) }}
	response, err := t.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	var failure net.Error
	if err == nil || !errors.As(err, &failure) || !failure.Timeout() {
		return response, err
	}
	if connection := obtained.Load(); connection != nil {
		connection.closeIfUnresponsive()
	}
	return nil, err
}

// callConn is the connection of a call.
type callConn struct {
	*readCountingConn
	// readsAtStart is the number of reads before the call got the connection.
	readsAtStart int64
}

// newCallConn returns the connection that the network opened, unwrapped from TLS. It
// returns nil if the connection does not count its reads.
func newCallConn(connection net.Conn) *callConn {
	if tlsConnection, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = tlsConnection.NetConn()
	}
	counting, ok := connection.(*readCountingConn)
	if !ok {
		return nil
	}
	return &callConn{counting, counting.reads.Load()}
}

func (c *callConn) closeIfUnresponsive() {
	if c.reads.Load() == c.readsAtStart {
		_ = c.Close()
	}
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t unresponsiveTransport) CloseIdleConnections() {
	closeIdle(t.next)
}
