package prover

import (
	"testing"
)

// TestServingWithoutFaults checks a model request, a booking with its resend, and a look-up without faults.
func TestServingWithoutFaults(t *testing.T) {
	runWithFleet(t, smallShape, func(t *testing.T, f *fleet) {
		report := completion{prompt: "humidity log of case 17", tokens: 30}
		got := f.complete(t.Context(), f.node("node-1"), report, nil)
		if !got.whole || got.text() != expectedText(report) {
			t.Errorf("got %+v, want %q", got, expectedText(report))
		}
		key := newKey()
		first := f.book(t.Context(), f.node("node-1"), key, "visit", true)
		again := f.book(t.Context(), f.node("node-2"), key, "visit", false)
		if first.status != 200 || again.body != first.body || !again.replayed || f.executions(key) != 1 {
			t.Errorf("booking %+v, resend %+v, executions %d", first, again, f.executions(key))
		}
		if got := f.lookUp(t.Context(), f.node("node-3")); got.status != 200 {
			t.Errorf("look-up %+v", got)
		}
	})
}
