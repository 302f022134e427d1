package forwarder

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// TestStreamTimers checks that a stream records the time to its first event and its
// longest pause by rank, and that a rank above the maximum gets the maximum's label.
func TestStreamTimers(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	began := time.Unix(100, 0)
	c := &call{Forwarder: &Forwarder{metrics: newMetrics(scope)}, request: &Request{Arrived: began}, route: Route{Rank: 99}}
	r := &Reply{call: c}
	for i, after := range []time.Duration{200, 250, 600, 640} {
		r.recordEventTime(began.Add(after*time.Millisecond), i)
	}
	c.metrics.recordLongestPause(c.route.Rank, r.longestPause)
	want := map[string]time.Duration{"forwarder.first-event": 200 * time.Millisecond, "forwarder.longest-pause": 350 * time.Millisecond}
	for _, timer := range scope.Snapshot().Timers() {
		if timer.Tags()["rank"] != "9" || len(timer.Values()) != 1 || timer.Values()[0] != want[timer.Name()] {
			t.Errorf("%s %v %v", timer.Name(), timer.Tags(), timer.Values())
		}
		delete(want, timer.Name())
	}
	if len(want) > 0 {
		t.Errorf("not counted: %v", want)
	}
}
