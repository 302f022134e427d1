package prover

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// steadyRequests is the number of requests, sent through all nodes round robin.
	steadyRequests = 360
	// engineRate is the requests/s that the engines of one data centre can serve.
	engineRate = 6
	// splitRate is that of two data centres when some nodes reach only one of them.
	splitRate = 12
	// maximumLateShare is the share of requests whose first token may miss its target.
	maximumLateShare = 0.05
	// rediscoveryTime bounds how long engines may stay without work after a cut.
	rediscoveryTime = 5 * time.Second
)

// steadyLoad sends short urgent requests at a fixed rate and counts the failures.
type steadyLoad struct {
	f *fleet

	mutex   sync.Mutex
	refused map[string]int
	late    int
}

func init() {
	addCellWithShape(wideShape, "cut-refuses-none", "cut-from-engines", "load-of-owner", func(t *testing.T, f *fleet) {
		// The owner grants only engines that report to it: those elsewhere.
		f.loadWhileCut(t, f.placementOwner().centre, engineRate)
	})
	addCellWithShape(wideShape, "cut-refuses-none", "cut-from-engines", "load-of-entry", func(t *testing.T, f *fleet) {
		f.loadWhileCut(t, f.entryFor(f.placementOwner()).centre, splitRate)
	})
}

// loadWhileCut cuts the nodes of a data centre from its engines under load. Nodes
// elsewhere still reach these engines, and the cut nodes reach other engines, so no
// request may be refused and few may be late. After the cut, the engines must get
// work through the nodes of their data centre again.
func (f *fleet) loadWhileCut(t *testing.T, here identifier.DataCentre, rate int) {
	f.cutHosts(f.nodeHosts(here), f.backendHosts(here), f.network.Cut)
	load := &steadyLoad{f: f, refused: map[string]int{}}
	load.run(t, rate)
	if len(load.refused) > 0 {
		t.Errorf("of %d requests were refused: %v", steadyRequests, load.refused)
	}
	if load.late > maximumLateShare*steadyRequests {
		t.Errorf("%d of %d requests got their first token late", load.late, steadyRequests)
	}
	f.network.Heal()
	time.Sleep(rediscoveryTime)
	near := f.prefillsIn(here)
	got := f.complete(t.Context(), f.firstNodeIn(here), completion{prompt: "short log", tokens: 5}, nil)
	if !got.whole || f.prefillsIn(here) == near {
		t.Errorf("%v after the cut a request got %d tokens, and the near engine no work", rediscoveryTime, len(got.tokens))
	}
	f.checkMemoryFreed(t)
}

// prefillsIn returns the number of prefills on the engines of a data centre.
func (f *fleet) prefillsIn(centre identifier.DataCentre) int {
	count := 0
	for _, member := range f.pools.Pools[0].Members {
		if member.DataCentre == centre {
			count += f.engines[string(member.Name)].Counts().Prefills
		}
	}
	return count
}

func (s *steadyLoad) run(t *testing.T, rate int) {
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

func (s *steadyLoad) send(t *testing.T, n *node, request completion) {
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
