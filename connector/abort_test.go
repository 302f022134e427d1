package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// noteAddress returns a network that tells the address of its last listener.
func noteAddress(network connector.Network) (noting connector.Network, address func() string) {
	var last net.Listener
	listen := network.Listen
	network.Listen = func(ctx context.Context, at string) (listener net.Listener, err error) {
		last, err = listen(ctx, at)
		return last, err
	}
	return network, func() string { return last.Addr().String() }
}

// TestAbortedAnswerOfHTTP10 guards against an aborted answer that looks complete to a client of
// HTTP/1.0, for which only the end of the connection marks that of an answer without a length.
func TestAbortedAnswerOfHTTP10(t *testing.T) {
	for _, aborts := range []bool{false, true} {
		network, address := noteAddress(connector.NewNetwork())
		server := connector.NewServer(connector.ServerOptions{
			Name: "test", Address: "127.0.0.1:0", Network: network, Limits: limits, Log: logger.Discard(),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				if err := http.NewResponseController(w).Flush(); err != nil || aborts {
					panic(http.ErrAbortHandler)
				}
			}),
		})
		ctx, stop := context.WithCancel(t.Context())
		if err := server.Listen(ctx); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		client, err := (&net.Dialer{}).DialContext(ctx, "tcp", address())
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(client, "GET / HTTP/1.0\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(client)
		if (err != nil) != aborts || !aborts && !strings.HasSuffix(string(answer), "part") {
			t.Errorf("aborted: %v, %q, %v", aborts, answer, err)
		}
		_ = client.Close()
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// TestAbortedAnswerOfPeer checks that an aborted answer fails in the transports to other nodes,
// over HTTP/2 and HTTP/1.
func TestAbortedAnswerOfPeer(t *testing.T) {
	for name, ping := range map[string]time.Duration{"HTTP/2": time.Second, "HTTP/1": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pipes, stop := serve(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				})
				client := &http.Client{Transport: pipes.network().Transport(connector.Limits{
					DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1, PingInterval: ping,
				})}
				response := get(t, client)
				if body, err := io.ReadAll(response.Body); err == nil || string(body) != "part" {
					t.Errorf("%q, %v", body, err)
				}
				_ = response.Body.Close()
				client.CloseIdleConnections()
				if err := stop(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
