package dispatcher

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/placer"
)

// TestDemandTimeLeft guards against a time left that the wait at the node doesn't shorten, and one
// that is used up and would arrive as unknown.
func TestDemandTimeLeft(t *testing.T) {
	for name, c := range map[string]struct{ left, waited, want time.Duration }{
		"unknown":      {0, time.Second, 0},
		"sent at once": {8 * time.Second, 0, 8 * time.Second},
		"sent later":   {8 * time.Second, time.Second, 7 * time.Second},
		"used up":      {time.Second, 2 * time.Second, 1},
	} {
		d := placer.Demand{FirstTokenBudget: 500 * time.Millisecond, TimeLeft: c.left}
		if got := decodeDemand("m", "n", encodeDemand(&d, d.FirstTokenBudget-c.waited)).TimeLeft; got != c.want {
			t.Errorf("%s: %v instead of %v", name, got, c.want)
		}
	}
}

// TestRepeatSentAgainWaitsOn guards against a repeat that a new owner refuses at once, because it
// has waited longer at the earlier owner than its target allows.
func TestRepeatSentAgainWaitsOn(t *testing.T) {
	d := newDemand("r1", 1)
	d.FirstTokenBudget, d.QueueTimeout, d.TimeLeft = 500*time.Millisecond, 300*time.Millisecond, 8*time.Second
	const waited = 2 * time.Second
	again := decodeDemand("m", "n", encodeDemand(&d, d.FirstTokenBudget-waited))
	if !again.TargetMissed || again.FirstTokenBudget <= 0 || again.TimeLeft != d.TimeLeft-waited {
		t.Errorf("%+v", again)
	}
	if first := decodeDemand("m", "n", encodeDemand(&d, d.FirstTokenBudget)); first.TargetMissed {
		t.Error("a demand in time is marked as late")
	}
}
