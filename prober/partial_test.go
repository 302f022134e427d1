package prober

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// BenchmarkRelay measures for how many pairs of nodes a third node can relay calls during
// a cut. Of the ordered pairs that the cut blocks among 350 nodes, it reports two shares:
// those for which a node that keeps a connection to the callee can relay, and those for
// which any node can relay by opening a connection.
//
//	go test -run '^$' -bench Relay -benchtime 1x ./prober
func BenchmarkRelay(b *testing.B) {
	cuts := map[string]func(from, to *fakeNode) bool{
		"one-way-pair": func(from, to *fakeNode) bool { return from.name == "n001" && to.name == "n002" },
		"two-centres": func(from, to *fakeNode) bool {
			return from.dataCentre != to.dataCentre && from.dataCentre <= "dc1" && to.dataCentre <= "dc1"
		},
		"two-regions": func(from, to *fakeNode) bool {
			return region(from) != region(to) && region(from) < 2 && region(to) < 2
		},
		"whole-centre": func(from, to *fakeNode) bool { return (from.dataCentre == "dc1") != (to.dataCentre == "dc1") },
	}
	for name, blocked := range cuts {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f := newFleet(350, 7, 1, Options{})
				f.runUntil(0, func() bool { return false })
				measureRelays(b, f, blocked)
			}
		})
	}
}

func measureRelays(b *testing.B, f *fleet, blocked func(from, to *fakeNode) bool) {
	all := newTable()
	byName := map[identifier.Node]*fakeNode{}
	for _, node := range f.nodes {
		all.merge(node.machine.ownRecord())
		byName[node.name] = node
	}
	predecessors := map[*fakeNode][]*fakeNode{}
	for _, node := range f.nodes {
		for _, successor := range all.successors(node.name, defaultNeighbours) {
			predecessors[byName[successor]] = append(predecessors[byName[successor]], node)
		}
	}
	canRelay := func(from, to *fakeNode, relays []*fakeNode) bool {
		for _, relay := range relays {
			if relay != from && relay != to && !blocked(from, relay) && !blocked(relay, to) {
				return true
			}
		}
		return false
	}
	pairs, cut, byPredecessor, byAny := 0, 0, 0, 0
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			if from == to {
				continue
			}
			pairs++
			if !blocked(from, to) {
				continue
			}
			cut++
			if canRelay(from, to, predecessors[to]) {
				byPredecessor++
			}
			if canRelay(from, to, f.nodes) {
				byAny++
			}
		}
	}
	b.ReportMetric(100*float64(cut)/float64(pairs), "%-blocked")
	b.ReportMetric(100*float64(byPredecessor)/float64(cut), "%-joined-by-keeper")
	b.ReportMetric(100*float64(byAny)/float64(cut), "%-joined-by-any")
}

// BenchmarkPartialCut measures membership while two regions cannot reach each other.
//
//	go test -run '^$' -bench PartialCut -benchtime 1x ./prober
func BenchmarkPartialCut(b *testing.B) {
	for range b.N {
		f := newFleet(64, 7, 1, Options{})
		f.runUntil(time.Minute, f.converged)
		f.run(30 * time.Second)
		measurePartialCut(b, f)
	}
}
