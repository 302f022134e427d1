package prober

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// BenchmarkRelay weighs relaying: of the ordered pairs of 350 nodes that a cut
// blocks, how many a third node joins that keeps a connection to the second, and
// how many any third node joins that may open one.
//
//	go test -run '^$' -bench Relay -benchtime 1x ./prober
func BenchmarkRelay(b *testing.B) {
	cuts := map[string]func(from, to *fakeNode) bool{
		"one-way-pair": func(from, to *fakeNode) bool { return from.name == "n001" && to.name == "n002" },
		"two-centres": func(from, to *fakeNode) bool {
			return from.centre != to.centre && from.centre <= "dc1" && to.centre <= "dc1"
		},
		"two-regions": func(from, to *fakeNode) bool {
			return region(from) != region(to) && region(from) < 2 && region(to) < 2
		},
		"whole-centre": func(from, to *fakeNode) bool { return (from.centre == "dc1") != (to.centre == "dc1") },
	}
	for name, blocked := range cuts {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f := newFleet(350, 7, 1, Options{})
				f.until(0, func() bool { return false })
				weigh(b, f, blocked)
			}
		})
	}
}

func weigh(b *testing.B, f *fleet, blocked func(from, to *fakeNode) bool) {
	all := newTable()
	byName := map[identifier.Node]*fakeNode{}
	for _, node := range f.nodes {
		all.merge(node.machine.ownRecord())
		byName[node.name] = node
	}
	keeps := map[*fakeNode][]*fakeNode{}
	for _, node := range f.nodes {
		for _, successor := range all.successors(node.name, defaultNeighbours) {
			keeps[byName[successor]] = append(keeps[byName[successor]], node)
		}
	}
	joined := func(from, to *fakeNode, through []*fakeNode) bool {
		for _, relay := range through {
			if relay != from && relay != to && !blocked(from, relay) && !blocked(relay, to) {
				return true
			}
		}
		return false
	}
	pairs, cut, kept, any := 0, 0, 0, 0
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
			if joined(from, to, keeps[to]) {
				kept++
			}
			if joined(from, to, f.nodes) {
				any++
			}
		}
	}
	b.ReportMetric(100*float64(cut)/float64(pairs), "%-blocked")
	b.ReportMetric(100*float64(kept)/float64(cut), "%-joined-by-keeper")
	b.ReportMetric(100*float64(any)/float64(cut), "%-joined-by-any")
}

// BenchmarkPartialCut measures membership while two regions are cut off each
// other.
//
//	go test -run '^$' -bench PartialCut -benchtime 1x ./prober
func BenchmarkPartialCut(b *testing.B) {
	for range b.N {
		f := newFleet(64, 7, 1, Options{})
		f.until(time.Minute, f.whole)
		f.run(30 * time.Second)
		measurePartialCut(b, f)
	}
}
