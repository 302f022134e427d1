package prober

import (
	"cmp"
	"slices"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// bucketCount is the number of buckets into which the records are divided by a hash of
// the node, so that two tables can be compared bucket by bucket.
const bucketCount = 32

type bucketDigests [bucketCount]uint64

// table holds the newest record of each node. It is a pure value without a clock.
type table struct {
	records map[identifier.Node]record
	// nodeByRun maps the run ID of each record in records, and no other, to its node.
	nodeByRun map[runID]identifier.Node
	// recordDigests cover the live records.
	recordDigests bucketDigests
	// configurationDigests cover the configurations in force on the live nodes.
	configurationDigests bucketDigests
	// generation increases whenever the set of live nodes changes.
	generation uint64
}

func newTable() *table {
	return &table{records: map[identifier.Node]record{}, nodeByRun: map[runID]identifier.Node{}}
}

// merge stores a record if it is newer than the one held and reports whether it was.
// Within an incarnation the configuration never decreases.
func (t *table) merge(r record) bool {
	held, known := t.records[r.member.Node]
	if known && r.compare(held) <= 0 {
		return false
	}
	if known && held.member.Incarnation == r.member.Incarnation {
		r.member.Configuration = max(r.member.Configuration, held.member.Configuration)
	}
	t.put(r)
	return true
}

// raiseConfiguration sets the configuration number of a run if the run is known and the
// number is higher than the one held. It reports whether the table changed.
func (t *table) raiseConfiguration(run runID, number identifier.Configuration) bool {
	held, known := t.records[t.nodeByRun[run]]
	if !known || number <= held.member.Configuration {
		return false
	}
	held.member.Configuration = number
	t.put(held)
	return true
}

// replacedRuns compares a record with each other record of the same address and returns the
// older one of each pair if it is live; this may be the given record. The older run has
// ended, because no two processes listen at one address.
func (t *table) replacedRuns(changed record) []record {
	var replaced []record
	for _, held := range t.records {
		if held.member.PeerAddress != changed.member.PeerAddress || held.member.Node == changed.member.Node {
			continue
		}
		older := changed
		if held.member.Incarnation < changed.member.Incarnation {
			older = held
		}
		if older.health != dead {
			replaced = append(replaced, older)
		}
	}
	return replaced
}

// put replaces the record of a node and updates the digests and the generation.
func (t *table) put(r record) {
	held, known := t.records[r.member.Node]
	bucket := bucketOf(r.member.Node)
	wasLive := known && held.health != dead
	if wasLive {
		t.recordDigests[bucket] -= held.digest()
		t.configurationDigests[bucket] -= held.configurationDigest()
	}
	if r.health != dead {
		t.recordDigests[bucket] += r.digest()
		t.configurationDigests[bucket] += r.configurationDigest()
	}
	if wasLive != (r.health != dead) {
		t.generation++
	}
	delete(t.nodeByRun, held.runID())
	t.nodeByRun[r.runID()] = r.member.Node
	t.records[r.member.Node] = r
}

func (t *table) forget(node identifier.Node) {
	if held, known := t.records[node]; known && held.health == dead {
		delete(t.records, node)
		delete(t.nodeByRun, held.runID())
	}
}

func bucketOf(node identifier.Node) int {
	return int(mixBits(hashName(node)) % bucketCount)
}

func (d bucketDigests) sum() uint64 {
	var sum uint64
	for _, bucket := range d {
		sum = mixBits(sum ^ bucket)
	}
	return sum
}

// differingRecords returns up to limit records, live and dead, from the buckets whose
// digests differ from another table's.
func (t *table) differingRecords(theirs bucketDigests, limit int) []record {
	var found []record
	for _, held := range t.records {
		bucket := bucketOf(held.member.Node)
		if t.recordDigests[bucket] != theirs[bucket] {
			found = append(found, held)
		}
	}
	sortRecords(found)
	return found[:min(limit, len(found))]
}

// differingConfigurations returns the live records from the buckets whose configuration
// digests differ from another table's.
func (t *table) differingConfigurations(theirs bucketDigests) []record {
	var found []record
	for _, held := range t.liveExcept("") {
		bucket := bucketOf(held.member.Node)
		if t.configurationDigests[bucket] != theirs[bucket] {
			found = append(found, held)
		}
	}
	return found
}

// liveExcept returns the records of the live nodes except one, sorted by name.
func (t *table) liveExcept(except identifier.Node) []record {
	found := make([]record, 0, len(t.records))
	for _, held := range t.records {
		if held.health != dead && held.member.Node != except {
			found = append(found, held)
		}
	}
	sortRecords(found)
	return found
}

func sortRecords(records []record) {
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.member.Node, b.member.Node) })
}

// members returns all members, live and dead, sorted by node.
func (t *table) members() []assigner.Member {
	members := make([]assigner.Member, 0, len(t.records))
	for _, held := range t.records {
		members = append(members, held.toMember())
	}
	slices.SortFunc(members, func(a, b assigner.Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}

// successors returns the neighbours of a node. Each ring orders the live nodes by a
// different hash and adds the next node that no earlier ring has added. The rings form
// an expander graph, on which updates reach all nodes in a logarithmic number of steps.
func (t *table) successors(of identifier.Node, rings int) []identifier.Node {
	others := t.liveExcept(of)
	var chosen []identifier.Node
	for ring := range rings {
		own := ringPosition(of, ring)
		best := closestNode(others, func(node identifier.Node) uint64 { return ringPosition(node, ring) - own })
		if best == "" {
			break
		}
		chosen = append(chosen, best)
		others = slices.DeleteFunc(others, func(r record) bool { return r.member.Node == best })
	}
	return chosen
}

// closestNode returns the node at the smallest distance, or "" if there are no nodes.
func closestNode(others []record, distance func(identifier.Node) uint64) identifier.Node {
	var best identifier.Node
	var least uint64
	for _, other := range others {
		if d := distance(other.member.Node); best == "" || d < least {
			best, least = other.member.Node, d
		}
	}
	return best
}

// predecessors returns the previous live node on each ring. These nodes most likely have
// the given node as their neighbour, and so keep a connection to it.
func (t *table) predecessors(of identifier.Node, rings int) []identifier.Node {
	others := t.liveExcept(of)
	var chosen []identifier.Node
	for ring := range rings {
		own := ringPosition(of, ring)
		best := closestNode(others, func(node identifier.Node) uint64 { return own - ringPosition(node, ring) })
		if best != "" && !slices.Contains(chosen, best) {
			chosen = append(chosen, best)
		}
	}
	return chosen
}

func ringPosition(node identifier.Node, ring int) uint64 {
	return mixBits(hashName(node) + uint64(ring)*0x9e3779b97f4a7c15)
}
