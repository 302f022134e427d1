package starter_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// idleTimeout is the time for which the fleet's configuration lets callers stay idle, and
// idleCheckInterval how much later at most a node closes their connections.
const (
	idleTimeout       = 15 * time.Second
	idleCheckInterval = time.Second
)

// openIdle opens a connection to a node within a second, sends one request on it and leaves it
// open.
func (f *fleet) openIdle(t *testing.T, address identifier.Address, target string) (connection net.Conn, status int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	connection, err := f.network.Host(callerIP).Dial(ctx, "tcp", string(address))
	if err != nil {
		return nil, 0
	}
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	defer func() { _ = connection.SetDeadline(time.Time{}) }()
	_, _ = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: attempt-%d\r\nX-Deadline-Ms: 1000\r\n\r\n", target, routeHost, f.sentCount.Add(1))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return connection, 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return connection, response.StatusCode
}

// callerTargets returns the addresses of node 0 for callers, each with a request.
func (f *fleet) callerTargets() map[identifier.Address]string {
	settings := f.nodes[0].settings
	return map[identifier.Address]string{
		settings.CallerAddress:    "/look/7",
		settings.DirectoryAddress: "/v1/resolve?name=" + routeHost + "&region=r&zone=south",
	}
}

// TestIdleCallersLeaveRoom guards against a ready node that takes no new connection, because
// callers that sent one request each stay connected.
func TestIdleCallersLeaveRoom(t *testing.T) {
	const callers = 2500
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for address, target := range f.callerTargets() {
			failed := 0
			var open []net.Conn
			for range callers {
				connection, status := f.openIdle(t, address, target)
				if status != http.StatusOK {
					failed++
				}
				open = append(open, connection)
			}
			if failed > 0 {
				t.Errorf("%s: %d of %d callers got no answer on a new connection", address, failed, callers)
			}
			for _, connection := range open {
				if connection != nil {
					_ = connection.Close()
				}
			}
		}
	})
}

// TestIdleTimeoutIsConfigured guards against connections that are kept open for a time of the
// node's own, or are closed while the configuration lets callers use them.
func TestIdleTimeoutIsConfigured(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for address, target := range f.callerTargets() {
			connection, status := f.openIdle(t, address, target)
			if status != http.StatusOK {
				t.Fatalf("%s: status %d", address, status)
			}
			began := time.Now()
			_ = connection.SetReadDeadline(began.Add(10 * idleTimeout))
			_, err := connection.Read(make([]byte, 1))
			if lasted := time.Since(began); lasted < idleTimeout || lasted > idleTimeout+2*idleCheckInterval {
				t.Errorf("%s: an idle connection ended after %v: %v", address, lasted, err)
			}
			_ = connection.Close()
		}
	})
}

// TestHeaderLimitsAreConfigured guards against limits of a request's header that are read from
// the configuration and not enforced: its size, and the time that it may take.
func TestHeaderLimitsAreConfigured(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for bytes, want := range map[int]int{15000: http.StatusOK, 17000: http.StatusRequestHeaderFieldsTooLarge} {
			c := lookUp()
			c.header = http.Header{"X-Padding": {fmt.Sprintf("%0*d", bytes, 0)}}
			if got := f.send(t.Context(), 0, c); got.status != want {
				t.Errorf("a header with a field of %d bytes: status %d, want %d", bytes, got.status, want)
			}
		}
		connection, err := f.network.Host(callerIP).Dial(t.Context(), "tcp", string(f.nodes[0].settings.CallerAddress))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		began := time.Now()
		for err == nil && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(connection, "G")
		}
		if lasted := time.Since(began); lasted < 3*time.Second || lasted > 3*time.Second+2*idleCheckInterval {
			t.Errorf("a header that does not end was read for %v", lasted)
		}
	})
}

// TestBodyIsAwaitedUntilItsDeadline guards against a body that stops on its way and holds its
// connection and memory for a minute: its caller is answered when it stops waiting.
func TestBodyIsAwaitedUntilItsDeadline(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		connection, err := f.network.Host(callerIP).Dial(t.Context(), "tcp", string(f.nodes[0].settings.CallerAddress))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		began := time.Now()
		_, _ = fmt.Fprintf(connection, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 1000\r\nContent-Length: 90000\r\n\r\ntwo", routeHost)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if took := time.Since(began); err != nil || response.StatusCode != http.StatusServiceUnavailable || took < time.Second || took > 2*time.Second {
			t.Errorf("%v, %v after %v", response, err, took)
		}
	})
}

// TestRestOfRefusedBodyIsNoRequest guards against a request that is smuggled in the body of
// another one: what is left of a refused body must never be read as the next request, also if
// it comes after the node has stopped to discard it.
func TestRestOfRefusedBodyIsNoRequest(t *testing.T) {
	const smuggled = "POST /book/1 HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Attempt-Id: attempt-smuggled\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"length, slow":   "X-Deadline-Ms: 1000\r\nContent-Length: 90000\r\n\r\n",
		"chunked, slow":  "X-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n",
		"length, no id":  "X-Attempt-Id: second\r\nContent-Length: 90000\r\n\r\n",
		"chunked, no id": "X-Attempt-Id: second\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n",
		"too long":       "X-Deadline-Ms: 9000\r\nContent-Length: 900000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				connection, err := f.network.Host(callerIP).Dial(t.Context(), "tcp", string(f.nodes[0].settings.CallerAddress))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = connection.Close() }()
				_, _ = fmt.Fprintf(connection, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: attempt-first\r\n%s", routeHost, text)
				var answers bytes.Buffer
				read := make(chan struct{})
				go func() { _, _ = io.Copy(&answers, connection); close(read) }()
				for range 8 {
					time.Sleep(time.Second)
					_, _ = io.WriteString(connection, smuggled)
				}
				_ = connection.Close()
				<-read
				if count := strings.Count(answers.String(), "HTTP/1.1 "); count != 1 {
					t.Errorf("%d answers to one request: %s", count, answers.String())
				}
				if ran, ids, _ := f.findRuns("attempt-smuggled"); ran > 0 {
					t.Errorf("a request inside a body ran at %v", ids)
				}
			})
		})
	}
}
