package starter_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// endlessTimeout is how soon a request is answered whose back end sends bytes without end:
// well before its deadline of two seconds.
const endlessTimeout = time.Second

// TestBytesWithoutEnd guards against a request that is held until its deadline, or ends as
// a success, because its back end's answer does not end: in the head, in a refusal's body,
// or in a plain answer's body. A refusal still proves that the request has not run.
func TestBytesWithoutEnd(t *testing.T) {
	for name, test := range map[string]struct {
		faults emulator.InstanceFaults
		// bookingStatus and quoteStatus are the statuses that callers get. Both engines
		// refuse a quote; a booking goes to the first server again.
		bookingStatus, quoteStatus int
	}{
		"head":    {emulator.InstanceFaults{EndlessHeads: 1}, http.StatusBadGateway, http.StatusBadGateway},
		"refusal": {emulator.InstanceFaults{EndlessRefusals: 1}, http.StatusOK, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				for _, id := range append(f.instanceIDs("llm", "decode"), f.instanceIDs("desk", "")...) {
					f.instances[id].SetFaults(test.faults)
				}
				for _, c := range []struct {
					request
					status int
				}{{booking(), test.bookingStatus}, {quote(), test.quoteStatus}} {
					began := time.Now()
					got := f.send(t.Context(), 0, c.request)
					f.checkResponse(t, got, true)
					if got.status != c.status || time.Since(began) > endlessTimeout {
						t.Errorf("%s: status %d after %v, want %d", c.path, got.status, time.Since(began), c.status)
					}
				}
			})
		})
	}
	t.Run("body", func(t *testing.T) {
		runFleet(t, 1, func(t *testing.T, f *fleet) {
			for _, id := range f.instanceIDs("desk", "") {
				f.instances[id].SetFaults(emulator.InstanceFaults{EndlessBodies: 1})
			}
			got := f.send(t.Context(), 0, booking())
			f.checkResponse(t, got, true)
			if got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
				t.Errorf("status %d", got.status)
			}
		})
	})
}

// TestEarlierRefusalOnKeptConnection guards against an earlier refusal that a back end
// writes once more: the caller must not be told that the request has not run, and no other
// back end may run it.
func TestEarlierRefusalOnKeptConnection(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for range 4 {
			f.send(t.Context(), 0, booking())
		}
		for _, id := range f.instanceIDs("desk", "") {
			f.instances[id].SetFaults(emulator.InstanceFaults{StaleRefusals: 1})
		}
		got := f.send(t.Context(), 0, booking())
		f.checkResponse(t, got, true)
		if got.status != http.StatusBadGateway {
			t.Errorf("status %d", got.status)
		}
	})
}

// TestBrokenStreamIsNotContinuedByAnError checks that nothing follows the events of a
// stream that broke off, and that it does not look complete.
func TestBrokenStreamIsNotContinuedByAnError(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for _, id := range f.instanceIDs("llm", "decode") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Truncate: 1, Errors: 100})
		}
		got := f.send(t.Context(), 0, quote())
		want := ""
		for n := range countEvents(got.body) {
			want += eventText(n, got.attempt)
		}
		if got.status != http.StatusOK || !got.truncated || got.body != want || want == "" {
			t.Errorf("%+v", got)
		}
	})
}

// eventText returns the event with index n of a stream that answers an attempt.
func eventText(n int, attempt string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, attempt)
}
