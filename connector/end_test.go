package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/foxtailspool/foxtailspool/connector"
)

// smallBuffers limits what the kernel holds of the data that a socket has not read.
func smallBuffers(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096)
	})
	return errors.Join(err, failure)
}

// openPair returns both ends of a connection over loopback.
func openPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listening := net.ListenConfig{Control: smallBuffers}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			close(accepted)
			return
		}
		accepted <- connection
	}()
	opened, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, ok := <-accepted
	if !ok {
		t.Fatal("the connection was not accepted")
	}
	t.Cleanup(func() { _, _ = opened.Close(), other.Close() })
	client, server = opened.(*net.TCPConn), other.(*net.TCPConn)
	// What a test writes without waiting fits into it.
	if err := client.SetWriteBuffer(256 << 10); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// TestEndOfConnection guards against the end of a connection that reads as orderly though the peer
// reset the connection or did not receive all that was written.
func TestEndOfConnection(t *testing.T) {
	read := func(t *testing.T, server *net.TCPConn, bytes int64) {
		t.Helper()
		if _, err := io.CopyN(io.Discard, server, bytes); err != nil {
			t.Error(err)
		}
	}
	for _, c := range []struct {
		name string
		// written is how many bytes the client writes.
		written int
		// waits means that the write can't return before the peer ends the connection.
		waits bool
		// end has the peer end the connection.
		end     func(t *testing.T, server *net.TCPConn)
		orderly bool
	}{
		{"closed", 50_000, false, func(t *testing.T, server *net.TCPConn) {
			read(t, server, 50_000)
			_ = server.Close()
		}, true},
		{"closed, nothing written", 0, false, func(_ *testing.T, server *net.TCPConn) { _ = server.Close() }, true},
		{"half closed, all received", 50_000, false, func(t *testing.T, server *net.TCPConn) {
			read(t, server, 50_000)
			_ = server.CloseWrite()
		}, true},
		{"half closed, received afterwards", 100_000, false, func(t *testing.T, server *net.TCPConn) {
			_ = server.CloseWrite()
			received := make(chan struct{})
			go func() { defer close(received); read(t, server, 100_000) }()
			t.Cleanup(func() { <-received })
		}, true},
		{"reset during a write", 64 << 20, true, func(t *testing.T, server *net.TCPConn) {
			read(t, server, 64)
			_ = server.SetLinger(0)
			_ = server.Close()
		}, false},
		{"closed during a write", 64 << 20, true, func(t *testing.T, server *net.TCPConn) {
			read(t, server, 64)
			_ = server.CloseWrite()
			_ = server.Close()
		}, false},
		{"reset after a write", 2000, false, func(_ *testing.T, server *net.TCPConn) {
			_ = server.SetLinger(0)
			_ = server.Close()
		}, false},
		{"half closed, then reset", 2000, false, func(_ *testing.T, server *net.TCPConn) {
			_ = server.CloseWrite()
			_ = server.Close()
		}, false},
		{"half closed, not all received", 100_000, false, func(_ *testing.T, server *net.TCPConn) {
			_ = server.CloseWrite()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			opened, server := openPair(t)
			client := connector.VerifyEnd(opened)
			written := make(chan error, 1)
			write := func() {
				_, err := client.Write(make([]byte, c.written))
				written <- err
			}
			if _, err := server.Write([]byte("part")); err != nil {
				t.Fatal(err)
			}
			if c.waits {
				go write()
			} else {
				write()
				if err := <-written; err != nil {
					t.Fatal(err)
				}
			}
			c.end(t, server)
			if c.waits {
				if err := <-written; err == nil {
					t.Fatal("the write did not wait")
				}
			}
			content, err := io.ReadAll(client)
			if (err == nil) != c.orderly || c.orderly && string(content) != "part" {
				t.Errorf("%q, %v", content, err)
			}
			// The kernel has reported the reset, and tells the next read of the end only.
			if _, again := client.Read(make([]byte, 1)); errors.Is(again, io.EOF) != c.orderly {
				t.Errorf("read again: %v", again)
			}
		})
	}
}

// TestEndWaitsForWrite guards against the end of a connection that is judged while a write is in
// progress, whose failure is not known yet.
func TestEndWaitsForWrite(t *testing.T) {
	opened, server := openPair(t)
	client := connector.VerifyEnd(opened)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		_, _ = client.Write(make([]byte, 64<<20))
	}()
	if _, err := io.CopyN(io.Discard, server, 64); err != nil {
		t.Fatal(err)
	}
	_ = server.CloseWrite()
	ended := make(chan error, 1)
	go func() {
		_, err := client.Read(make([]byte, 1))
		ended <- err
	}()
	_ = server.Close()
	if err := <-ended; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the connection ended in order: %v", err)
	}
	<-ctx.Done()
}
