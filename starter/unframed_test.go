package starter_test

import (
	"net/http"
	"testing"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestUnframedAnswersAreComplete checks that answers with neither a length nor chunks
// reach callers whole.
func TestUnframedAnswersAreComplete(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.setFaults(emulator.InstanceFaults{Unframed: true})
		for _, c := range []request{booking(), lookUp(), quote()} {
			got := f.send(t.Context(), 0, c)
			f.checkResponse(t, got, true)
			if got.status != http.StatusOK || got.truncated {
				t.Errorf("%s: %+v", c.path, got)
			}
		}
		if got := f.send(t.Context(), 0, quote()); countEvents(got.body) != 10 {
			t.Errorf("%d events", countEvents(got.body))
		}
	})
}

// TestCutUnframedStreamReachesCallerAsTruncated guards against a stream that looks complete
// though its engine broke it off: inside an event, before the first one, or between two
// events by a crash.
func TestCutUnframedStreamReachesCallerAsTruncated(t *testing.T) {
	event := len("id: 1\ndata: attempt-1\n\n")
	for name, faults := range map[string]emulator.InstanceFaults{
		"inside an event":       {CutAfter: event + 1},
		"before an event's end": {CutAfter: 2*event - 1},
		"inside the first line": {CutAfter: 1},
		"between two events":    {CutAfter: event, CutCrashes: true},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				faults.Unframed = true
				f.setFaults(faults)
				if got := f.send(t.Context(), 0, quote()); got.status == http.StatusOK && !got.truncated {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// setFaults sets the faults of all decode engines and plain servers.
func (f *fleet) setFaults(faults emulator.InstanceFaults) {
	for _, id := range append(f.instanceIDs("llm", "decode"), f.instanceIDs("desk", "")...) {
		f.instances[id].SetFaults(faults)
	}
}
