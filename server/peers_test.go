package server

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/logger"
)

// seenCall is a call as the peer sees it. from is the caller's address and port.
type seenCall struct {
	protocol string
	from     string
}

// Calls over the pooled transport must share one HTTP/2 connection. Calls over
// unpooled transports, as probes use them, must be HTTP/1, each on a new connection.
func TestPeerCallsShareAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		var seen []seenCall
		peer := connector.NewServer(connector.ServerOptions{
			Address: "10.0.0.2:8081", Network: network.Host("10.0.0.2"), Log: logger.Discard(),
			Limits: connector.ServerLimits{
				ReadHeaderTimeout: time.Second, ReadTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Minute, FinishTimeout: time.Second,
				MaxConnections: 10, MaxStreams: 10, MaxHeaderBytes: 1 << 12, MaxBodyBytes: 1 << 12,
			},
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				seen = append(seen, seenCall{r.Proto, r.RemoteAddr})
			}),
		})
		if err := peer.Listen(t.Context()); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		ctx, stop := context.WithCancel(t.Context())
		go func() { ended <- peer.Run(ctx) }()
		s := &Server{options: Options{Network: network.Host("10.0.0.1")}}
		s.options.Settings.PeerCalls = configurator.Client{
			DialTimeout: time.Second, HeaderTimeout: time.Second, ProgressTimeout: time.Second, IdleTimeout: time.Minute,
			PingInterval: time.Second, MaxConnectionsPerHost: 10,
		}
		for _, transport := range []http.RoundTripper{s.peerTransport(), s.peerTransport(), s.newUnpooledPeerTransport(), s.newUnpooledPeerTransport()} {
			callPeer(t, transport)
			// Longer than the listener's timeouts for a request's header and body.
			time.Sleep(4 * time.Second)
		}
		if len(seen) != 4 || seen[0].protocol != "HTTP/2.0" || seen[1] != seen[0] || seen[2].protocol != "HTTP/1.1" || seen[3].protocol != "HTTP/1.1" {
			t.Errorf("the peer saw %v", seen)
		}
		network.Close()
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func callPeer(t *testing.T, transport http.RoundTripper) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://10.0.0.2:8081/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
