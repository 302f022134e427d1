// Package assigner chooses the owner of each shard of work by rendezvous
// hashing over a membership view. Ownership is soft: two nodes with different
// views may both think they own a shard, and whatever they do must stay safe.
package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// State is how a member of the fleet is seen.
type State string

// The states of members.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is one node as the others see it.
type Member struct {
	Node identifier.Node
	// Incarnation names one run of the node; it stays the same until the
	// process ends.
	Incarnation identifier.Incarnation
	DataCentre  identifier.DataCentre
	// Peers is where other nodes reach it, Callers where callers do.
	Peers   identifier.Address
	Callers identifier.Address
	State   State
	// Configuration is the largest snapshot the node has said to be in force
	// on it. It lags, and never falls within one incarnation.
	Configuration identifier.Configuration
}

// View is an immutable membership view. Members is sorted by node, holds each
// node once, and holds Self. Dead members stay listed until they are forgotten,
// so that a dead node can be told from one not heard of yet.
type View struct {
	Self    Member
	Members []Member
	// Suspended is set while the node cannot know what the others decided about
	// it, after a pause of its process. It then owns nothing, unless no other
	// node is left.
	Suspended bool
}

// Find returns the member of a name.
func (v *View) Find(node identifier.Node) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, node, func(m Member, n identifier.Node) int {
		return cmp.Compare(m.Node, n)
	})
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Live returns the members that are not dead, Self among them.
func (v *View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, member := range v.Members {
		if member.State != Dead {
			live = append(live, member)
		}
	}
	return live
}

// Owner returns the owner of a shard: the alive member of the largest hash.
// Suspects still own what they owned, so that a short suspicion moves nothing.
// Without any other, the node itself owns everything.
func (v *View) Owner(shard string) Member {
	return v.ownerAmong(shard, func(Member) bool { return true })
}

// OwnerIn returns the owner of a shard among the members of one data centre,
// or the fleet's owner where that data centre has no member.
func (v *View) OwnerIn(dataCentre identifier.DataCentre, shard string) Member {
	inside := func(m Member) bool { return m.DataCentre == dataCentre }
	for _, member := range v.Members {
		if inside(member) && v.owns(member) {
			return v.ownerAmong(shard, inside)
		}
	}
	return v.Owner(shard)
}

// Owns tells whether the node itself is the owner of a shard.
func (v *View) Owns(shard string) bool {
	return v.Owner(shard).Node == v.Self.Node
}

// Ranked returns up to limit members in the order in which they would own a
// shard: the owner first, then who follows when those before are gone.
func (v *View) Ranked(shard string, limit int) []Member {
	return v.rankedAmong(shard, limit, func(Member) bool { return true })
}

// RankedIn is Ranked among the members of one data centre.
func (v *View) RankedIn(dataCentre identifier.DataCentre, shard string, limit int) []Member {
	return v.rankedAmong(shard, limit, func(m Member) bool { return m.DataCentre == dataCentre })
}

func (v *View) rankedAmong(shard string, limit int, eligible func(Member) bool) []Member {
	var ranked []Member
	for _, member := range v.Members {
		if v.owns(member) && eligible(member) {
			ranked = append(ranked, member)
		}
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b.Node, shard), score(a.Node, shard)), cmp.Compare(b.Node, a.Node))
	})
	return ranked[:min(limit, len(ranked))]
}

func (v *View) ownerAmong(shard string, eligible func(Member) bool) Member {
	best, bestScore := v.Self, uint64(0)
	for _, member := range v.Members {
		if !v.owns(member) || !eligible(member) {
			continue
		}
		if score := score(member.Node, shard); score >= bestScore {
			best, bestScore = member, score
		}
	}
	return best
}

func (v *View) owns(m Member) bool {
	if v.Suspended && m.Node == v.Self.Node {
		return false
	}
	return m.State == Alive || m.State == Suspect
}

func score(node identifier.Node, shard string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(node))
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(shard)
	return digest.Sum64()
}
