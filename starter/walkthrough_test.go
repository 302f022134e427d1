package starter_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/explainer"
)

// TestTimelinesOfFailedRequests reproduces the failed requests that
// docs/OPERATIONS.md explains, and checks that the logs alone lead from the request's ID
// to its cause. With -v it prints the timelines of that page.
func TestTimelinesOfFailedRequests(t *testing.T) {
	t.Run("refused although engines look free", func(t *testing.T) {
		checkTimeline(t, func(t *testing.T, f *fleet) string {
			return f.sendBurst(t)
		}, 2032, 6201)
	})
	t.Run("answer cut in the middle", func(t *testing.T) {
		checkTimeline(t, func(t *testing.T, f *fleet) string {
			for _, id := range f.instanceIDs("llm", "decode") {
				f.instances[id].SetFaults(emulator.InstanceFaults{Truncate: 1})
			}
			got := f.send(t.Context(), 0, quote())
			if !got.truncated {
				t.Errorf("%+v", got)
			}
			return got.attempt
		}, 6203, 6202)
	})
	t.Run("booking reported unknown", func(t *testing.T) {
		checkTimeline(t, func(t *testing.T, f *fleet) string {
			for _, id := range f.instanceIDs("desk", "") {
				f.instances[id].SetFaults(emulator.InstanceFaults{LoseAnswers: 1})
			}
			got := f.send(t.Context(), 0, booking())
			if got.status != http.StatusBadGateway {
				t.Errorf("%+v", got)
			}
			return got.attempt
		}, 6203, 6207, 6202)
	})
	t.Run("account over its quota", func(t *testing.T) {
		checkTimeline(t, func(t *testing.T, f *fleet) string {
			f.configureAccounts(map[string]any{"name": "lamps", "apiKeys": []string{"key"}, "unit": "token_stream", "ratePerS": 2000, "burst": 3000})
			time.Sleep(2*applyTimeout + 10*time.Second)
			for range 20 {
				if got := f.send(t.Context(), 0, withKey(quote(), "key")); got.status == http.StatusTooManyRequests {
					return got.attempt
				}
			}
			t.Error("no request was refused")
			return ""
		}, 6403, 6201, 6402)
	})
}

// logBuffer collects the logs of several nodes; it is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

func (l *logBuffer) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.text.Reset()
}

// checkTimeline runs a scenario that returns a request's ID, and checks that the request's
// timeline has the given events in this order.
func checkTimeline(t *testing.T, scenario func(t *testing.T, f *fleet) string, events ...int) {
	t.Helper()
	var logs logBuffer
	var request string
	runFleetWithLogs(t, 2, &logs, func(t *testing.T, f *fleet) { request = scenario(t, f) })
	builder := explainer.New(request)
	if err := builder.Read(strings.NewReader(logs.String())); err != nil {
		t.Fatal(err)
	}
	timeline := builder.Timeline()
	var text strings.Builder
	if err := explainer.Print(&text, timeline); err != nil {
		t.Fatal(err)
	}
	t.Log("request " + request + "\n" + text.String())
	for _, line := range timeline {
		if len(events) > 0 && line.Event == events[0] {
			events = events[1:]
		}
	}
	if len(events) > 0 {
		t.Errorf("the timeline lacks event %d, or has it out of order", events[0])
	}
}

// sendBurst sends more large requests at once than the engines admit, and returns the
// alphabetically last attempt ID of the rejected requests.
func (f *fleet) sendBurst(t *testing.T) string {
	const burst = 20
	largeQuote := quote()
	largeQuote.header = largeQuote.header.Clone()
	largeQuote.header.Set("X-Token-Counts", "6000,1500")
	largeQuote.header.Set("X-Length-Hint", "1500")
	var mutex sync.Mutex
	var rejectedIDs []string
	var group sync.WaitGroup
	for n := range burst {
		time.Sleep(10 * time.Millisecond)
		// Identical requests would count as retries by one caller.
		distinct := largeQuote
		distinct.path = fmt.Sprintf("/quote/%d", n)
		group.Go(func() {
			got := f.send(context.Background(), n%2, distinct)
			f.checkResponse(t, got, true)
			mutex.Lock()
			defer mutex.Unlock()
			if got.status == http.StatusServiceUnavailable {
				rejectedIDs = append(rejectedIDs, got.attempt)
			}
		})
	}
	group.Wait()
	slices.Sort(rejectedIDs)
	if len(rejectedIDs) == 0 {
		t.Fatal("no request was rejected")
	}
	return rejectedIDs[len(rejectedIDs)-1]
}
