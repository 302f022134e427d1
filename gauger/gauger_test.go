package gauger_test

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/gauger"
)

// TestMeasure guards against bytes, writes or connections that are not counted.
func TestMeasure(t *testing.T) {
	const interval = 50 * time.Millisecond
	result, err := gauger.Measure(t.Context(), gauger.Options{Nodes: 3, WindowLength: 10 * interval, ProbeInterval: interval})
	if err != nil {
		t.Fatal(err)
	}
	if result.Idle.BytesPerSecond <= 0 || result.Idle.WritesPerSecond <= 0 || result.Connections <= 0 {
		t.Errorf("counted nothing: %+v", result)
	}
}
