package placer

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// placeOne submits an ordinary demand and returns its placement, or nil if it is refused.
func (s *simulation) placeOne(t *testing.T, id string) *Placement {
	t.Helper()
	s.placer.Submit(s.now, Demand{
		Request: identifier.Request(id), Attempt: 1, Node: "n", Prompt: 3000, MaxOutput: 9000,
		FirstTokenBudget: simFirstTokenTarget, QueueTimeout: simQueueTimeout, NoResume: true,
	})
	s.placer.Advance(s.now)
	decisions, _ := s.placer.TakeDecisions()
	if len(decisions) != 1 {
		t.Fatalf("%d decisions", len(decisions))
	}
	return decisions[0].Outcome.Placement
}

// TestLostHandOversInBurst has the prompts that one prefill engine reads be gone before the
// decode engines fetch them. Each of its prompts was read for nothing, for as long as it lasted.
func TestLostHandOversInBurst(t *testing.T) {
	s := newSimulation(t, true)
	lost, afterFirst := 0, 0
	for n := range 120 {
		placed := s.placeOne(t, time.Duration(n).String())
		if placed == nil {
			t.Fatalf("demand %d was refused", n)
		}
		bad := placed.Prefill == "p0"
		if bad {
			lost++
			if n >= 20 {
				afterFirst++
			}
		}
		s.now = s.now.Add(30 * time.Millisecond)
		s.placer.Release(s.now, placed.Grant, Result{Prefilled: true, Decoded: !bad, Output: 100})
	}
	if lost == 0 || afterFirst > 15 {
		t.Errorf("%d prompts were lost, %d of the last 100", lost, afterFirst)
	}
}

// TestFullDecodeEnginesAvoidNoPrefill checks that prefill engines are not blamed when the
// decode engines decline everything.
func TestFullDecodeEnginesAvoidNoPrefill(t *testing.T) {
	s := newSimulation(t, true)
	used := map[identifier.Member]int{}
	for n := range 60 {
		placed := s.placeOne(t, time.Duration(n).String())
		if placed == nil {
			t.Fatalf("demand %d was refused", n)
		}
		used[placed.Prefill]++
		s.now = s.now.Add(20 * time.Millisecond)
		s.placer.Release(s.now, placed.Grant, Result{Prefilled: true})
	}
	if len(used) != 3 {
		t.Errorf("prefills by engine: %v", used)
	}
}

// TestSilentDecodeEngine guards against a decode engine that begins no stream and goes on
// being granted. The owner learns of it from the first renewal after a second. Where several
// engines begin none, the cause is not theirs, and only one is avoided.
func TestSilentDecodeEngine(t *testing.T) {
	s := newSimulation(t, true)
	first, second := s.placeOne(t, "1"), s.placeOne(t, "2")
	if first == nil || second == nil || first.Decode == second.Decode {
		t.Fatalf("placed %+v and %+v", first, second)
	}
	avoided := func(placed *Placement) bool { return !s.placer.engines[placed.Decode].accepts(s.now, &Demand{}) }
	for _, passed := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		s.now = s.now.Add(passed)
		for _, placed := range []*Placement{first, second} {
			s.placer.Renew(s.now, HeldGrant{Grant: placed.Grant}, false)
		}
		if late := passed > time.Second; avoided(first) != late || avoided(second) {
			t.Errorf("after %s more the first engine is avoided: %t, the second: %t", passed, avoided(first), avoided(second))
		}
	}
	s.now = s.now.Add(s.placer.settings.FailureCooldown)
	s.placer.Renew(s.now, HeldGrant{Grant: first.Grant, Decoding: true, Output: 10}, false)
	if avoided(first) {
		t.Error("the engine is avoided although its stream has begun")
	}
}
