package connector

import (
	"errors"
	"sync"
	"syscall"
)

// exchangeConn is a connection of http.Transport, on which a server may answer a request before it
// has read all of it and then close the connection. http.Transport drops the answer if it learns
// first that a write failed. exchangeConn therefore leaves it to the reads to tell how the exchange
// ended: they return what has arrived and then fail.
type exchangeConn struct {
	*VerifiedConn

	closing sync.Once
	closed  chan struct{}
}

func newExchangeConn(verified *VerifiedConn) *exchangeConn {
	return &exchangeConn{VerifiedConn: verified, closed: make(chan struct{})}
}

// Write writes to the connection. If the peer has reset it, the write fails only once it is closed.
// Were the failure hidden, http.Transport would keep the connection for other requests.
func (c *exchangeConn) Write(content []byte) (int, error) {
	n, err := c.VerifiedConn.Write(content)
	if isReset(err) {
		<-c.closed
	}
	return n, err
}

// Close closes the connection.
func (c *exchangeConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.VerifiedConn.Close()
}

// isReset reports whether a write failed because the peer has reset the connection. Reads of such
// a connection don't wait, so that http.Transport closes it.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
