package assigner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

func drawView(t *rapid.T) *assigner.View {
	view := &assigner.View{Suspended: rapid.Bool().Draw(t, "suspended")}
	states := []assigner.State{assigner.Alive, assigner.Suspect, assigner.Leaving, assigner.Dead}
	for i := range rapid.IntRange(1, 9).Draw(t, "nodes") {
		view.Members = append(view.Members, assigner.Member{
			Node:       identifier.Node(fmt.Sprint("n", i)),
			DataCentre: identifier.DataCentre(fmt.Sprint("dc", i%3)),
			State:      rapid.SampledFrom(states).Draw(t, "state"),
			Capacity:   rapid.SampledFrom([]identifier.Capacity{0, 192, 800}).Draw(t, "capacity"),
		})
	}
	view.Self = view.Members[0]
	return view
}

// TestOwner checks that owners are eligible, that OwnerCandidates starts with the
// owner, and that removing a member moves only the shards that it owned.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		shard := rapid.StringMatching("[a-z]{1,4}").Draw(t, "shard")
		owner := view.Owner(shard)
		candidates := view.OwnerCandidates(shard, len(view.Members))
		if len(candidates) == 0 {
			if owner.Node != view.Self.Node {
				t.Fatalf("%s owns the shard, want Self because no member is eligible", owner.Node)
			}
			return
		}
		if candidates[0].Node != owner.Node || view.Owns(shard) != (owner.Node == view.Self.Node) {
			t.Fatalf("owner %s, candidates %v", owner.Node, candidates)
		}
		if view.Suspended && owner.Node == view.Self.Node {
			t.Fatal("a suspended node owns the shard")
		}
		smaller := &assigner.View{Self: view.Self, Suspended: view.Suspended}
		removed := candidates[len(candidates)-1].Node
		for _, member := range view.Members {
			if member.Node != removed {
				smaller.Members = append(smaller.Members, member)
			}
		}
		if len(candidates) > 1 && smaller.Owner(shard).Node != owner.Node {
			t.Fatalf("%s lost its shard when %s was removed", owner.Node, removed)
		}
		ownerInDC := view.OwnerIn("dc1", shard)
		if ownerInDC.DataCentre != "dc1" && ownerInDC.Node != owner.Node {
			t.Fatalf("%s of %s owns the shard in dc1", ownerInDC.Node, ownerInDC.DataCentre)
		}
		if found, ok := view.Find(owner.Node); !ok || found != owner {
			t.Fatalf("found %v, %v", found, ok)
		}
	})
}

// TestStrongMembersOwnShards guards against owners on VMs that can't carry the work of a
// large fleet: with six strong VMs of 68, hashing alone put the only owner on a weak one.
func TestStrongMembersOwnShards(t *testing.T) {
	view := &assigner.View{}
	for i := range 68 {
		member := assigner.Member{Node: identifier.Node(fmt.Sprint("n", i)), State: assigner.Alive, Capacity: 192}
		if i%12 == 0 {
			member.Capacity = 800
		}
		view.Members = append(view.Members, member)
	}
	view.Self = view.Members[1]
	owners := map[identifier.Node]bool{}
	for shard := range 100 {
		name := fmt.Sprint("shard-", shard)
		owner := view.Owner(name)
		owners[owner.Node] = true
		candidates := view.OwnerCandidates(name, 10)
		for i, candidate := range candidates {
			if strong := candidate.Capacity == 800; strong != (i < 6) {
				t.Errorf("%s: candidate %d has the capacity %d", name, i, candidate.Capacity)
			}
		}
	}
	if len(owners) != 6 {
		t.Errorf("%d nodes own the shards, want the six strong ones", len(owners))
	}
	for i := range view.Members {
		if view.Members[i].Capacity == 800 {
			view.Members[i].State = assigner.Dead
		}
	}
	if owner := view.Owner("shard-0"); owner.Capacity != 192 {
		t.Errorf("%+v owns a shard after all strong members have died", owner)
	}
}
