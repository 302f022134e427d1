package prober

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// health is how other nodes see a node at one of its revisions. Of two records of
// the same revision, the one with the larger health wins.
type health uint8

const (
	alive health = iota
	suspect
	// suspectRefused marks a suspect whose address refused the connections of all
	// nodes that tried: no process listens there.
	suspectRefused
	dead
)

// runID identifies a run of a node by a hash of its name and incarnation.
type runID uint64

// record is the state of one node as known here. Records of a node are totally
// ordered by incarnation, revision and health. Merging keeps the largest record,
// so it is commutative, associative and idempotent.
type record struct {
	// member.State is unused; state derives it from health and leaving.
	member assigner.Member
	// revision counts the changes that the node made to its own record in this
	// incarnation. Only the node raises it, so records of the same incarnation and
	// revision differ only in health and configuration.
	revision uint32
	health   health
	leaving  bool
}

// compare orders records of one node. It returns a positive number if r is newer.
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
	case r.health == suspect, r.health == suspectRefused:
		return assigner.Suspect
	default:
		return assigner.Alive
	}
}

func (r record) toMember() assigner.Member {
	member := r.member
	member.State = r.state()
	return member
}

// digest returns a hash of the node, incarnation and revision, which must become equal
// on all nodes. Health is left out, because a suspicion ends without a repair.
func (r record) digest() uint64 {
	return mixBits(hashName(r.member.Node)^uint64(r.member.Incarnation)) ^ mixBits(uint64(r.revision)+1)
}

// runID returns the short identifier of this run of the node. If two runs have the same
// hash, the only effect is that one may be shown with the other's configuration.
func (r record) runID() runID {
	return runID(mixBits(hashName(r.member.Node) ^ mixBits(uint64(r.member.Incarnation))))
}

// configurationDigest returns a hash of the run and its configuration in force.
func (r record) configurationDigest() uint64 {
	return mixBits(uint64(r.runID()) + mixBits(uint64(r.member.Configuration)))
}

func hashName(node identifier.Node) uint64 {
	return xxhash.Sum64String(string(node))
}

// mixBits is a bijective hash of a number.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
