package placer

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// simTokensPerStreamEvent is the number of tokens in one event of a stream.
const simTokensPerStreamEvent = 70

// newLocalPrefillSimulation returns a simulation with the ratio as LocalPrefillRatio;
// zero disables local prefills.
func newLocalPrefillSimulation(t *testing.T, prefills int, ratio float64) *simulation {
	s := newSimulationWith(t, true, prefills, simDecodeEngines)
	s.placer.settings.LocalPrefillRatio, s.placer.settings.TokensPerStreamEvent = ratio, simTokensPerStreamEvent
	s.placer.settings.RoleChangeTime = 0
	return s
}

// TestLocalPrefillServesPromptBurst sends more prompts than one prefill engine can read
// while decode engines have room. Local prefills must serve more of them on time, without
// pausing a stream for longer than its target between tokens.
func TestLocalPrefillServesPromptBurst(t *testing.T) {
	with, without := newLocalPrefillSimulation(t, 1, 0.5), newLocalPrefillSimulation(t, 1, 0)
	var got [2]counts
	for i, s := range []*simulation{with, without} {
		s.run(normalRate/2, 20*time.Second)
		got[i] = s.run(1.5*normalRate, 10*time.Second)
	}
	if float64(got[0].placed-got[0].missedTarget) < 1.2*float64(got[1].placed-got[1].missedTarget) {
		t.Errorf("with local prefills %+v, without %+v", got[0], got[1])
	}
	eventTime := simTokensPerStreamEvent * simTokenTime
	if got[0].longestPause > 300*time.Millisecond-eventTime || got[0].shortestGap < eventTime {
		t.Errorf("streams paused for too long: %+v", got[0])
	}
	if float64(got[0].overflows) > 0.02*float64(got[0].samples) {
		t.Errorf("engines exceeded their memory: %+v", got[0])
	}
}

// TestLocalPrefillWithoutPrefillEngines checks that shorter prompts are still served
// after all prefill engines left. Longer prompts are refused.
func TestLocalPrefillWithoutPrefillEngines(t *testing.T) {
	s := newLocalPrefillSimulation(t, 1, 0.5)
	s.run(normalRate/2, 10*time.Second)
	s.engines[0].Draining = true
	s.placer.Configure(s.placer.settings, s.engines)
	got := s.run(normalRate/2, 10*time.Second)
	if got.localPrefills < got.urgent/3 {
		t.Errorf("%+v", got)
	}
}

// TestLocalPrefillSkipsFullEngines checks that nearly full decode engines get no local
// prefills, whose pauses make streams hold their memory for longer.
func TestLocalPrefillSkipsFullEngines(t *testing.T) {
	s := newLocalPrefillSimulation(t, 1, 0.5)
	s.run(normalRate/2, 10*time.Second)
	w := &waitingDemand{demand: Demand{Prompt: 2000, MaxTokenInterval: 300 * time.Millisecond}, deadline: s.now.Add(time.Second)}
	if e, _ := s.placer.planLocalPrefill(s.now, w); e == nil {
		t.Fatal("no local prefill is planned while all engines have room")
	}
	for n := range 60 {
		for _, e := range s.engines[1:] {
			s.placer.Renew(s.now, HeldGrant{
				Grant: identifier.Grant(string(e.Member) + "-" + string(rune('a'+n))), Decode: e.Member, Pieces: 20,
				Demand: Demand{Request: identifier.Request(string(e.Member) + string(rune('a'+n))), Attempt: 1, Prompt: 5000},
			}, true)
		}
	}
	if e, _ := s.placer.planLocalPrefill(s.now, w); e != nil {
		t.Errorf("a local prefill is planned on %s, which is full", e.Member)
	}
}
