package starter_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// quoteTimeout is the timeout of the fleet's routes.
	quoteTimeout = 3 * time.Second
	// timeoutSlack is how much later than its timeout a request may be answered.
	timeoutSlack = 500 * time.Millisecond
)

// resumableQuotes returns a route whose streams may run at a second engine.
func resumableQuotes() map[string]any {
	return map[string]any{
		"name": "resumable", "host": routeHost, "pathPrefix": "/resumable/", "routeKind": "streaming", "timeoutMs": 3000, "resumable": true,
		"targetLatencyMs": 800, "priority": 0, "service": "llm", "maxAttempts": 2, "gapAimMs": 300,
	}
}

// TestStreamWithoutEventIsAnsweredAtItsTimeout guards against a request that ends without an
// answer because its engine has sent the head of a stream and no event by the route's timeout,
// or by the caller's deadline.
func TestStreamWithoutEventIsAnsweredAtItsTimeout(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.setFaults(emulator.InstanceFaults{HeadLead: 20 * time.Second})
		for _, deadline := range []time.Duration{quoteTimeout / 2, 10 * time.Second} {
			c := quote()
			c.deadline = deadline
			began := time.Now()
			got := f.send(t.Context(), 0, c)
			if late := time.Since(began) - min(deadline, quoteTimeout); got.status != http.StatusGatewayTimeout || got.truncated || late > timeoutSlack {
				t.Errorf("deadline %v: status %d, truncated %v, %v late", deadline, got.status, got.truncated, late)
			}
			if ran, _, _ := f.findRuns(got.attempt); ran != 1 {
				t.Errorf("ran %d times", ran)
			}
		}
	})
}

// TestEarlyHeadDelaysNoEvent checks that the events of a stream whose head came first reach the
// caller whole.
func TestEarlyHeadDelaysNoEvent(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.setFaults(emulator.InstanceFaults{HeadLead: time.Second})
		got := f.send(t.Context(), 0, quote())
		f.checkResponse(t, got, true)
		if got.status != http.StatusOK || got.truncated || countEvents(got.body) != 10 {
			t.Errorf("%+v", got)
		}
	})
}

// TestStreamCutAfterItsHead guards against a caller whose connection is closed without an
// answer because its engine broke the stream off before the first event: a stream that may run
// again is answered by another engine, any other one with 502.
func TestStreamCutAfterItsHead(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.configure("desk", resumableQuotes())
		time.Sleep(applyTimeout)
		const requests = 4
		for path, wantFailed := range map[string]int{"/quote/1": 1, "/resumable/1": 0} {
			f.instances[f.instanceIDs("llm", "decode")[0]].SetFaults(emulator.InstanceFaults{CutHeads: 1})
			failed, runs := 0, 0
			for range requests {
				c := quote()
				c.path = path
				got := f.send(t.Context(), 0, c)
				if got.status == http.StatusBadGateway {
					failed++
				} else if got.status != http.StatusOK || countEvents(got.body) != 10 {
					t.Errorf("%s: status %d with %d events", path, got.status, countEvents(got.body))
				}
				ran, _, _ := f.findRuns(got.attempt)
				runs += ran
				time.Sleep(time.Second)
			}
			if want := requests + 1 - wantFailed; failed != wantFailed || runs != want {
				t.Errorf("%s: %d of %d requests failed, which ran %d times, want %d and %d", path, failed, requests, runs, wantFailed, want)
			}
		}
	})
}

// TestNoiseBeforeFirstEvent guards against bytes without end and without an event that are
// passed on as the beginning of a stream, or held until its deadline.
func TestNoiseBeforeFirstEvent(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.setFaults(emulator.InstanceFaults{EndlessStreams: 1})
		began := time.Now()
		got := f.send(t.Context(), 0, quote())
		if got.status != http.StatusBadGateway || got.truncated || time.Since(began) > endlessTimeout {
			t.Errorf("status %d, truncated %v after %v", got.status, got.truncated, time.Since(began))
		}
	})
}

// TestStoppingNodeAnswersStreamWithoutEvent guards against a connection that a stopping node
// closes without an answer while its engine has sent only the head of a stream.
func TestStoppingNodeAnswersStreamWithoutEvent(t *testing.T) {
	runDrain(t, func(d *drainTest) {
		for _, id := range d.instanceIDs("llm", "decode") {
			d.instances[id].SetFaults(emulator.InstanceFaults{HeadLead: time.Minute})
		}
		c := quote()
		c.path, c.deadline = "/slow-quote/1", 14*time.Second
		got := d.send(d.t.Context(), 1, c)
		if got.status != http.StatusBadGateway || got.truncated {
			d.t.Errorf("status %d, truncated %v", got.status, got.truncated)
		}
	})
}
