package connector

import (
	"bytes"
	"cmp"
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/foxtailspool/foxtailspool/limiter"
)

// Timeouts bound how long a client may leave a connection without progress. A zero field
// means no bound.
type Timeouts struct {
	// Header bounds the time from a request's first byte, or from the opening of a connection
	// that has not sent one, to the end of its header.
	Header time.Duration
	// Idle bounds the time between two requests.
	Idle time.Duration
}

// connections holds the open connections of a server. When there are too many, a new
// connection takes the place of the one that has waited longest for a request.
type connections struct {
	limit int
	// headers bounds the memory of all headers; nil means no bound.
	headers *limiter.Memory
	// http2Bytes is what an HTTP/2 connection takes of headers until it is closed.
	http2Bytes int64

	mutex sync.Mutex
	open  int
	// waiting has the connections from which no byte of a request has arrived since they were
	// opened or last answered, the longest waiting first.
	waiting list.List
	// reading has the connections from which a part of a header has arrived.
	reading map[*trackedConn]bool
	// closed counts the connections closed since the last call of takeCounts.
	closed closedCounts
}

// closedCounts counts connections closed by the server.
type closedCounts struct {
	// displaced were closed for newer ones, refused because no connection was waiting, and headers
	// because the memory for headers was in use. stalled were closed because their clients did not
	// read an answer in time, and vanished because they acknowledged nothing.
	displaced, refused, headers, stalled, vanished int
}

// trackedConn is a connection of a server. The mutex of its table guards the fields from
// element on.
type trackedConn struct {
	net.Conn
	table *connections
	// writeTimeout bounds each write, but for those that may last until answerBy.
	writeTimeout time.Duration
	// answerBy is until when the clients of the connection's requests wait for their answers; nil
	// means that this is not known.
	answerBy atomic.Pointer[time.Time]
	// resets is set if the close of the connection has to reset it.
	resets atomic.Bool

	// element is the connection's place in waiting, nil while it is not there.
	element *list.Element
	// since is when the connection began to wait, or its header to arrive.
	since time.Time
	// answered is set once a request has been answered.
	answered bool
	// isHTTP2 excludes a connection from reading: its frames need not belong to requests.
	isHTTP2 bool
	closed  bool
	// lingering is set once the server has closed the connection and its client has not read the
	// whole answer.
	lingering bool
	// header is the memory of the header that arrives or whose request is in progress, of which
	// headerBytes have been read.
	header      *limiter.Lease
	headerBytes int
}

func newConnections(limit int, headers *limiter.Memory, http2Bytes int64) *connections {
	return &connections{limit: limit, headers: headers, http2Bytes: http2Bytes, reading: map[*trackedConn]bool{}}
}

const (
	// usualHeaderBytes is the size up to which a header takes no memory besides its connection's.
	usualHeaderBytes = 1 << 10
	// parsedHeaderFactor is the memory of a header in short lines for each of its bytes, read and
	// parsed: each line is kept in its buffer and as an entry of a map.
	parsedHeaderFactor = 16
)

// takeHeaderMemory takes memory for bytes of a header. While there is no room it closes the
// connection whose header has taken longest to arrive. It returns those to be closed, and false if
// the connection itself has to end. The caller must hold the mutex.
func (t *connections) takeHeaderMemory(c *trackedConn, bytes int) (slow []*trackedConn, granted bool) {
	c.headerBytes += bytes
	unusual := min(bytes, c.headerBytes-usualHeaderBytes)
	if unusual <= 0 {
		return nil, true
	}
	return t.growHeader(c, int64(unusual)*parsedHeaderFactor)
}

// growHeader is takeHeaderMemory for an amount of memory.
func (t *connections) growHeader(c *trackedConn, memory int64) (slow []*trackedConn, granted bool) {
	if c.header == nil {
		c.header = t.headers.NewLease()
	}
	for !c.header.Grow(memory) {
		slowest := cmp.Or(t.slowestHeader(), c)
		t.closed.headers++
		t.forget(slowest)
		if slowest == c {
			return slow, false
		}
		slow = append(slow, slowest)
	}
	return slow, true
}

// slowestHeader returns the connection whose header has taken longest to arrive, of those with
// memory for it and the one that asks for it. The caller must hold the mutex.
func (t *connections) slowestHeader() *trackedConn {
	var slowest *trackedConn
	for c := range t.reading {
		if c.header != nil && (slowest == nil || c.since.Before(slowest.since)) {
			slowest = c
		}
	}
	return slowest
}

// add tracks an accepted connection. It closes another connection to make room, or the
// accepted one if no other is waiting, and reports whether the accepted one stays open.
func (t *connections) add(accepted net.Conn, writeTimeout time.Duration) (*trackedConn, bool) {
	t.mutex.Lock()
	var displaced *trackedConn
	if t.open >= t.limit {
		displaced = t.displaceable(time.Now())
		if displaced == nil {
			t.closed.refused++
			t.mutex.Unlock()
			_ = accepted.Close()
			return nil, false
		}
		t.closed.displaced++
		t.forget(displaced)
	}
	c := &trackedConn{Conn: accepted, table: t, writeTimeout: writeTimeout}
	t.open++
	t.wait(c, time.Now())
	t.mutex.Unlock()
	if displaced != nil {
		_ = displaced.Close()
	}
	return c, true
}

// slowHeader is after how long a header that has not ended makes room for a new connection.
const slowHeader = time.Second

// maxUnread bounds the connections with unread answers that displaceable passes over.
const maxUnread = 16

// displaceable returns the connection that has waited longest for a request, or else for the end
// of a slow header; nil if there is none. One with an unread answer is the last choice of those
// that wait. The caller must hold the mutex.
func (t *connections) displaceable(now time.Time) *trackedConn {
	unread := 0
	for element := t.waiting.Front(); element != nil && unread < maxUnread; element = element.Next() {
		c := element.Value.(*trackedConn)
		if !c.isRead(now) {
			unread++
			continue
		}
		return c
	}
	if first := t.waiting.Front(); first != nil {
		return first.Value.(*trackedConn)
	}
	var slowest *trackedConn
	for c := range t.reading {
		if now.Sub(c.since) >= slowHeader && (slowest == nil || c.since.Before(slowest.since)) {
			slowest = c
		}
	}
	return slowest
}

// wait adds a connection to waiting. The caller must hold the mutex.
func (t *connections) wait(c *trackedConn, now time.Time) {
	t.leavePhase(c)
	c.since = now
	c.element = t.waiting.PushBack(c)
}

// leavePhase removes a connection from waiting and reading. The caller must hold the mutex.
func (t *connections) leavePhase(c *trackedConn) {
	if c.element != nil {
		t.waiting.Remove(c.element)
		c.element = nil
	}
	delete(t.reading, c)
}

// forget stops counting a connection, from which nothing can be read any more. The caller must
// hold the mutex.
func (t *connections) forget(c *trackedConn) {
	if c.closed {
		return
	}
	c.closed = true
	t.open--
	t.leavePhase(c)
	c.header.Release()
}

// stateChanged follows a connection's requests. It is the ConnState hook of an http.Server.
func (t *connections) stateChanged(connection net.Conn, state http.ConnState) {
	if secured, ok := connection.(*tls.Conn); ok {
		connection = secured.NetConn()
	}
	c, ok := connection.(*trackedConn)
	if !ok {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case c.closed:
	case state == http.StateIdle:
		c.answered = true
		if !c.isHTTP2 {
			c.header.Release()
			c.header, c.headerBytes = nil, 0
		}
		t.wait(c, time.Now())
	case state == http.StateActive, state == http.StateHijacked:
		t.leavePhase(c)
	}
}

// http2Preface begins each connection of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2")

// Read reads from the connection and notes that a header has begun to arrive.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	slow, open := c.noteRead(buffer[:n])
	for _, other := range slow {
		_ = other.Conn.Close()
	}
	if !open {
		_ = c.Conn.Close()
		// A request that is not read can be sent again elsewhere.
		return 0, net.ErrClosed
	}
	return n, err
}

// noteRead follows the phases of the connection. It returns connections to be closed for the
// memory of this one, and whether this one is open.
func (c *trackedConn) noteRead(content []byte) (slow []*trackedConn, open bool) {
	c.table.mutex.Lock()
	defer c.table.mutex.Unlock()
	if c.closed {
		return nil, false
	}
	if c.element == nil || c.isHTTP2 {
		if c.table.reading[c] {
			return c.table.takeHeaderMemory(c, headerLength(content))
		}
		return nil, true
	}
	if !c.answered && bytes.HasPrefix(content, http2Preface) {
		c.isHTTP2 = true
		return c.table.growHeader(c, c.table.http2Bytes)
	}
	c.table.leavePhase(c)
	c.table.reading[c] = true
	// The header of a connection's first request counts from its opening.
	if c.answered {
		c.since = time.Now()
	}
	return c.table.takeHeaderMemory(c, headerLength(content))
}

// headerLength returns how many bytes at the beginning of what was read belong to a header: what
// follows its end is of the body.
func headerLength(content []byte) int {
	if end := bytes.Index(content, headerEnd); end >= 0 {
		return end + len(headerEnd)
	}
	return len(content)
}

var headerEnd = []byte("\r\n\r\n")

// Write writes to the connection, for as long as the client waits for its answer, or else within
// the write timeout.
func (c *trackedConn) Write(content []byte) (int, error) {
	deadline := time.Now().Add(c.writeTimeout)
	if by := c.answerBy.Load(); by != nil && by.After(deadline) {
		deadline = *by
	}
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(content)
	switch {
	case errors.Is(err, syscall.ETIMEDOUT):
		c.table.count(func(counts *closedCounts) { counts.vanished++ })
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline):
		c.table.count(func(counts *closedCounts) { counts.stalled++ })
	}
	return n, err
}

// AwaitReader lets the client of a request take until a time to read its answer, if that is longer
// than the server's WriteTimeout. ctx is that of the request.
func AwaitReader(ctx context.Context, until time.Time) {
	c, ok := ctx.Value(connectionKey{}).(*trackedConn)
	if !ok {
		return
	}
	for {
		known := c.answerBy.Load()
		if known != nil && !known.Before(until) || c.answerBy.CompareAndSwap(known, &until) {
			return
		}
	}
}

// pendingConn is a connection that knows what its peer has not received.
type pendingConn interface {
	// HasPending reports whether the peer has not acknowledged all that was written.
	HasPending() bool
	// CloseWithin closes the connection and lets the kernel go on sending what is pending.
	CloseWithin(timeout time.Duration) error
}

// isRead reports whether nothing is left of the connection's answers that its client still waits
// for.
func (c *trackedConn) isRead(now time.Time) bool {
	by := c.answerBy.Load()
	if by == nil || !now.Before(*by) {
		return true
	}
	pending, ok := c.Conn.(pendingConn)
	return !ok || !pending.HasPending()
}

// CloseWrite closes the connection for writing, so that a peer which still sends can read an
// early answer.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. If its client has not read the whole answer, it is closed for
// writing first, and altogether when that has been read, the client waits no longer or another
// connection needs the room.
func (c *trackedConn) Close() error {
	if c.table.linger(c) {
		return c.CloseWrite()
	}
	return c.Conn.Close()
}

// linger stops counting a connection that is closed, and reports whether its answer has to be read
// first. Then it waits as if for a request.
func (t *connections) linger(c *trackedConn) bool {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c.closed || c.lingering || c.resets.Load() || c.isRead(now) {
		t.forget(c)
		return false
	}
	c.lingering = true
	c.header.Release()
	t.wait(c, now)
	return true
}

// closeRead closes the lingering connections whose answers have been read, and returns how many
// are left.
func (t *connections) closeRead(now time.Time) (left int) {
	closed, left := t.forgetLingering(func(c *trackedConn) bool { return c.isRead(now) })
	for _, c := range closed {
		_ = c.Conn.Close()
	}
	return left
}

// abandonLingering leaves the lingering connections to the kernel.
func (t *connections) abandonLingering(now time.Time) {
	abandoned, _ := t.forgetLingering(func(*trackedConn) bool { return true })
	for _, c := range abandoned {
		_ = c.Conn.(pendingConn).CloseWithin(c.answerBy.Load().Sub(now))
	}
}

// forgetLingering forgets and returns the lingering connections that are to be closed, and returns
// how many are left.
func (t *connections) forgetLingering(isClosed func(c *trackedConn) bool) (closed []*trackedConn, left int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for element := t.waiting.Front(); element != nil; element = element.Next() {
		switch c := element.Value.(*trackedConn); {
		case !c.lingering:
		case isClosed(c):
			closed = append(closed, c)
		default:
			left++
		}
	}
	for _, c := range closed {
		t.forget(c)
	}
	return closed, left
}

// closeExpired closes the connections that have exceeded a timeout.
func (t *connections) closeExpired(now time.Time, timeouts Timeouts) {
	for _, c := range t.expired(now, timeouts) {
		_ = c.Close()
	}
}

// expired returns the connections that have exceeded a timeout. They take no more requests.
func (t *connections) expired(now time.Time, timeouts Timeouts) []*trackedConn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	exceeds := func(c *trackedConn, timeout time.Duration) bool { return timeout > 0 && now.Sub(c.since) >= timeout }
	var list []*trackedConn
	for element := t.waiting.Front(); element != nil; element = element.Next() {
		c := element.Value.(*trackedConn)
		switch {
		case c.lingering:
		case c.answered && exceeds(c, timeouts.Idle) && c.isRead(now), !c.answered && exceeds(c, timeouts.Header):
			list = append(list, c)
		}
	}
	for c := range t.reading {
		if exceeds(c, timeouts.Header) {
			list = append(list, c)
		}
	}
	for _, c := range list {
		t.forget(c)
	}
	return list
}

// counts returns the number of open connections, and of those that wait for a request.
func (t *connections) counts() (open, waiting int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.open, t.waiting.Len()
}

// count changes the counts of closed connections.
func (t *connections) count(change func(counts *closedCounts)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(&t.closed)
}

// takeCounts returns and resets the numbers of connections closed by the server.
func (t *connections) takeCounts() closedCounts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.closed
	t.closed = closedCounts{}
	return counts
}

// trackedListener accepts connections into a table.
type trackedListener struct {
	net.Listener
	table        *connections
	writeTimeout time.Duration
}

// Accept returns the next connection that stays open.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, open := l.table.add(accepted, l.writeTimeout); open {
			return c, nil
		}
	}
}
