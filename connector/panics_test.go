package connector_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// TestPanicOfHandlerIsLoggedAndCounted guards against a fault that only closes connections: that
// of review/10 was logged at debug level.
func TestPanicOfHandlerIsLoggedAndCounted(t *testing.T) {
	for value, wantCount := range map[any]int64{"fault": 1, http.ErrAbortHandler: 0} {
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			scope := tally.NewTestScope("", nil)
			pipes := newPipeNetwork()
			server := connector.NewServer(connector.ServerOptions{
				Name: "test", Network: pipes.network(), Limits: limits, RequestHeader: "X-Id", Scope: scope,
				Log: logger.New(&log, logrus.ErrorLevel, nil),
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/fault" {
						panic(value)
					}
				}),
			})
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- server.Run(ctx) }()
			client := newClient(pipes)
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://test/fault", nil)
			request.Header.Set("X-Id", "request-7")
			if response, err := client.Do(request); err == nil {
				t.Errorf("%v: status %d", value, response.StatusCode)
				_ = response.Body.Close()
			}
			if response := get(t, client); response.StatusCode != http.StatusOK {
				t.Errorf("%v: the next request gets status %d", value, response.StatusCode)
			} else {
				_ = response.Body.Close()
			}
			client.CloseIdleConnections()
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			var counted int64
			for _, counter := range scope.Snapshot().Counters() {
				counted += counter.Value()
			}
			if logged := strings.Contains(log.String(), "request-7"); counted != wantCount || logged != (wantCount > 0) {
				t.Errorf("%v: %d panics counted, log %q", value, counted, log.String())
			}
		})
	}
}
