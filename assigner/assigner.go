// Package assigner chooses the owner of each shard of work by rendezvous
// hashing over a membership view. Ownership is soft: two nodes with different
// views may both think they own a shard, and whatever they do must stay safe.
package assigner

import (
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
	Node        identifier.Node
	Incarnation identifier.Incarnation
	DataCentre  identifier.DataCentre
	// Peers is where other nodes reach it, Callers where callers do.
	Peers   identifier.Address
	Callers identifier.Address
	State   State
}

// View is an immutable membership view. Members is sorted by node, holds each
// node once, and holds Self.
type View struct {
	Self    Member
	Members []Member
}

// Find returns the member of a name.
func (v *View) Find(node identifier.Node) (Member, bool) {
	for _, member := range v.Members {
		if member.Node == node {
			return member, true
		}
	}
	return Member{}, false
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
		if inside(member) && owns(member) {
			return v.ownerAmong(shard, inside)
		}
	}
	return v.Owner(shard)
}

func (v *View) ownerAmong(shard string, eligible func(Member) bool) Member {
	best, bestScore := v.Self, uint64(0)
	for _, member := range v.Members {
		if !owns(member) || !eligible(member) {
			continue
		}
		if score := score(member.Node, shard); score >= bestScore {
			best, bestScore = member, score
		}
	}
	return best
}

func owns(m Member) bool {
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
