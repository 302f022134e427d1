package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// keptConn is a client's connection that is kept open between requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialKept(t *testing.T, pipes *pipeNetwork) keptConn {
	t.Helper()
	connection, err := pipes.dial()
	if err != nil {
		t.Fatal(err)
	}
	return keptConn{connection, bufio.NewReader(connection)}
}

// get sends a request and returns the status of its answer, or 0 if there is none.
func (c keptConn) get(path string) int {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// isOpen reports whether the server keeps the connection open for the next millisecond.
func (c keptConn) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	failure, ok := err.(net.Error) //nolint:errorlint // Peek returns the error of Read.
	_ = c.SetReadDeadline(time.Time{})
	return ok && failure.Timeout()
}

// runWithTimeouts runs a server whose handler blocks on /slow until the test ends.
func runWithTimeouts(t *testing.T, timeouts func() connector.Timeouts, test func(t *testing.T, pipes *pipeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pipes := newPipeNetwork()
		release := make(chan struct{})
		server := connector.NewServer(connector.ServerOptions{
			Name: "test", Network: pipes.network(), Limits: limits, Timeouts: timeouts, Log: logger.Discard(),
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					<-release
				}
			}),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		test(t, pipes)
		close(release)
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestIdleConnectionMakesRoom guards against new connections that wait for seconds because
// idle ones fill the listener: the one that is idle longest is closed.
func TestIdleConnectionMakesRoom(t *testing.T) {
	runWithTimeouts(t, nil, func(t *testing.T, pipes *pipeNetwork) {
		first, second := dialKept(t, pipes), dialKept(t, pipes)
		for _, c := range []keptConn{second, first} {
			if status := c.get("/"); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			time.Sleep(10 * time.Millisecond)
		}
		third := dialKept(t, pipes)
		began := time.Now()
		if status := third.get("/"); status != http.StatusOK || time.Since(began) > time.Millisecond {
			t.Errorf("status %d after %v", status, time.Since(began))
		}
		if !first.isOpen() || second.isOpen() {
			t.Errorf("open: first %v, second, which was idle longest, %v", first.isOpen(), second.isOpen())
		}
	})
}

// TestSilentConnectionMakesRoom guards against a listener that clients fill by connections on
// which they send nothing.
func TestSilentConnectionMakesRoom(t *testing.T) {
	runWithTimeouts(t, nil, func(t *testing.T, pipes *pipeNetwork) {
		silent := []keptConn{dialKept(t, pipes), dialKept(t, pipes)}
		synctest.Wait()
		if status := dialKept(t, pipes).get("/"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		if silent[0].isOpen() {
			t.Error("the first silent connection is still open")
		}
	})
}

// TestSlowHeaderMakesRoom guards against a listener that clients fill by headers that do not end.
func TestSlowHeaderMakesRoom(t *testing.T) {
	runWithTimeouts(t, func() connector.Timeouts { return connector.Timeouts{Header: time.Hour} }, func(t *testing.T, pipes *pipeNetwork) {
		var slow []keptConn
		for range 2 {
			c := dialKept(t, pipes)
			if _, err := io.WriteString(c, "GET / HTT"); err != nil {
				t.Fatal(err)
			}
			slow = append(slow, c)
			time.Sleep(100 * time.Millisecond)
		}
		if early := dialKept(t, pipes); early.isOpen() {
			t.Error("a header that has just begun made room")
		}
		time.Sleep(2 * time.Second)
		if status := dialKept(t, pipes).get("/"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		if slow[0].isOpen() || !slow[1].isOpen() {
			t.Errorf("open: first slow header %v, second %v", slow[0].isOpen(), slow[1].isOpen())
		}
	})
}

// TestBusyConnectionsAreKept guards against a request that is cut, or a new connection that
// hangs, when all connections of a full listener carry requests.
func TestBusyConnectionsAreKept(t *testing.T) {
	runWithTimeouts(t, nil, func(t *testing.T, pipes *pipeNetwork) {
		busy := []keptConn{dialKept(t, pipes), dialKept(t, pipes)}
		for _, c := range busy {
			if _, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if late := dialKept(t, pipes); late.isOpen() {
			t.Error("a third connection waits")
		}
		for n, c := range busy {
			if !c.isOpen() {
				t.Errorf("connection %d was closed with its request", n)
			}
		}
	})
}

// TestTimeoutsChange guards against timeouts of clients that stay as they were when the
// listener was opened.
func TestTimeoutsChange(t *testing.T) {
	var timeouts atomic.Pointer[connector.Timeouts]
	timeouts.Store(&connector.Timeouts{Idle: time.Hour, Header: time.Hour})
	runWithTimeouts(t, func() connector.Timeouts { return *timeouts.Load() }, func(t *testing.T, pipes *pipeNetwork) {
		idle, partial := dialKept(t, pipes), dialKept(t, pipes)
		if status := idle.get("/"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if status := partial.get("/"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		time.Sleep(5 * time.Second)
		if _, err := io.WriteString(partial, "GET / HTT"); err != nil {
			t.Fatal(err)
		}
		timeouts.Store(&connector.Timeouts{Idle: 15 * time.Second, Header: 3 * time.Second})
		time.Sleep(2 * time.Second)
		if !idle.isOpen() || !partial.isOpen() {
			t.Error("a connection was closed before its timeout")
		}
		time.Sleep(2 * time.Second)
		if !idle.isOpen() || partial.isOpen() {
			t.Errorf("after the header's timeout: idle open %v, partial open %v", idle.isOpen(), partial.isOpen())
		}
		time.Sleep(7 * time.Second)
		if idle.isOpen() {
			t.Error("the idle connection is open after its timeout")
		}
	})
}
