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

// TestSlowEngineIsLastForShortTimeLeft guards against streams on an engine that has become too
// slow to end them before their callers stop waiting, while another engine has room.
func TestSlowEngineIsLastForShortTimeLeft(t *testing.T) {
	for timeLeft, want := range map[time.Duration]identifier.Member{0: "slow", 6 * time.Second: "fast", 20 * time.Second: "slow"} {
		p, now := newUnevenPair()
		for n := range 3 {
			d := unevenDemand(identifier.Request(rune('a' + n)))
			p.bookGrant(&grant{HeldGrant: HeldGrant{Grant: identifier.Grant(d.Request), Demand: d, Pieces: 30}, decode: p.engines["fast"], plannedStart: now, progressAt: now, expiresAt: now.Add(time.Hour)})
		}
		d := unevenDemand("x")
		d.TimeLeft = timeLeft
		p.Submit(now, d)
		p.Advance(now)
		if g := p.latestGrants["x"]; g == nil || g.Decode != want {
			t.Errorf("time left %v: %+v instead of %s", timeLeft, g, want)
		}
	}
}

// TestOnlySlowEngineIsUsed guards against a refusal because of a forecast of the output that may
// be wrong, while an engine has room.
func TestOnlySlowEngineIsUsed(t *testing.T) {
	p, now := newUnevenPair()
	p.engines["fast"].Draining = true
	d := unevenDemand("x")
	d.TimeLeft = 6 * time.Second
	p.Submit(now, d)
	p.Advance(now)
	if p.latestGrants["x"] == nil {
		t.Error("the demand is not placed")
	}
}
