// Package assigner chooses the owner of each shard of work by rendezvous hashing
// over a membership view. Ownership is soft: nodes with different views can own
// the same shard at the same time, so what an owner does must be safe even then.
package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// State is the state of a member in a membership view.
type State string

// The states of members.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is a node of the fleet as listed in a membership view.
type Member struct {
	Node identifier.Node
	// Incarnation identifies one run of the node's process.
	Incarnation identifier.Incarnation
	DataCentre  identifier.DataCentre
	// PeerAddress is where the node serves other nodes.
	PeerAddress identifier.Address
	// CallerAddress is where the node serves callers.
	CallerAddress identifier.Address
	// Capacity is what the node's VM can carry for the fleet; zero means unknown. It does
	// not change within one incarnation.
	Capacity identifier.Capacity
	State    State
	// Configuration is the highest number of a configuration snapshot that the
	// node has announced as in force. It can be out of date, and never decreases
	// within one incarnation.
	Configuration identifier.Configuration
}

// View is an immutable membership view. Members is sorted by node, without
// duplicates, and includes Self. Dead members stay listed for a while, to
// distinguish a dead node from one that is not known yet.
type View struct {
	Self    Member
	Members []Member
	// Suspended is set while this node can't know its state in the other nodes'
	// views, for example after its process was paused. Self then owns nothing,
	// unless no other member can own a shard.
	Suspended bool
}

// Find returns the member for a node, or false if the view has none.
func (v *View) Find(node identifier.Node) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, node, func(m Member, n identifier.Node) int {
		return cmp.Compare(m.Node, n)
	})
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Live returns the members that are not dead, including Self.
func (v *View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, member := range v.Members {
		if member.State != Dead {
			live = append(live, member)
		}
	}
	return live
}

// Owner returns the owner of a shard: of the strong members that are alive or suspect, the
// one with the highest rendezvous score. Suspects keep their shards, so that a short
// suspicion moves no shard. If no member can own a shard, Owner returns Self.
//
// A member is strong if its capacity is at least strongShare of the largest. The work of an
// owner grows with the fleet, and the VMs of a fleet differ in their processors and links.
func (v *View) Owner(shard string) Member {
	return v.ownerAmong(shard, func(Member) bool { return true })
}

// OwnerIn returns the owner of a shard among the members of one data centre, or
// among all members if none in that data centre can own a shard.
func (v *View) OwnerIn(dataCentre identifier.DataCentre, shard string) Member {
	inDataCentre := func(m Member) bool { return m.DataCentre == dataCentre }
	for _, member := range v.Members {
		if inDataCentre(member) && v.canOwn(member) {
			return v.ownerAmong(shard, inDataCentre)
		}
	}
	return v.Owner(shard)
}

// Owns reports whether Self owns a shard.
func (v *View) Owns(shard string) bool {
	return v.Owner(shard).Node == v.Self.Node
}

// OwnerCandidates returns up to limit members in the order in which they would own
// a shard: the current owner, then its successor if the owner is lost, and so on. The members
// that are not strong follow the strong ones.
func (v *View) OwnerCandidates(shard string, limit int) []Member {
	return v.candidatesAmong(shard, limit, func(Member) bool { return true })
}

// OwnerCandidatesIn is like OwnerCandidates, for members of one data centre only.
func (v *View) OwnerCandidatesIn(dataCentre identifier.DataCentre, shard string, limit int) []Member {
	return v.candidatesAmong(shard, limit, func(m Member) bool { return m.DataCentre == dataCentre })
}

func (v *View) candidatesAmong(shard string, limit int, eligible func(Member) bool) []Member {
	var candidates []Member
	for _, member := range v.Members {
		if v.canOwn(member) && eligible(member) {
			candidates = append(candidates, member)
		}
	}
	minCapacity := strongCapacity(candidates)
	strong, weak := candidates[:0:0], candidates[:0:0]
	for _, member := range candidates {
		if member.Capacity >= minCapacity {
			strong = append(strong, member)
		} else {
			weak = append(weak, member)
		}
	}
	sortByScore(strong, shard)
	if len(strong) < limit {
		sortByScore(weak, shard)
		strong = append(strong, weak...)
	}
	return strong[:min(limit, len(strong))]
}

// strongShare is the share of the largest capacity that makes a member strong.
const strongShare = 0.5

// strongCapacity returns the capacity from which a member is strong among the given ones.
func strongCapacity(members []Member) identifier.Capacity {
	var largest identifier.Capacity
	for i := range members {
		largest = max(largest, members[i].Capacity)
	}
	return identifier.Capacity(strongShare * float64(largest))
}

// Ranked returns up to limit of the eligible members, whether they can own shards or not, in
// the order of their rendezvous scores for a key.
func (v *View) Ranked(key string, limit int, eligible func(Member) bool) []Member {
	var ranked []Member
	for _, member := range v.Members {
		if eligible(member) {
			ranked = append(ranked, member)
		}
	}
	sortByScore(ranked, key)
	return ranked[:min(limit, len(ranked))]
}

// HasTurn reports whether Self has the highest rendezvous score for a key of the members that
// are alive or suspect. Unlike Owns it counts weak members too.
func (v *View) HasTurn(key string) bool {
	first := v.Ranked(key, 1, v.canOwn)
	return len(first) == 1 && first[0].Node == v.Self.Node
}

func sortByScore(members []Member, key string) {
	scores := make(map[identifier.Node]uint64, len(members))
	for i := range members {
		scores[members[i].Node] = score(members[i].Node, key)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.Node], scores[a.Node]), cmp.Compare(b.Node, a.Node))
	})
}

func (v *View) ownerAmong(shard string, eligible func(Member) bool) Member {
	var largest identifier.Capacity
	for _, member := range v.Members {
		if member.Capacity > largest && v.canOwn(member) && eligible(member) {
			largest = member.Capacity
		}
	}
	minCapacity := identifier.Capacity(strongShare * float64(largest))
	best, bestScore := v.Self, uint64(0)
	for _, member := range v.Members {
		if member.Capacity < minCapacity || !v.canOwn(member) || !eligible(member) {
			continue
		}
		if score := score(member.Node, shard); score >= bestScore {
			best, bestScore = member, score
		}
	}
	return best
}

// CanOwnShards reports whether Self is eligible to own shards.
func (v *View) CanOwnShards() bool { return v.canOwn(v.Self) }

// canOwn reports whether a member is eligible to own shards.
func (v *View) canOwn(m Member) bool {
	if v.Suspended && m.Node == v.Self.Node {
		return false
	}
	return m.State == Alive || m.State == Suspect
}

// score returns the rendezvous hash of a node and a shard.
func score(node identifier.Node, shard string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(node))
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(shard)
	return digest.Sum64()
}
