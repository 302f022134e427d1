package exchanger_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// readBodySlowly is an HTTP handler that reads nothing for 3 s, and then all.
func readBodySlowly(w http.ResponseWriter, r *http.Request) {
	time.Sleep(3 * time.Second)
	n, _ := io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprint(w, n)
}

// TestSlowServerGetsItsCall guards against a back end, the store or another node that reads a call
// slowly and is taken for one that has vanished. What bounds the call is its own time.
func TestSlowServerGetsItsCall(t *testing.T) {
	network := connector.NewNetworkWithLiveness(connector.Liveness{UnacknowledgedTimeout: 2 * time.Second})
	listening := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	served := connector.Network{Dial: network.Dial, Listen: func(context.Context, string) (net.Listener, error) { return listener, nil }}
	server := connector.NewServer(connector.ServerOptions{
		Name: "slow", Network: served, Log: logger.Discard(), Handler: http.HandlerFunc(readBodySlowly), Limits: connector.ServerLimits{
			ReadHeaderTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute,
			FinishTimeout: time.Second, MaxConnections: 100, MaxStreams: 10, MaxHeaderBytes: 4096, MaxBodyBytes: 64 << 20,
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	body := bytes.Repeat([]byte("x"), 16<<20)
	call := func(limits connector.Limits) func(ctx context.Context) (string, error) {
		limits.DialTimeout, limits.IdleTimeout, limits.MaxConnectionsPerHost = time.Second, time.Second, 2
		client := connector.NewClient(network.Transport(limits))
		return func(ctx context.Context) (string, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
			if err != nil {
				return "", err
			}
			response, err := client.Do(request)
			if err != nil {
				return "", err
			}
			defer func() { _ = response.Body.Close() }()
			content, err := io.ReadAll(response.Body)
			return string(content), err
		}
	}
	x := exchanger.New(exchanger.Options{Dial: network.Dial})
	t.Run("calls", func(t *testing.T) {
		for name, send := range map[string]func(ctx context.Context) (string, error){
			"back end": func(ctx context.Context) (string, error) {
				response, err := x.Send(ctx, identifier.Address(address), exchanger.Request{Method: http.MethodPost, Target: "/", Host: address, Header: http.Header{}, Body: body})
				if err != nil {
					return "", err
				}
				content, err := response.ReadAll(1 << 10)
				return string(content), err
			},
			"store":        call(connector.Limits{}),
			"another node": call(connector.Limits{PingInterval: 500 * time.Millisecond}),
		} {
			for timeout, want := range map[time.Duration]string{20 * time.Second: fmt.Sprint(len(body)), 2 * time.Second: ""} {
				t.Run(fmt.Sprint(name, " in ", timeout), func(t *testing.T) {
					t.Parallel()
					ctx, stop := context.WithTimeout(ctx, timeout)
					defer stop()
					began := time.Now()
					got, err := send(ctx)
					if got != want || (err == nil) != (want != "") || time.Since(began) > timeout+time.Second {
						t.Errorf("%q after %v: %v", got, time.Since(began), err)
					}
				})
			}
		}
	})
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
