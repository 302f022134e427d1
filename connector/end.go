package connector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// VerifiedConn is a connection whose reads return io.EOF only if its peer has received all that
// was written and has closed the connection in order. Otherwise they fail.
//
// The kernel reports a reset only once. If a write gets the error, the reads after it return what
// has arrived and then io.EOF, as if the peer had closed the connection. A reader that takes the
// end of the connection for the end of an answer would take a part of it for the whole.
// VerifiedConn therefore keeps the errors of both directions.
type VerifiedConn struct {
	net.Conn

	// writing is held during each write and guards writeError.
	writing sync.Mutex
	// writeError is the error of the first write that failed.
	writeError error
	// readError is returned by all reads after the one that it ended: some readers overlook the
	// error of a look-ahead. Reads must not be concurrent.
	readError error

	framing framingCheck
}

// VerifyEnd returns a connection that verifies its end. All reads and writes must go through it.
func VerifyEnd(connection net.Conn) *VerifiedConn {
	return &VerifiedConn{Conn: connection}
}

// Write writes to the connection.
func (c *VerifiedConn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(content)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes several buffers, with one system call if the connection allows it.
func (c *VerifiedConn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	var n int64
	var err error
	if next, ok := c.Conn.(interface {
		WriteBuffers(buffers net.Buffers) (int64, error)
	}); ok {
		n, err = next.WriteBuffers(buffers)
	} else {
		n, err = buffers.WriteTo(c.Conn)
	}
	c.recordWrite(err)
	return n, err
}

// recordWrite keeps the first error of a write. The caller must hold writing.
func (c *VerifiedConn) recordWrite(err error) {
	if c.writeError == nil {
		c.writeError = err
	}
}

// Read reads from the connection. At its end it waits for a write in progress, and shortly for the
// peer to receive what was written.
func (c *VerifiedConn) Read(buffer []byte) (int, error) {
	if c.readError != nil {
		return 0, c.readError
	}
	n, err := c.Conn.Read(buffer)
	c.framing.add(buffer[:n])
	if errors.Is(err, io.EOF) {
		err = c.verifyEnd()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readError = err
	}
	return n, err
}

// BeginAnswer notes that an answer begins, of which a part may have been read.
func (c *VerifiedConn) BeginAnswer(buffered []byte) { c.framing.begin(buffered) }

// CheckFraming returns InvalidAnswer if the framing of the answer, whose head has been read, is
// faulty in a way that net/http overlooks.
func (c *VerifiedConn) CheckFraming() error { return c.framing.end() }

// verifyEnd returns io.EOF, or why the connection did not end in order.
func (c *VerifiedConn) verifyEnd() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeError != nil {
		return fmt.Errorf("the connection ended after a failed write: %w", c.writeError)
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return awaitReceipt(control)
}

const (
	// receiptTimeout is how long a peer that has closed its side of a connection may take to
	// receive the rest of what was sent, and receiptInterval the time between two looks.
	receiptTimeout  = 250 * time.Millisecond
	receiptInterval = time.Millisecond
)

// awaitReceipt returns io.EOF once the peer, which has closed its side of the connection, has
// received all that was sent, and an error if it does not.
func awaitReceipt(control syscall.RawConn) error {
	for began := time.Now(); ; time.Sleep(receiptInterval) {
		var unreceived int
		var failure error
		if err := control.Control(func(fd uintptr) { unreceived, failure = socketState(int(fd)) }); err != nil {
			return err
		}
		switch {
		case failure != nil:
			return failure
		case unreceived == 0:
			return io.EOF
		case time.Since(began) >= receiptTimeout:
			return fmt.Errorf("the peer closed the connection and has not received the last %d bytes: %w", unreceived, io.ErrUnexpectedEOF)
		}
	}
}

// socketState returns the bytes that a socket's peer has not acknowledged, and an error if the
// socket was reset. The segment that closes a connection acknowledges all that its sender has
// received.
func socketState(fd int) (unreceived int, err error) {
	pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return 0, err
	}
	if pending != 0 {
		return 0, syscall.Errno(pending)
	}
	return unix.IoctlGetInt(fd, unix.SIOCOUTQ)
}
