package placer

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// loadEvent is the tokens of an event of a stream.
const loadEvent = 70

// newDirectLoad is a load whose decode engines read prompts themselves at a part of a
// prefill engine's rate; zero ones do not.
func newDirectLoad(t *testing.T, prefills int, rate float64) *load {
	l := newLoadOf(t, true, prefills, loadDecodes)
	l.placer.settings.DirectRate, l.placer.settings.EventTokens = rate, loadEvent
	l.placer.settings.RoleChange = 0
	return l
}

// TestBurstOfPromptsWithFewPrefillEngines has more prompts than one prefill engine
// reads, while decode engines have room: they read some themselves, and no stream
// pauses for longer than its caller bears.
func TestBurstOfPromptsWithFewPrefillEngines(t *testing.T) {
	with, without := newDirectLoad(t, 1, 0.5), newDirectLoad(t, 1, 0)
	var got [2]counts
	for i, l := range []*load{with, without} {
		l.play(usualRate/2, 20*time.Second)
		got[i] = l.play(1.5*usualRate, 10*time.Second)
	}
	if float64(got[0].placed-got[0].missed) < 1.2*float64(got[1].placed-got[1].missed) {
		t.Errorf("with %+v, without %+v", got[0], got[1])
	}
	event := loadEvent * loadToken
	if got[0].longestPause > 300*time.Millisecond-event || got[0].leastRest < event {
		t.Errorf("streams pause for too long: %+v", got[0])
	}
	if float64(got[0].overflows) > 0.02*float64(got[0].moments) {
		t.Errorf("engines held too much: %+v", got[0])
	}
}

// TestNoPrefillEngineLeft has all prefill engines leave: shorter prompts are still
// served, and longer ones are refused at once.
func TestNoPrefillEngineLeft(t *testing.T) {
	l := newDirectLoad(t, 1, 0.5)
	l.play(usualRate/2, 10*time.Second)
	l.engines[0].Leaving = true
	l.placer.Configure(l.placer.settings, l.engines)
	got := l.play(usualRate/2, 10*time.Second)
	if got.direct < got.urgent/3 {
		t.Errorf("%+v", got)
	}
}

// TestDirectReadingNeedsRoom leaves decode engines that are nearly full alone.
func TestDirectReadingNeedsRoom(t *testing.T) {
	l := newDirectLoad(t, 1, 0.5)
	l.play(usualRate/2, 10*time.Second)
	w := &queuedDemand{demand: Demand{Prompt: 2000, Between: 300 * time.Millisecond}, deadline: l.now.Add(time.Second)}
	if e, _ := l.placer.planLocalPrefill(l.now, w); e == nil {
		t.Fatal("no engine reads a prompt while all have room")
	}
	for n := range 60 {
		for _, e := range l.engines[1:] {
			l.placer.Renew(l.now, Held{
				Grant: identifier.Grant(string(e.Member) + "-" + string(rune('a'+n))), Decode: e.Member, Pieces: 20,
				Demand: Demand{Request: identifier.Request(string(e.Member) + string(rune('a'+n))), Attempt: 1, Prompt: 5000},
			}, true)
		}
	}
	if e, _ := l.placer.planLocalPrefill(l.now, w); e != nil {
		t.Errorf("%s reads a prompt while it is full", e.Member)
	}
}
