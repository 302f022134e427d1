package exchanger_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// TestLongHeadersShareMemory guards against headers of many short fields, each within its limit,
// whose parsed form takes many times their bytes: those of many answers at once stay within the
// memory for them, and usual ones take nothing of it.
func TestLongHeadersShareMemory(t *testing.T) {
	const headers, limit = 50, 4 << 20
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		listener, err := network.Host("10.0.0.2").Listen(t.Context(), string(serverAddress))
		if err != nil {
			t.Fatal(err)
		}
		var fields strings.Builder
		for n := 0; fields.Len() < 40<<10; n++ {
			_, _ = fmt.Fprintf(&fields, "X%d:\r\n", n)
		}
		s := &scriptedServer{answer: func(_, _ int, id string) (string, bool) {
			if id == "usual" {
				return formatAnswer(id, "ok"), false
			}
			return strings.Replace(formatAnswer(id, "ok"), "\r\n\r\n", "\r\n"+fields.String()+"\r\n", 1), false
		}}
		ended := make(chan struct{})
		go func() { s.accept(listener); close(ended) }()
		x := exchanger.New(exchanger.Options{
			Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
				return network.Host("10.0.0.1").Dial(ctx, kind, address)
			},
			EchoHeader: echoHeader, Memory: limiter.NewMemory(limiter.MemoryOptions{Limit: limit}),
		})
		var open []*exchanger.Response
		for range headers {
			response, err := x.Send(t.Context(), serverAddress, exchanger.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{echoHeader: {"long"}}, NewConnection: true})
			if err == nil {
				open = append(open, response)
			}
		}
		if len(open) == 0 || len(open) > limit/(500<<10) {
			t.Errorf("%d answers with long headers are held at once", len(open))
		}
		if body, err := sendRequest(t.Context(), x, "usual"); err != nil || body != "ok" {
			t.Errorf("a usual answer beside long headers: %q, %v", body, err)
		}
		for _, response := range open {
			response.Close()
		}
		response, err := x.Send(t.Context(), serverAddress, exchanger.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{echoHeader: {"long"}}, NewConnection: true})
		if err != nil {
			t.Errorf("a long header after the others: %v", err)
		} else {
			response.Close()
		}
		_ = listener.Close()
		network.Close()
		<-ended
	})
}
