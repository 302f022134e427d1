package prover

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// steadyRequests come through all nodes in turn.
	steadyRequests = 360
	// engineRate is the requests a second that the engines of one data centre
	// carry, and splitRate what those of two carry where some nodes reach half.
	engineRate = 6
	splitRate  = 12
	// lateShare is the part of requests whose first token may miss its target.
	lateShare = 0.05
	// found is how long after a cut its engines may stay without work.
	found = 5 * time.Second
)

// steady is a steady load of short urgent requests, and what became of it.
type steady struct {
	f *fleet

	mutex   sync.Mutex
	refused map[string]int
	late    int
}

func init() {
	addSized(wideShape, "cut-refuses-none", "cut-from-engines", "load-of-owner", func(t *testing.T, f *fleet) {
		// The owner grants only what reports to it: the other engines.
		f.loadWhileCut(t, f.placementOwner().centre, engineRate)
	})
	addSized(wideShape, "cut-refuses-none", "cut-from-engines", "load-of-entry", func(t *testing.T, f *fleet) {
		f.loadWhileCut(t, f.entryFor(f.placementOwner()).centre, splitRate)
	})
}

// loadWhileCut cuts the nodes of a data centre from its engines under load.
// Nodes elsewhere reach them, and the cut nodes reach other engines, so that
// nothing is refused and few requests are late. After the cut the engines get
// work through the near nodes again.
func (f *fleet) loadWhileCut(t *testing.T, here identifier.DataCentre, rate int) {
	f.cutAll(f.nodeHosts(here), f.backendHosts(here), f.network.Cut)
	load := &steady{f: f, refused: map[string]int{}}
	load.run(t, rate)
	if len(load.refused) > 0 {
		t.Errorf("of %d requests were refused: %v", steadyRequests, load.refused)
	}
	if load.late > lateShare*steadyRequests {
		t.Errorf("%d of %d requests got their first token late", load.late, steadyRequests)
	}
	f.network.Heal()
	time.Sleep(found)
	near := f.prefillsIn(here)
	got := f.complete(t.Context(), f.firstIn(here), completion{prompt: "short log", tokens: 5}, nil)
	if !got.whole || f.prefillsIn(here) == near {
		t.Errorf("%v after the cut a request got %d tokens, and the near engine no work", found, len(got.tokens))
	}
	f.freed(t)
}

// prefillsIn counts the prefills of the engines of a data centre.
func (f *fleet) prefillsIn(centre identifier.DataCentre) int {
	count := 0
	for _, member := range f.pools.Pools[0].Members {
		if member.DataCentre == centre {
			count += f.engines[string(member.Name)].Counts().Prefills
		}
	}
	return count
}

func (s *steady) run(t *testing.T, rate int) {
	t.Helper()
	var group sync.WaitGroup
	for i := range steadyRequests {
		nodes := s.f.running()
		request := completion{id: fmt.Sprintf("report-%d", i), account: "audits", prompt: fmt.Sprintf("%s%d", longPrompt[:960], i), tokens: 20}
		group.Go(func() { s.send(t, nodes[i%len(nodes)], request) })
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
}

func (s *steady) send(t *testing.T, n *node, request completion) {
	start := time.Now()
	var first time.Duration
	got := s.f.complete(t.Context(), n, request, func(offset int) {
		if offset == 1 {
			first = time.Since(start)
		}
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !got.whole {
		s.refused[got.outcome+" "+got.reason]++
	}
	if target := time.Duration(s.f.routes.Routes[0].FirstToken); first > target {
		s.late++
	}
}
