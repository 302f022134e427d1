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
