package connector_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
)

// runWithMemory runs a server that answers with the length of a request's body, and has a memory
// of one megabyte for headers and one for bodies.
func runWithMemory(t *testing.T, test func(t *testing.T, pipes *pipeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pipes := newPipeNetwork()
		larger := limits
		larger.MaxConnections, larger.MaxHeaderBytes, larger.MaxBodyBytes = 100, 64<<10, 8<<20
		larger.ReadHeaderTimeout, larger.ReadTimeout = time.Minute, time.Minute
		server := connector.NewServer(connector.ServerOptions{
			Name: "test", Network: pipes.network(), Limits: larger, Log: logger.Discard(),
			Headers: limiter.NewMemory(limiter.MemoryOptions{Limit: 1 << 20}),
			Bodies:  limiter.NewMemory(limiter.MemoryOptions{Limit: 1 << 20}),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = fmt.Fprint(w, len(body))
			}),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		test(t, pipes)
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestUnfinishedHeadersMakeRoom guards against headers without an end, of any size, that fill a
// process's memory: those that have taken longest are closed, and a whole one of 16 KB is served.
func TestUnfinishedHeadersMakeRoom(t *testing.T) {
	runWithMemory(t, func(t *testing.T, pipes *pipeNetwork) {
		var unfinished []keptConn
		for range 30 {
			c := dialKept(t, pipes)
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("x:\r\n", 3800))
			unfinished = append(unfinished, c)
			time.Sleep(time.Millisecond)
		}
		open := 0
		for _, c := range unfinished {
			if c.isOpen() {
				open++
			}
		}
		if open == 0 || open > 4 || unfinished[0].isOpen() || !unfinished[29].isOpen() {
			t.Errorf("%d unfinished headers are open; first %v, last %v", open, unfinished[0].isOpen(), unfinished[29].isOpen())
		}
		whole := dialKept(t, pipes)
		defer func() { _ = whole.Close() }()
		if status := whole.get("/ HTTP/1.1\r\nX-Padding: " + strings.Repeat("x", 16_000) + "\r\nX-Rest:"); status != http.StatusOK {
			t.Errorf("a whole header: status %d", status)
		}
	})
}

// TestHeaderMemoryIsGivenBack guards against memory that is lost with each request or connection.
func TestHeaderMemoryIsGivenBack(t *testing.T) {
	runWithMemory(t, func(t *testing.T, pipes *pipeNetwork) {
		for n := range 40 {
			c := dialKept(t, pipes)
			for range 2 {
				if status := c.get("/ HTTP/1.1\r\nX-Padding: " + strings.Repeat("x", 30_000) + "\r\nX-Rest:"); status != http.StatusOK {
					t.Fatalf("connection %d: status %d", n, status)
				}
			}
			_ = c.Close()
			synctest.Wait()
		}
	})
}

// TestStoppedBodiesOfPeersMakeRoom guards against bodies that a handler reads whole and that fill
// the process's memory: one without room is not read on, and one that stops makes room.
func TestStoppedBodiesOfPeersMakeRoom(t *testing.T) {
	runWithMemory(t, func(t *testing.T, pipes *pipeNetwork) {
		post := func(length, sent int) keptConn {
			c := dialKept(t, pipes)
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n", length)
			_, _ = io.WriteString(c, strings.Repeat("x", sent))
			return c
		}
		for range 4 {
			defer func(c keptConn) { _ = c.Close() }(post(100_000, 99_999))
		}
		time.Sleep(2 * time.Second)
		c := post(250_000, 250_000)
		defer func() { _ = c.Close() }()
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("a whole body beside stopped ones: %+v, %v", response, err)
		}
	})
}
