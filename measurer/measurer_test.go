package measurer

import (
	"slices"
	"testing"
	"time"
)

// TestRunsDecideRequestsAndFreeMemory checks for every strategy, with and without a
// killed owner, that each request has an outcome and all memory is free at the end,
// and that the same seed gives the same result.
func TestRunsDecideRequestsAndFreeMemory(t *testing.T) {
	strategies := append(slices.Clone(Baselines), DispatcherStrategy(Variant{Name: "dispatcher"}), Strategy{
		"sharded", func(r *run) strategy {
			return newSharded(r, Sharding{MaxEngines: 3, Choices: 2, RefreshInterval: time.Second, Retry: true})
		},
	})
	for _, name := range []string{"load-1.2", "owner-killed"} {
		scenario := Scenarios[slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })]
		for _, tested := range strategies {
			if tested.Name == "sharded" && scenario.killAt > 0 {
				continue
			}
			t.Run(name+"/"+tested.Name, func(t *testing.T) {
				var results []Result
				for range 2 {
					r := newRun(&Settings[0], scenario, 1)
					r.strategy = tested.newStrategy(r)
					r.execute()
					r.checkEndState(t)
					results = append(results, r.computeResult())
				}
				if results[0] != results[1] {
					t.Errorf("one seed measured %+v and %+v", results[0], results[1])
				}
			})
		}
	}
}

func (r *run) checkEndState(t *testing.T) {
	t.Helper()
	undecided := 0
	for _, q := range r.requests {
		if q.state == pending {
			undecided++
		}
	}
	if undecided > 0 {
		t.Errorf("%d of %d requests have no outcome", undecided, len(r.requests))
	}
	for _, e := range r.decodes {
		if e.free != e.pieces {
			t.Errorf("%s still holds %d pieces", e.name, e.pieces-e.free)
		}
	}
}
