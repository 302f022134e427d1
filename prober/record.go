package prober

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// health is how others see a node at one of its revisions. A later one wins.
type health uint8

const (
	alive health = iota
	suspect
	// refused is a suspicion that all who tried had their connections refused: no
	// process listens at the address.
	refused
	dead
)

// runID is a hash of a node's name and incarnation.
type runID uint64

// record is what is known of one node. Records of a node are totally ordered by
// incarnation, revision and health, so that merging is taking the larger one:
// it gives the same in any order and however often.
type record struct {
	// member.State is unused; health and leaving stand for it.
	member assigner.Member
	// revision counts what the node said about itself in this incarnation. Only
	// the node raises it, so all but health and configuration is a function of
	// incarnation and revision.
	revision uint32
	health   health
	leaving  bool
}

// compare orders records of one node; a positive result means r is newer.
func (r record) compare(other record) int {
	return cmp.Or(
		cmp.Compare(r.member.Incarnation, other.member.Incarnation),
		cmp.Compare(r.revision, other.revision),
		cmp.Compare(r.health, other.health),
	)
}

// state returns the member's state in a view.
func (r record) state() assigner.State {
	switch {
	case r.health == dead:
		return assigner.Dead
	case r.leaving:
		return assigner.Leaving
	case r.health == suspect, r.health == refused:
		return assigner.Suspect
	default:
		return assigner.Alive
	}
}

func (r record) viewed() assigner.Member {
	member := r.member
	member.State = r.state()
	return member
}

// digest covers what two nodes must agree on in the end: who lives, and as what.
// Suspicion is left out, since it passes by itself.
func (r record) digest() uint64 {
	return mix(hashName(r.member.Node)^uint64(r.member.Incarnation)) ^ mix(uint64(r.revision)+1)
}

// run names this run of the node in as few bytes as will do. Two runs of the same
// hash would only mix up the configurations shown for them.
func (r record) run() runID {
	return runID(mix(hashName(r.member.Node) ^ mix(uint64(r.member.Incarnation))))
}

// progressDigest covers the configuration in force on the node.
func (r record) progressDigest() uint64 {
	return mix(uint64(r.run()) + mix(uint64(r.member.Configuration)))
}

func hashName(node identifier.Node) uint64 {
	return xxhash.Sum64String(string(node))
}

// mix spreads the bits of a number; it is one to one.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
