package prover

import (
	"slices"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// rejoin is how long the fleet may take after a cut until all nodes know
	// each other: a dead member is tried again within about 20 s.
	rejoin = 30 * time.Second
	// detect is how long a cut or a death may take to reach the address answer.
	detect = 12 * time.Second
	// changeAfter is the time from a cut to a change of the fleet.
	changeAfter = 5 * time.Second
	// forgotten is longer than nodes remember the dead.
	forgotten = 70 * time.Minute
	// nearEntries is how many nodes of its own data centre a node answers first.
	nearEntries = 2
)

// memberSteps change the fleet while a data centre is cut off.
var memberSteps = []struct {
	name   string
	change func(f *fleet, here, there identifier.DataCentre)
}{
	{"no-change", func(*fleet, identifier.DataCentre, identifier.DataCentre) {}},
	{"near-node-leaves", func(f *fleet, here, _ identifier.DataCentre) { f.leave(f.firstIn(here)) }},
	{"far-node-leaves", func(f *fleet, _, there identifier.DataCentre) { f.leave(f.firstIn(there)) }},
	{"near-node-killed", func(f *fleet, here, _ identifier.DataCentre) { f.kill(f.firstIn(here).name) }},
	{"far-node-killed", func(f *fleet, _, there identifier.DataCentre) { f.kill(f.firstIn(there).name) }},
	{"near-node-joins", func(f *fleet, _, _ identifier.DataCentre) { f.startNode("node-7") }},
	{"far-node-joins", func(f *fleet, _, _ identifier.DataCentre) { f.startNode("node-8") }},
}

func init() {
	long := centreFault{name: "forgotten-cut", span: forgotten}
	// Fewer parts than elsewhere: more than an hour has to pass.
	sparse := shape{nodes: 3, prefills: 1, decodes: 1, services: 1, centres: 3}
	addSized(sparse, "fleet-whole", long.name, "no-change", func(t *testing.T, f *fleet) {
		long.strike = func(f *fleet, here, _ identifier.DataCentre) { f.cutRegion(here) }
		long.inflict(f, "south", "middle")
		time.Sleep(long.span)
		f.becomesWhole(t)
	})
	for _, fault := range centreFaults {
		for _, step := range memberSteps {
			addSized(wideShape, "fleet-whole", fault.name, step.name, func(t *testing.T, f *fleet) {
				fault.inflict(f, "south", "middle")
				time.Sleep(changeAfter)
				step.change(f, "south", "middle")
				time.Sleep(fault.span - changeAfter)
				f.becomesWhole(t)
			})
		}
		addSized(wideShape, "address-answer", fault.name, "fresh", func(t *testing.T, f *fleet) {
			fault.inflict(f, "south", "middle")
			time.Sleep(detect)
			f.answersNear(t, fault)
		})
		addSized(wideShape, "address-answer", fault.name, "kept", func(t *testing.T, f *fleet) { f.keptAnswer(t, fault) })
	}
}

// becomesWhole checks that the fleet is whole at the end of the time that it has
// to rejoin, and logs how long it took.
func (f *fleet) becomesWhole(t *testing.T) {
	t.Helper()
	healed := time.Now()
	for !f.whole() && time.Since(healed) < rejoin {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("rejoined after %v", time.Since(healed))
	time.Sleep(time.Until(healed.Add(rejoin)))
	f.knowEachOther(t)
}

// whole tells whether every running node sees all running nodes and no other.
func (f *fleet) whole() bool {
	nodes := f.running()
	for _, n := range nodes {
		if countAlive(n.server.View()) != len(nodes) {
			return false
		}
	}
	return true
}

// leave tells a node to stop.
func (f *fleet) leave(n *node) {
	n.gone.Store(true)
	n.stop()
}

// firstIn returns the first running node of a data centre.
func (f *fleet) firstIn(centre identifier.DataCentre) *node {
	nodes := f.running()
	return nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.centre == centre })]
}

// knowEachOther checks that every node tells callers of all running nodes and
// of no other, and that all choose the same owner.
func (f *fleet) knowEachOther(t *testing.T) {
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

// answersNear checks during a fault that every node with a configuration names the
// nodes of its own data centre first, and that any other node refuses to answer.
func (f *fleet) answersNear(t *testing.T, fault centreFault) {
	t.Helper()
	for _, n := range f.running() {
		if n.server.Configuration() == 0 {
			f.refusesEntries(t, n)
			continue
		}
		got := f.entries(t, n)
		if len(got) < nearEntries {
			t.Errorf("%s, struck by %s, tells callers only of %v", n.name, fault.name, got)
			continue
		}
		for _, entry := range got[:nearEntries] {
			if f.centreOf(entry) != n.centre {
				t.Errorf("%s, struck by %s, puts %v before the nodes of its own data centre", n.name, fault.name, got)
			}
		}
	}
}

// refusesEntries checks that a node sends callers who ask it for addresses to others.
func (f *fleet) refusesEntries(t *testing.T, n *node) {
	t.Helper()
	got := f.askEntries(t, n)
	if got.outcome != "not-run" || got.reason != "no-configuration" && got.reason != "not-joined" {
		t.Errorf("%s has no configuration, and answers %+v", n.name, got)
	}
}

// centreOf returns the data centre of the node with a callers' address.
func (f *fleet) centreOf(entry string) identifier.DataCentre {
	for _, n := range f.running() {
		if address(n) == entry {
			return n.centre
		}
	}
	return ""
}

// keptAnswer lets a caller use an answer from before the fault, first to last:
// one of its addresses serves a request and a look-up within the caller's tries.
func (f *fleet) keptAnswer(t *testing.T, fault centreFault) {
	t.Helper()
	kept := f.entries(t, f.firstIn("south"))
	fault.inflict(f, "south", "middle")
	time.Sleep(detect)
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
