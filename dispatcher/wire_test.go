package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
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
		d := placer.Demand{FirstTokenBudget: 500 * time.Millisecond, TimeLeft: c.left, FirstTokenTimeLeft: c.left}
		got := decodeDemand("m", "n", encodeDemand(&d, d.FirstTokenBudget-c.waited))
		if got.TimeLeft != c.want || got.FirstTokenTimeLeft != c.want {
			t.Errorf("%s: %v and %v instead of %v", name, got.TimeLeft, got.FirstTokenTimeLeft, c.want)
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

// TestAbsurdDemandsAreBounded guards against another node's numbers that overflow the sums of
// an owner: a negative need of memory fits any engine.
func TestAbsurdDemandsAreBounded(t *testing.T) {
	for _, n := range []int64{math.MaxInt64, math.MinInt64, -1} {
		d := decodeDemand("p", "n", &dispatcherrpc.Demand{
			PromptTokens: n, LimitTokens: n, HintTokens: n, WaitNanoseconds: n, BetweenNanoseconds: n, HoldNanoseconds: n,
			Rank: math.MaxUint32, Prefixes: make([]uint64, 10_000), Avoid: make([]string, 10_000),
		})
		if d.Prompt < 1 || d.Prompt > identifier.MaxTokens || d.MaxOutput < 0 || d.MaxOutput > identifier.MaxTokens ||
			d.OutputHint < 0 || d.OutputHint > identifier.MaxTokens || d.Rank > identifier.Lesser ||
			d.FirstTokenBudget < 0 || d.FirstTokenBudget > identifier.MaxDuration ||
			d.QueueTimeout < 0 || d.QueueTimeout > identifier.MaxDuration || len(d.Prefixes) > maxPrefixes || len(d.Avoid) > maxAvoided {
			t.Errorf("%d: %+v", n, d)
		}
		held := decodeRenewal("p", "n", &dispatcherrpc.Renewal{Pieces: n, OutputTokens: n, PrefillNanoseconds: n})
		if held.Pieces < 0 || held.Pieces > identifier.MaxPieces || held.Output < 0 || held.Output > identifier.MaxTokens || held.PrefillTime < 0 {
			t.Errorf("%d: %+v", n, held)
		}
		_, result := decodeRelease(&dispatcherrpc.Release{OutputTokens: n, PrefillNanoseconds: n})
		if result.Output < 0 || result.Output > identifier.MaxTokens || result.PrefillTime < 0 {
			t.Errorf("%d: %+v", n, result)
		}
		placed := decodeDecision(&dispatcherrpc.Decision{Grant: "g", Pieces: n, LeaseNanoseconds: n}).Outcome.Placement
		if placed.Pieces < 0 || placed.Lease < 0 || placed.Lease > identifier.MaxDuration {
			t.Errorf("%d: %+v", n, placed)
		}
	}
}
