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
)

// TestSlowServerGetsItsCall guards against a back end, the store or another node that reads nothing of
// a call for 3 s and is taken for one that has vanished. What bounds the call is its own time.
func TestSlowServerGetsItsCall(t *testing.T) {
	listening := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(3 * time.Second)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	address, body := listener.Addr().String(), bytes.Repeat([]byte("x"), 16<<20)
	network := connector.NewNetworkWithLiveness(connector.Liveness{UnacknowledgedTimeout: 2 * time.Second})
	call := func(pingInterval time.Duration) func(ctx context.Context) ([]byte, error) {
		client := connector.NewClient(network.Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 2, PingInterval: pingInterval}))
		return func(ctx context.Context) ([]byte, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
			if err != nil {
				return nil, err
			}
			response, err := client.Do(request)
			if err != nil {
				return nil, err
			}
			defer func() { _ = response.Body.Close() }()
			return io.ReadAll(response.Body)
		}
	}
	x := exchanger.New(exchanger.Options{Dial: network.Dial})
	for name, send := range map[string]func(ctx context.Context) ([]byte, error){
		"back end": func(ctx context.Context) ([]byte, error) {
			response, err := x.Send(ctx, identifier.Address(address), exchanger.Request{Method: http.MethodPost, Target: "/", Host: address, Header: http.Header{}, Body: body})
			if err != nil {
				return nil, err
			}
			return response.ReadAll(1 << 10)
		},
		"store":        call(0),
		"another node": call(500 * time.Millisecond),
	} {
		for timeout, want := range map[time.Duration]string{20 * time.Second: fmt.Sprint(len(body)), 2 * time.Second: ""} {
			t.Run(fmt.Sprint(name, " in ", timeout), func(t *testing.T) {
				t.Parallel()
				ctx, stop := context.WithTimeout(context.WithoutCancel(t.Context()), timeout)
				defer stop()
				began := time.Now()
				got, err := send(ctx)
				if string(got) != want || (err == nil) != (want != "") || time.Since(began) > timeout+time.Second {
					t.Errorf("%q after %v: %v", got, time.Since(began), err)
				}
			})
		}
	}
}
