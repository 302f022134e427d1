package connector_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

var limits = connector.ServerLimits{
	ReadHeaderTimeout: time.Second, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second, IdleTimeout: time.Minute,
	FinishTimeout: 10 * time.Second, MaxConnections: 2, MaxStreams: 10, MaxHeaderBytes: 4096, MaxBodyBytes: 64,
}

// serve runs a server over pipes; the returned function stops it and waits.
func serve(t *testing.T, handler http.HandlerFunc) (*pipeNetwork, func() error) {
	t.Helper()
	return serveTLS(t, nil, handler)
}

func serveTLS(t *testing.T, certificates *connector.TLS, handler http.HandlerFunc) (*pipeNetwork, func() error) {
	t.Helper()
	pipes := newPipeNetwork()
	server := connector.NewServer(connector.ServerOptions{
		Name: "test", Network: pipes.network(), Limits: limits, TLS: certificates, Handler: handler, Log: logger.Discard(),
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	return pipes, func() error {
		stop()
		return <-ended
	}
}

func newClient(pipes *pipeNetwork) *http.Client {
	transport := pipes.network().Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 4})
	return &http.Client{Transport: transport}
}

func get(t *testing.T, client *http.Client) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://test/", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// A stream that lasts longer than the read and write timeouts is not aborted, even if
// the server shuts down meanwhile.
func TestStreamOutlivesTimeoutsAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes, stop := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			for range 8 {
				time.Sleep(time.Second)
				if r.Context().Err() != nil {
					return
				}
				_, _ = io.WriteString(w, "t")
				_ = http.NewResponseController(w).Flush()
			}
		})
		client := newClient(pipes)
		response, err := client.Post("http://test/", "text/plain", strings.NewReader("prompt"))
		if err != nil {
			t.Fatal(err)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "tttttttt" {
			t.Errorf("got %q, %v", body, err)
		}
		client.CloseIdleConnections()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

func TestBodyLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := make(chan error, 1)
		pipes, stop := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			failures <- err
		})
		client := newClient(pipes)
		response, err := client.Post("http://test/", "text/plain", bytes.NewReader(make([]byte, 65)))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		var tooLarge *http.MaxBytesError
		if err := <-failures; !errors.As(err, &tooLarge) {
			t.Errorf("oversized body: %v", err)
		}

		silent, writer := io.Pipe()
		go func() { _, _ = client.Post("http://test/", "text/plain", silent) }()
		if err := <-failures; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("silent body: %v", err)
		}
		_ = writer.Close()
		client.CloseIdleConnections()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

// A caller that does not read its answer blocks the handler only for the write
// timeout.
func TestWriteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := make(chan error, 1)
		pipes, stop := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			failures <- err
		})
		connection, err := pipes.dial()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
		if err := <-failures; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("unread answer: %v", err)
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestLimitProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		pipes, stop := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "t")
			_ = http.NewResponseController(w).Flush()
			<-release
		})
		client := newClient(pipes)
		client.Transport = connector.WithStallTimeout(client.Transport, time.Second)
		response := get(t, client)
		body, err := io.ReadAll(response.Body)
		if string(body) != "t" || !errorx.IsOfType(err, connector.Stalled) {
			t.Errorf("got %q, %v", body, err)
		}
		_ = response.Body.Close()
		close(release)
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

// An unanswered ping closes a dead HTTP/2 connection, and the next request opens a
// new one.
func TestPingClosesUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes, stop := serve(t, func(http.ResponseWriter, *http.Request) {})
		first := &blackholeConn{}
		network := pipes.network()
		dial := network.Dial
		network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
			connection, err := dial(ctx, kind, address)
			if first.Conn != nil || err != nil {
				return connection, err
			}
			first.Conn = connection
			return first, nil
		}
		transport := network.Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 4, PingInterval: time.Second})
		client := &http.Client{Transport: transport}
		_ = get(t, client).Body.Close()
		first.dropWrites.Store(true)
		time.Sleep(3 * time.Second)
		_ = get(t, client).Body.Close()
		if !first.closed.Load() {
			t.Error("the silent connection is still open")
		}
		client.CloseIdleConnections()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}
