package server_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
)

// When the route of a resent call no longer exists, the outcome must be unknown
// rather than not-run, because the call may have run while the route existed.
func TestResendWithoutRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		platform, stopPlatform := startPlatform(t, network)
		putCallTables(t, platform)
		stopNode := startNodeAt(t, network, "10.0.0.1", nil)
		time.Sleep(10 * time.Second)
		transport := network.Host("10.8.8.8").Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1})
		for firstHeader, want := range map[string]string{"true": "not-run", "": "unknown"} {
			request, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:8080/visits", strings.NewReader("visit"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Idempotency-Key", "visit-1")
			request.Header.Set("Idempotency-Key-First", firstHeader)
			response, err := transport.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			var body struct {
				Error struct{ Outcome, Reason string }
			}
			if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
				t.Error(err)
			}
			_ = response.Body.Close()
			if body.Error.Outcome != want || body.Error.Reason != "no-route" {
				t.Errorf("first %q: %+v", firstHeader, body.Error)
			}
		}
		stopNode()
		stopPlatform()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}
