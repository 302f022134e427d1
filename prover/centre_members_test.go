package prover

import (
	"slices"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// rejoinTimeout bounds the time from the end of a cut until all nodes see each
	// other; nodes retry a dead member within about 20 s.
	rejoinTimeout = 30 * time.Second
	// detectionTime bounds how long /v1/entries may ignore a cut or a dead node.
	detectionTime = 12 * time.Second
	// changeDelay is the time from a cut to a change of the fleet.
	changeDelay = 5 * time.Second
	// forgetTime is longer than nodes remember dead members.
	forgetTime = 70 * time.Minute
	// nearEntries is how many nodes of its own data centre a node must list first.
	nearEntries = 2
)

// memberSteps are changes of the fleet while a data centre is cut off.
var memberSteps = []struct {
	name   string
	change func(f *fleet, here, there identifier.DataCentre)
}{
	{"no-change", func(*fleet, identifier.DataCentre, identifier.DataCentre) {}},
	{"near-node-leaves", func(f *fleet, here, _ identifier.DataCentre) { f.shutDown(f.firstNodeIn(here)) }},
	{"far-node-leaves", func(f *fleet, _, there identifier.DataCentre) { f.shutDown(f.firstNodeIn(there)) }},
	{"near-node-killed", func(f *fleet, here, _ identifier.DataCentre) { f.kill(f.firstNodeIn(here).name) }},
	{"far-node-killed", func(f *fleet, _, there identifier.DataCentre) { f.kill(f.firstNodeIn(there).name) }},
	{"near-node-joins", func(f *fleet, _, _ identifier.DataCentre) { f.startNode("node-7") }},
	{"far-node-joins", func(f *fleet, _, _ identifier.DataCentre) { f.startNode("node-8") }},
}

func init() {
	long := centreFault{name: "forgotten-cut", span: forgetTime}
	// A small fleet, as the test simulates more than an hour.
	sparse := shape{nodes: 3, prefills: 1, decodes: 1, services: 1, centres: 3}
	addCellWithShape(sparse, "fleet-whole", long.name, "no-change", func(t *testing.T, f *fleet) {
		long.start = func(f *fleet, here, _ identifier.DataCentre) { f.cutRegion(here) }
		long.inject(f, "south", "middle")
		time.Sleep(long.span)
		f.checkRejoined(t)
	})
	for _, fault := range centreFaults {
		for _, step := range memberSteps {
			addCellWithShape(wideShape, "fleet-whole", fault.name, step.name, func(t *testing.T, f *fleet) {
				fault.inject(f, "south", "middle")
				time.Sleep(changeDelay)
				step.change(f, "south", "middle")
				time.Sleep(fault.span - changeDelay)
				f.checkRejoined(t)
			})
		}
		addCellWithShape(wideShape, "address-answer", fault.name, "fresh", func(t *testing.T, f *fleet) {
			fault.inject(f, "south", "middle")
			time.Sleep(detectionTime)
			f.checkNearEntriesFirst(t, fault)
		})
		addCellWithShape(wideShape, "address-answer", fault.name, "kept", func(t *testing.T, f *fleet) { f.checkOldEntries(t, fault) })
	}
}

// checkRejoined checks that all nodes see each other after rejoinTimeout, and logs
// how long it took.
func (f *fleet) checkRejoined(t *testing.T) {
	t.Helper()
	healed := time.Now()
	for !f.hasFullMembership() && time.Since(healed) < rejoinTimeout {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("rejoined after %v", time.Since(healed))
	time.Sleep(time.Until(healed.Add(rejoinTimeout)))
	f.checkMembership(t)
}

// hasFullMembership reports whether every running node sees exactly the running nodes.
func (f *fleet) hasFullMembership() bool {
	nodes := f.running()
	for _, n := range nodes {
		if countAlive(n.server.View()) != len(nodes) {
			return false
		}
	}
	return true
}

// shutDown starts a node's graceful shutdown.
func (f *fleet) shutDown(n *node) {
	n.stopping.Store(true)
	n.stop()
}

// firstNodeIn returns the first running node of a data centre.
func (f *fleet) firstNodeIn(centre identifier.DataCentre) *node {
	nodes := f.running()
	return nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.centre == centre })]
}

// checkMembership checks that /v1/entries of every node lists exactly the running
// nodes, and that all nodes choose the same owner.
func (f *fleet) checkMembership(t *testing.T) {
	t.Helper()
	var want []string
	owners := map[identifier.Node]bool{}
	for _, n := range f.running() {
		want = append(want, address(n))
		owners[n.server.View().Owner(placementShard).Node] = true
	}
	for _, n := range f.running() {
		got := f.entries(t, n)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s tells callers of %v, and %v run", n.name, got, want)
		}
	}
	if len(owners) != 1 {
		t.Errorf("the placement shard has the owners %v", owners)
	}
}

// checkNearEntriesFirst checks during a fault that every node with a configuration
// lists nodes of its data centre first, and that nodes without one refuse.
func (f *fleet) checkNearEntriesFirst(t *testing.T, fault centreFault) {
	t.Helper()
	for _, n := range f.running() {
		if n.server.Configuration() == 0 {
			f.checkEntriesRefused(t, n)
			continue
		}
		got := f.entries(t, n)
		if len(got) < nearEntries {
			t.Errorf("%s, during fault %s, lists only %v", n.name, fault.name, got)
			continue
		}
		for _, entry := range got[:nearEntries] {
			if f.centreOf(entry) != n.centre {
				t.Errorf("%s, during fault %s, lists %v, not the nodes of its own data centre first", n.name, fault.name, got)
			}
		}
	}
}

// checkEntriesRefused checks that a node refuses GET /v1/entries, so callers ask another.
func (f *fleet) checkEntriesRefused(t *testing.T, n *node) {
	t.Helper()
	got := f.getEntries(t, n)
	if got.outcome != "not-run" || got.reason != "no-configuration" && got.reason != "not-joined" {
		t.Errorf("%s has no configuration, and answers %+v", n.name, got)
	}
}

// centreOf returns the data centre of the node that listens at entry, or "".
func (f *fleet) centreOf(entry string) identifier.DataCentre {
	for _, n := range f.running() {
		if address(n) == entry {
			return n.centre
		}
	}
	return ""
}

// checkOldEntries checks that a caller with an address list from before the fault,
// trying the addresses in order, finds one that serves a model request.
func (f *fleet) checkOldEntries(t *testing.T, fault centreFault) {
	t.Helper()
	kept := f.entries(t, f.firstNodeIn("south"))
	fault.inject(f, "south", "middle")
	time.Sleep(detectionTime)
	served := false
	for _, entry := range kept {
		got := complete(t.Context(), f.caller, entry, completion{prompt: "short log", tokens: 5}, nil)
		if served = got.whole; served {
			break
		}
	}
	if !served {
		t.Errorf("no address of a kept answer serves: %v", kept)
	}
}
