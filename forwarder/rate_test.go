package forwarder

import (
	"testing"
	"time"
)

// TestInvalidRateIsLoggedOnceAProcess guards against a log line for each answer of a back end
// that names an invalid rate, and against none after its process was replaced.
func TestInvalidRateIsLoggedOnceAProcess(t *testing.T) {
	b := newBalancer(unlimited{})
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
