package prober

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

func drawRecord(t *rapid.T) record {
	node := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
	return record{
		member: assigner.Member{
			Node:          identifier.Node(node),
			Incarnation:   identifier.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			PeerAddress:   identifier.Address(node + ":1"),
			Configuration: identifier.Configuration(rapid.IntRange(0, 3).Draw(t, "configuration")),
		},
		revision: rapid.Uint32Range(0, 3).Draw(t, "revision"),
		health:   health(rapid.IntRange(0, 2).Draw(t, "health")),
	}
}

func mergeAll(records []record) *table {
	merged := newTable()
	for _, r := range records {
		if !merged.merge(r) {
			merged.raiseConfiguration(r.runID(), r.member.Configuration)
		}
	}
	return merged
}

// TestMergeConverges checks that merging gives the same table in any order and with
// repeats, that a newer record is never replaced by an older one, and that the
// incrementally updated digests match the records.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 12).Draw(t, "records")
		shuffled := rapid.Permutation(append(slices.Clone(records), records...)).Draw(t, "shuffled")
		one, other := mergeAll(records), mergeAll(shuffled)
		for node, held := range one.records {
			if held.compare(other.records[node]) != 0 {
				t.Fatalf("%s: %+v in one order, %+v in another", node, held, other.records[node])
			}
			for _, r := range records {
				if r.member.Node == node && r.compare(held) > 0 {
					t.Fatalf("%+v was replaced by the older %+v", r, held)
				}
			}
		}
		if one.recordDigests != other.recordDigests {
			t.Fatal("digests depend on the order")
		}
		rebuilt := mergeAll(slices.Collect(maps.Values(one.records)))
		if rebuilt.recordDigests != one.recordDigests || rebuilt.configurationDigests != one.configurationDigests {
			t.Fatal("incrementally updated digests differ from those of the records")
		}
		if len(one.nodeByRun) != len(one.records) {
			t.Fatalf("%d runs of %d records", len(one.nodeByRun), len(one.records))
		}
	})
}

// TestNoLiveNodeStaysDead applies random faults. After they end, every running node
// must see exactly the running nodes as alive. A node's own incarnation and revision
// must never decrease.
func TestNoLiveNodeStaysDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(t, "nodes"), 3, rapid.Uint64Range(1, 1000).Draw(t, "seed"), Options{})
		newest := map[identifier.Node]record{}
		random := rand.New(rand.NewPCG(1, 1))
		pick := func(t *rapid.T) *fakeNode {
			return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "index")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, node := range f.nodes {
					own := node.machine.ownRecord()
					if own.compare(newest[node.name]) < 0 {
						t.Fatalf("%s decreased to %+v from %+v", node.name, own, newest[node.name])
					}
					newest[node.name] = own
				}
			},
			"run":   func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
			"pause": func(t *rapid.T) { f.pause(pick(t)) },
			"resume": func(t *rapid.T) {
				f.resume(pick(t))
			},
			"restart": func(t *rapid.T) {
				old := pick(t)
				old.killed = true
				f.run(time.Millisecond)
				f.start(string(old.name), string(old.dataCentre))
			},
			"cut": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				f.blocked = func(a, b *fakeNode) bool { return a == from && (b == to || to == from) }
			},
			"cut centre": func(*rapid.T) {
				f.blocked = func(a, b *fakeNode) bool { return (a.dataCentre == "dc1") != (b.dataCentre == "dc1") }
			},
			"lose": func(*rapid.T) { f.blocked = func(_, _ *fakeNode) bool { return random.IntN(3) == 0 } },
		})
		f.blocked = func(_, _ *fakeNode) bool { return false }
		for _, node := range f.nodes {
			f.resume(node)
		}
		if took := f.runUntil(3*time.Minute, f.converged); !f.converged() {
			t.Fatalf("not converged after %v: %s", took, f.views())
		}
	})
}

func (f *fleet) views() string {
	var out string
	for _, node := range f.nodes {
		out += fmt.Sprintf("\n%s (killed %v): ", node.name, node.killed)
		for _, member := range node.machine.view().Members {
			out += fmt.Sprintf("%s/%s ", member.Node, member.State)
		}
	}
	return out
}
