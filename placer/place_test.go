package placer

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// newUnevenPair returns a placer with two prefill engines and two decode engines, of which "fast"
// takes 0.5 ms for a token and "slow" 2 ms.
func newUnevenPair() (*Placer, time.Time) {
	now := time.Unix(1000, 0)
	settings := Settings{Issuer: "t", PieceTokens: simPieceTokens, UseForecast: true, RebuildTime: time.Nanosecond, Lease: time.Hour}
	p := New(now, settings)
	p.Configure(settings, []Engine{
		{Member: "p0", Role: identifier.Prefill, Pieces: 1, PrefillRate: 50_000, LinkRate: 1e12},
		{Member: "p1", Role: identifier.Prefill, Pieces: 1, PrefillRate: 50_000, LinkRate: 1e12},
		{Member: "fast", Role: identifier.Decode, Pieces: 400, LinkRate: 1e12, Slots: 32},
		{Member: "slow", Role: identifier.Decode, Pieces: 400, LinkRate: 1e12, Slots: 32},
	})
	p.engines["fast"].tokenTime, p.engines["slow"].tokenTime = 500*time.Microsecond, 2*time.Millisecond
	return p, now.Add(time.Second)
}

func unevenDemand(name identifier.Request) Demand {
	return Demand{
		Request: name, Attempt: 1, Node: "n", Prompt: 5000, MaxOutput: 9000, OutputHint: 4000,
		FirstTokenBudget: simFirstTokenTarget, QueueTimeout: simQueueTimeout, NoResume: true,
	}
}

// TestDemandThatAvoidsEnginesHoldsUpNoOther guards against a demand that waits for the one prefill
// engine left to it while the others behind it could use an idle one.
func TestDemandThatAvoidsEnginesHoldsUpNoOther(t *testing.T) {
	p, now := newUnevenPair()
	p.engines["p0"].prefillBusyUntil = now.Add(200 * time.Millisecond)
	choosy := unevenDemand("choosy")
	choosy.Avoid = []identifier.Member{"p1"}
	choosy.FirstTokenBudget -= time.Millisecond
	p.Submit(now, choosy)
	p.Submit(now, unevenDemand("other"))
	p.Advance(now)
	if p.latestGrants["other"] == nil || p.latestGrants["choosy"] != nil {
		t.Error("a demand that may use an idle engine waits behind one that may not")
	}
}
