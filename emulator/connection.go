package emulator

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// segment is data in flight, readable from the time at.
type segment struct {
	data []byte
	at   time.Time
}

// pipe is one direction of an in-memory connection.
type pipe struct {
	mutex    sync.Mutex
	segments []segment
	closed   bool
	held     bool
	failure  error
	// wake is closed and replaced on each change.
	wake chan struct{}
}

func newPipe() *pipe {
	return &pipe{wake: make(chan struct{})}
}

func (h *pipe) change(apply func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	apply()
	close(h.wake)
	h.wake = make(chan struct{})
}

func (h *pipe) setHeld(held bool)  { h.change(func() { h.held = held }) }
func (h *pipe) fail(failure error) { h.change(func() { h.failure = failure }) }
func (h *pipe) close()             { h.change(func() { h.closed = true }) }

func (h *pipe) write(data []byte, delay time.Duration) (int, error) {
	var failure error
	h.change(func() {
		failure = h.failure
		if failure == nil && h.closed {
			failure = io.ErrClosedPipe
		}
		if failure == nil {
			h.segments = append(h.segments, segment{append([]byte(nil), data...), time.Now().Add(delay)})
		}
	})
	if failure != nil {
		return 0, failure
	}
	return len(data), nil
}

// awaitFailure returns after a time, or earlier if the pipe has failed or is closed.
func (h *pipe) awaitFailure(span time.Duration) {
	until := time.Now().Add(span)
	for {
		h.mutex.Lock()
		ended, wake := h.failure != nil || h.closed, h.wake
		h.mutex.Unlock()
		left := time.Until(until)
		if ended || left <= 0 {
			return
		}
		await(wake, left)
	}
}

// readResult is the result of a non-blocking read: a count, an error, or how long to wait.
type readResult struct {
	count   int
	failure error
	// waits means that nothing is readable before the next change; until is the time until the
	// next segment arrives, zero if none is in flight.
	waits bool
	until time.Duration
}

// nextChange returns a channel that is closed on the next change.
func (h *pipe) nextChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.wake
}

// read reads arrived data into the buffer without blocking.
func (h *pipe) read(into []byte) readResult {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case h.failure != nil:
		return readResult{failure: h.failure}
	case h.held:
		return readResult{waits: true}
	case len(h.segments) > 0:
		return h.readSegment(into)
	case h.closed:
		return readResult{failure: io.EOF}
	default:
		return readResult{waits: true}
	}
}

// readSegment reads from the first segment if it has arrived. The caller holds the mutex.
func (h *pipe) readSegment(into []byte) readResult {
	first := &h.segments[0]
	if until := time.Until(first.at); until > 0 {
		return readResult{waits: true, until: until}
	}
	count := copy(into, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		h.segments = h.segments[1:]
	}
	return readResult{count: count}
}

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	network       *Network
	link          *link
	in, out       *pipe
	local, remote string
	// reserve reserves the links for bytes that this end sends.
	reserve func(byteCount int) passage

	mutex    sync.Mutex
	deadline time.Time
	closed   bool
	// resets makes Close reset the connection.
	resets bool
}

// Read blocks until data arrives, either end closes, or the deadline passes.
func (c *memoryConn) Read(into []byte) (int, error) {
	for {
		// A deadline that is set from here on ends the wait below.
		changed := c.in.nextChange()
		c.mutex.Lock()
		deadline, closed := c.deadline, c.closed
		c.mutex.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		if !deadline.IsZero() && time.Until(deadline) <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		found := c.in.read(into)
		if !found.waits {
			return found.count, found.failure
		}
		until := found.until
		if !deadline.IsZero() && (until == 0 || time.Until(deadline) < until) {
			until = time.Until(deadline)
		}
		await(changed, until)
	}
}

// await blocks until wake is closed or, if span is positive, until span has passed.
func await(wake <-chan struct{}, span time.Duration) {
	if span <= 0 {
		<-wake
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
}

// Write queues data for the other end. It blocks only while more than sendWindow bytes wait
// for a link of limited rate.
func (c *memoryConn) Write(data []byte) (int, error) {
	written := 0
	for {
		c.mutex.Lock()
		closed := c.closed
		c.mutex.Unlock()
		if closed {
			return written, net.ErrClosed
		}
		chunk := data[written:min(len(data), written+sendWindow)]
		reserved := c.reserve(len(chunk))
		count, err := c.out.write(chunk, reserved.delay)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
		c.out.awaitFailure(reserved.queued)
	}
}

// Close closes both directions.
func (c *memoryConn) Close() error {
	c.mutex.Lock()
	c.closed = true
	resets := c.resets
	c.mutex.Unlock()
	if resets {
		c.link.fail()
	}
	c.out.close()
	c.in.close()
	return nil
}

// SetLinger makes Close reset the connection if seconds is zero, as net.TCPConn does.
func (c *memoryConn) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resets = seconds == 0
	return nil
}

// LocalAddr returns this end's address.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddr(c.local) }

// RemoteAddr returns the other end's address.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.remote) }

// SetDeadline sets the read deadline; writes have none.
func (c *memoryConn) SetDeadline(deadline time.Time) error {
	return c.SetReadDeadline(deadline)
}

// SetReadDeadline sets the read deadline, also of a Read that is already blocked.
func (c *memoryConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.deadline = deadline
	c.mutex.Unlock()
	c.in.change(func() {})
	return nil
}

// SetWriteDeadline does nothing.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
