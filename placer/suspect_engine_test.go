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

// TestSilentDecodeEngine has one decode engine begin no stream. The owner learns that from
// the first renewals, and grants it nothing while they go on.
func TestSilentDecodeEngine(t *testing.T) {
	s := newSimulation(t, true)
	held := map[identifier.Grant]*Placement{}
	silent, later := 0, 0
	for n := range 150 {
		if placed := s.placeOne(t, time.Duration(n).String()); placed != nil {
			held[placed.Grant] = placed
			if placed.Decode == "d0" {
				silent++
				if n >= 50 {
					later++
				}
			}
		}
		s.now = s.now.Add(30 * time.Millisecond)
		if n%10 != 0 {
			continue
		}
		for id, placed := range held {
			if placed.Decode != "d0" && n%20 == 0 {
				s.placer.Release(s.now, id, Result{Prefilled: true, Decoded: true, Output: 300})
				delete(held, id)
				continue
			}
			s.placer.Renew(s.now, HeldGrant{Grant: id, Decoding: placed.Decode != "d0", Output: 10}, false)
		}
	}
	if silent == 0 || later > 0 {
		t.Errorf("%d streams went to the silent engine, %d of them after a second and a half", silent, later)
	}
}
