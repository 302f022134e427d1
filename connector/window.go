package connector

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Linux counts all the time since a peer's window was first closed towards TCP_USER_TIMEOUT, also
// while the peer acknowledges each probe, and in part after the window has opened again. Once a
// window has held data up, a windowWatch therefore takes the place of the timeout.

const (
	// windowChecks is the number of checks of a connection in the timeout.
	windowChecks = 4
	// tcpRTOMax is TCP_RTO_MAX_MS, which limits the time between two probes of a closed window. It
	// exists since Linux 6.15; earlier ones double the time with each probe, up to two minutes.
	tcpRTOMax = 44
	// probeInterval is the shortest time that tcpRTOMax takes.
	probeInterval = time.Second
)

// windowWatch watches the connections that have data to send.
type windowWatch struct {
	timeout time.Duration
	// keepAliveProbes is how many probes of an idle connection fit into the timeout, which ends
	// their number while it is in force.
	keepAliveProbes int

	mutex       sync.Mutex
	connections map[*watchedConn]bool
	// scheduled is set while a call of check is to come, which is as long as there are
	// connections.
	scheduled bool
}

func newWindowWatch(liveness Liveness) *windowWatch {
	w := &windowWatch{timeout: liveness.UnacknowledgedTimeout, keepAliveProbes: 1, connections: map[*watchedConn]bool{}}
	if keepAlive := liveness.KeepAlive; keepAlive.Interval > 0 {
		w.keepAliveProbes = max(1, int((w.timeout-keepAlive.Idle)/keepAlive.Interval))
	}
	return w
}

func (w *windowWatch) interval() time.Duration { return w.timeout / windowChecks }

// network returns a network whose TCP connections are watched.
func (w *windowWatch) network(next Network) Network {
	return Network{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			opened, err := next.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return w.wrap(opened), nil
		},
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			listener, err := next.Listen(ctx, address)
			if tcp, ok := listener.(*net.TCPListener); ok {
				return watchedListener{tcp, w}, nil
			}
			return listener, err
		},
	}
}

// wrap returns a connection that is watched, or the connection itself if it isn't TCP.
func (w *windowWatch) wrap(connection net.Conn) net.Conn {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return connection
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return connection
	}
	return &watchedConn{Conn: tcp, tcp: tcp, raw: raw, watch: w, openedAt: time.Now()}
}

// watchedListener accepts connections that are watched.
type watchedListener struct {
	*net.TCPListener
	watch *windowWatch
}

// Accept returns the next connection.
func (l watchedListener) Accept() (net.Conn, error) {
	accepted, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.watch.wrap(accepted), nil
}

// add begins to watch a connection to which data is written.
func (w *windowWatch) add(c *watchedConn) {
	c.touched.Store(true)
	if c.watched.Load() {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c.watched.Store(true)
	w.connections[c] = true
	if !w.scheduled {
		w.scheduled = true
		time.AfterFunc(w.interval(), w.check)
	}
}

// remove ends the watch of a connection, unless it was written to meanwhile.
func (w *windowWatch) remove(c *watchedConn) {
	w.mutex.Lock()
	delete(w.connections, c)
	c.watched.Store(false)
	w.mutex.Unlock()
	if c.touched.Load() {
		w.add(c)
	}
}

// check looks at all connections.
func (w *windowWatch) check() {
	w.mutex.Lock()
	connections := slices.Collect(maps.Keys(w.connections))
	w.mutex.Unlock()
	for _, c := range connections {
		if !c.check(time.Now()) {
			w.remove(c)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.scheduled = len(w.connections) > 0; w.scheduled {
		time.AfterFunc(w.interval(), w.check)
	}
}

// watchedConn is a TCP connection with a windowWatch.
type watchedConn struct {
	net.Conn
	tcp   *net.TCPConn
	raw   syscall.RawConn
	watch *windowWatch

	// touched is set by each write; watched is set while the connection is in the watch.
	touched, watched atomic.Bool
	// writing is the number of writes in progress.
	writing atomic.Int32
	// gone is set once the peer is held to be gone.
	gone atomic.Bool
	// silence is used by check only.
	silence peerSilence
	// ownsTimeout is set once the watch has taken the place of TCP_USER_TIMEOUT.
	ownsTimeout atomic.Bool
	openedAt    time.Time
}

// peerState is what the kernel knows of a connection's peer.
type peerState struct {
	// inFlight is the number of segments that wait for an acknowledgement, and unsent that of the
	// bytes behind them.
	inFlight, unsent uint32
	// unanswered is the number of probes of a closed window, or of retransmissions, since the peer
	// was last heard, and silence how long ago that was.
	unanswered uint8
	silence    time.Duration
	// heldUp is set if the peer's window has held data up since the connection was opened.
	heldUp bool
}

// hasPending reports whether the peer has not acknowledged all that was written.
func (s peerState) hasPending() bool { return s.inFlight > 0 || s.unsent > 0 }

// peerSilence follows a peer that leaves something unanswered.
type peerSilence struct {
	// since is when the peer was first seen to do so after it was last heard, zero if it does not.
	since time.Time
}

// isGone reports whether a peer has acknowledged nothing for as long as timeout, with several
// attempts to get an answer.
func (s *peerSilence) isGone(now time.Time, peer peerState, timeout time.Duration) bool {
	if peer.unanswered == 0 {
		s.since = time.Time{}
		return false
	}
	if s.since.Before(now.Add(-peer.silence)) {
		s.since = now
	}
	return peer.silence >= timeout && now.Sub(s.since) >= timeout-timeout/windowChecks
}

// check takes the place of the connection's timeout if need be, and aborts it if the peer is gone.
// It returns false if there is nothing left to watch.
func (c *watchedConn) check(now time.Time) bool {
	isWritten := c.touched.Swap(false) || c.writing.Load() > 0
	peer, err := c.peerState()
	if err != nil {
		// The connection is closed, or the system tells nothing: then the kernel's rule holds.
		return false
	}
	if peer.heldUp && !c.ownsTimeout.Load() {
		c.takeTimeout()
	}
	if c.ownsTimeout.Load() && c.silence.isGone(now, peer, c.watch.timeout) {
		c.abort()
		return false
	}
	return isWritten || peer.hasPending()
}

// takeTimeout switches the kernel's timeout off.
func (c *watchedConn) takeTimeout() {
	if setUserTimeout(c.raw, 0) != nil {
		return
	}
	c.ownsTimeout.Store(true)
	// Without these the peer is noticed later.
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, tcpRTOMax, int(probeInterval.Milliseconds()))
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, c.watch.keepAliveProbes)
	})
}

// peerState asks the kernel for the state of the peer.
func (c *watchedConn) peerState() (peerState, error) {
	var info *unix.TCPInfo
	var failure error
	err := c.raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, failure); err != nil {
		return peerState{}, err
	}
	return peerState{
		inFlight:   info.Unacked,
		unsent:     info.Notsent_bytes,
		unanswered: max(info.Probes, info.Retransmits),
		silence:    time.Duration(info.Last_ack_recv) * time.Millisecond,
		heldUp:     info.Rwnd_limited > 0 || info.Unacked == 0 && info.Notsent_bytes > 0,
	}, nil
}

// abort makes all reads and writes fail, also those in progress, and Close reset the connection.
func (c *watchedConn) abort() {
	c.gone.Store(true)
	_ = c.tcp.SetLinger(0)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// result returns the error of a read or write, which is the kernel's if the peer is gone.
func (c *watchedConn) result(operation string, err error) error {
	if err != nil && c.gone.Load() {
		return c.goneError(operation)
	}
	return err
}

func (c *watchedConn) goneError(operation string) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(operation, syscall.ETIMEDOUT)}
}

// Read reads from the connection.
func (c *watchedConn) Read(buffer []byte) (int, error) {
	if c.gone.Load() {
		return 0, c.goneError("read")
	}
	n, err := c.Conn.Read(buffer)
	return n, c.result("read", err)
}

// Write writes to the connection.
func (c *watchedConn) Write(content []byte) (int, error) {
	n, err := c.write(func() (int64, error) {
		n, err := c.Conn.Write(content)
		return int64(n), err
	})
	return int(n), err
}

// WriteBuffers writes several buffers with one system call.
func (c *watchedConn) WriteBuffers(buffers net.Buffers) (int64, error) {
	return c.write(func() (int64, error) { return buffers.WriteTo(c.Conn) })
}

// write keeps the connection watched until what is written has been acknowledged.
func (c *watchedConn) write(write func() (int64, error)) (int64, error) {
	if c.gone.Load() {
		return 0, c.goneError("write")
	}
	c.writing.Add(1)
	c.watch.add(c)
	n, err := write()
	c.watch.add(c)
	c.writing.Add(-1)
	return n, c.result("write", err)
}

// SyscallConn returns the socket.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// CloseWrite closes the connection for writing.
func (c *watchedConn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger is that of net.TCPConn.
func (c *watchedConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// HasPending reports whether the peer has not acknowledged all that was written.
func (c *watchedConn) HasPending() bool {
	peer, err := c.peerState()
	return err == nil && !c.gone.Load() && peer.hasPending()
}

// Close closes the connection. What the peer's window holds up is lost.
func (c *watchedConn) Close() error {
	if c.ownsTimeout.Load() {
		_ = setUserTimeout(c.raw, c.watch.timeout)
	}
	return c.Conn.Close()
}

// CloseWithin closes the connection and lets the kernel go on sending what is pending, for about as
// long as timeout if the peer's window is closed.
func (c *watchedConn) CloseWithin(timeout time.Duration) error {
	if c.ownsTimeout.Load() {
		// The kernel may count since the connection was opened.
		_ = setUserTimeout(c.raw, time.Since(c.openedAt)+timeout)
	}
	return c.Conn.Close()
}
