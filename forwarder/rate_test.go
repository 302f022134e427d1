package forwarder

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
)

// TestInvalidRateIsLoggedOnceAProcess guards against a log line for each answer of a back end
// that names an invalid rate, and against none after its process was replaced.
func TestInvalidRateIsLoggedOnceAProcess(t *testing.T) {
	b := newBalancer(unlimited{}, tally.NoopScope)
	first := Backend{Name: "m", Started: time.UnixMilli(1)}
	second := Backend{Name: "m", Started: time.UnixMilli(2)}
	for _, step := range []struct {
		backend Backend
		want    bool
	}{{first, true}, {first, false}, {second, true}, {second, false}} {
		b.countSent(step.backend)
		if got := b.firstInvalidRate(step.backend); got != step.want {
			t.Errorf("process of %v: first is %t", step.backend.Started, got)
		}
	}
}

// TestInvalidCostIsLoggedOnce guards against a log line for each request of a caller that names
// numbers out of bounds.
func TestInvalidCostIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		fleet := &fakeFleet{table: testTable()}
		f := New(Options{
			Table: func() *Table { return fleet.table }, Placer: fleet, Backends: fleet, Reacher: fleet,
			Isolator: isolator.New(isolator.Options{}), Budgets: limiter.New(limiter.Options{Burst: 10}), Log: logger.New(&log, logrus.InfoLevel, nil),
		})
		for range 3 {
			reply, _ := f.Forward(t.Context(), &Request{Attempt: "a", Path: "/book", Arrived: time.Now(), Cost: Cost{Invalid: true}})
			reply.Close()
		}
		if count := strings.Count(log.String(), "invalid number"); count != 1 {
			t.Errorf("%d lines", count)
		}
	})
}

// TestFrequentEventIsLoggedOnceASpan guards against an event that is never logged again, or for
// each request.
func TestFrequentEventIsLoggedOnceASpan(t *testing.T) {
	var turn logTurn
	began := time.Now()
	for _, step := range []struct {
		at   time.Duration
		want bool
	}{{0, true}, {time.Millisecond, false}, {logSpan - 1, false}, {logSpan, true}, {logSpan + time.Second, false}, {5 * logSpan, true}} {
		if got := turn.isDue(began.Add(step.at)); got != step.want {
			t.Errorf("at %v: %t", step.at, got)
		}
	}
}
