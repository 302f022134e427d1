package dispatcher

import (
	"math"
	"testing"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
)

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
