package connector_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/foxtailspool/foxtailspool/connector"
)

// testLiveness is that of nodes on the users' platform.
var testLiveness = connector.Liveness{
	KeepAlive:             net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	UnacknowledgedTimeout: 2 * time.Second,
}

// silenceBound is the time in which nodes notice a peer that has vanished.
const silenceBound = 3500 * time.Millisecond

// livePair returns a connection that a network accepted, or opened if dials is set, and its peer,
// whose kernel takes few bytes that it has not read.
func livePair(t *testing.T, dials bool) (connection net.Conn, peer *net.TCPConn) {
	t.Helper()
	network := connector.NewNetworkWithLiveness(testLiveness)
	small := net.ListenConfig{Control: smallBuffers}
	listen := func(ctx context.Context, address string) (net.Listener, error) {
		return small.Listen(ctx, "tcp", address)
	}
	dial := network.Dial
	if !dials {
		listen, dial = network.Listen, (&net.Dialer{Control: smallBuffers}).DialContext
	}
	listener, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	opened, err := dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = opened.Close(), accepted.Close() })
	if dials {
		return opened, accepted.(*net.TCPConn)
	}
	return accepted, opened.(*net.TCPConn)
}

// readSlowly reads pieces with pauses before them until the end.
func readSlowly(source io.Reader, piece int, pause time.Duration) ([]byte, error) {
	var got []byte
	buffer := make([]byte, piece)
	pauses := time.NewTicker(pause)
	defer pauses.Stop()
	for range pauses.C {
		n, err := io.ReadFull(source, buffer)
		got = append(got, buffer[:n]...)
		switch err {
		case nil:
		case io.EOF, io.ErrUnexpectedEOF:
			return got, nil
		default:
			return got, err
		}
	}
	return got, nil
}

// TestSlowPeerIsKept guards against a peer that reads slowly, or not at all for a while, and is
// taken for one that has vanished: a caller, another node, an engine or the store.
func TestSlowPeerIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		bytes, piece int
		pause        time.Duration
	}{
		"5 KB/s":            {36 << 10, 512, 100 * time.Millisecond},
		"1 KB/s":            {12 << 10, 1 << 10, time.Second},
		"a piece each 4 s":  {20 << 10, 8 << 10, 4 * time.Second},
		"nothing for 9 s":   {40 << 10, 40 << 10, 9 * time.Second},
		"an upload at 20KB": {200 << 10, 2 << 10, 100 * time.Millisecond},
	} {
		for direction, dials := range map[string]bool{"accepted": false, "dialled": true} {
			t.Run(name+"/"+direction, func(t *testing.T) {
				t.Parallel()
				connection, peer := livePair(t, dials)
				want := bytes.Repeat([]byte("0123456789abcdef"), test.bytes/16)
				written := make(chan error, 1)
				go func() {
					_, err := connection.Write(want)
					_ = connection.(interface{ CloseWrite() error }).CloseWrite()
					written <- err
				}()
				got, err := readSlowly(peer, test.piece, test.pause)
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("the peer got %d of %d bytes: %v", len(got), len(want), err)
				}
				if err := <-written; err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// vanish makes the kernel drop all that arrives for a connection, unacknowledged.
func vanish(t *testing.T, connection *net.TCPConn) {
	t.Helper()
	raw, err := connection.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	if err != nil || failure != nil {
		t.Fatal(err, failure)
	}
}

// TestVanishedPeerIsNoticed guards against a peer that vanishes without a word and keeps its
// connection, whether its window was open or has long been closed.
func TestVanishedPeerIsNoticed(t *testing.T) {
	for name, test := range map[string]struct {
		written int
		after   time.Duration
		// isRead is set if the peer reads all before it vanishes.
		isRead bool
	}{
		"nothing written":   {0, 0, false},
		"data in flight":    {1, 0, false},
		"window closed":     {16 << 20, 100 * time.Millisecond, false},
		"closed for 3 s":    {16 << 20, 3 * time.Second, false},
		"closed for 8 s":    {16 << 20, 8 * time.Second, false},
		"closed, then idle": {64 << 10, 3 * time.Second, true},
	} {
		for direction, dials := range map[string]bool{"accepted": false, "dialled": true} {
			t.Run(name+"/"+direction, func(t *testing.T) {
				t.Parallel()
				connection, peer := livePair(t, dials)
				if test.after == 0 {
					vanish(t, peer)
				}
				vanished := time.Now()
				written := make(chan error, 1)
				go func() {
					_, err := connection.Write(make([]byte, test.written))
					written <- err
				}()
				if test.after > 0 {
					<-time.After(test.after)
					if test.isRead {
						_, _ = io.ReadFull(peer, make([]byte, test.written))
					}
					vanished = time.Now()
					vanish(t, peer)
				}
				_, err := connection.Read(make([]byte, 1))
				if took := time.Since(vanished); took > silenceBound || took < time.Second {
					t.Errorf("noticed after %v: %v", took, err)
				}
				if timeout, ok := err.(interface{ Timeout() bool }); !ok || !timeout.Timeout() {
					t.Errorf("the read ended with %v", err)
				}
				if err := <-written; (err == nil) != (test.after == 0 || test.isRead) {
					t.Error("the write succeeded")
				}
				if _, err := connection.Write([]byte{1}); err == nil {
					t.Error("a later write succeeded")
				}
			})
		}
	}
}
