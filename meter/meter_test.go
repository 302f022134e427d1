package meter_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/meter"
)

// TestExposition checks that counts still reach the handler when the scope closes
// before its first reporting interval ends.
func TestExposition(t *testing.T) {
	m := meter.New(meter.Options{Node: "entry-1", DataCentre: "plovdiv", Interval: time.Hour, Log: logger.Discard()})
	m.Scope.Tagged(map[string]string{"rank": "urgent"}).Counter("requests").Inc(3)
	m.Scope.Timer("latency").Record(2 * time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
	answer := httptest.NewRecorder()
	m.Handler.ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`foxtailspool_requests{data_centre="plovdiv",node="entry-1",rank="urgent"} 3`,
		`foxtailspool_latency_bucket{data_centre="plovdiv",node="entry-1",le="0.0025"} 1`,
		"go_goroutines",
	} {
		if !strings.Contains(answer.Body.String(), want) {
			t.Errorf("%q is missing from\n%s", want, answer.Body.String())
		}
	}
}
