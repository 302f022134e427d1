package prober

import (
	"cmp"
	"slices"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// bucketCount is the number of parts in which two tables are compared.
const bucketCount = 32

type digests [bucketCount]uint64

// table holds the newest record of each node. It is a pure value without time.
type table struct {
	records map[identifier.Node]record
	// runs finds the node of a run; it holds just the runs of records.
	runs map[runID]identifier.Node
	// buckets holds the digests of the live records, progress those of the
	// configurations in force on them. Both are kept up to date.
	buckets  digests
	progress digests
	// generation changes whenever the set of live nodes does.
	generation uint64
}

func newTable() *table {
	return &table{records: map[identifier.Node]record{}, runs: map[runID]identifier.Node{}}
}

// merge takes a record in and tells whether it was news.
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

// advance raises the configuration of a run and tells whether it was news.
func (t *table) advance(run runID, number identifier.Configuration) bool {
	held, known := t.records[t.runs[run]]
	if !known || number <= held.member.Configuration {
		return false
	}
	held.member.Configuration = number
	t.put(held)
	return true
}

// displaced returns the live records whose address a later run took over, as far
// as one record tells: no two processes listen at one address.
func (t *table) displaced(by record) []record {
	var displaced []record
	for _, held := range t.records {
		if held.member.PeerAddress != by.member.PeerAddress || held.member.Node == by.member.Node {
			continue
		}
		older := by
		if held.member.Incarnation < by.member.Incarnation {
			older = held
		}
		if older.health != dead {
			displaced = append(displaced, older)
		}
	}
	return displaced
}

func (t *table) put(r record) {
	held, known := t.records[r.member.Node]
	bucket := bucketOf(r.member.Node)
	wasLive := known && held.health != dead
	if wasLive {
		t.buckets[bucket] -= held.digest()
		t.progress[bucket] -= held.progressDigest()
	}
	if r.health != dead {
		t.buckets[bucket] += r.digest()
		t.progress[bucket] += r.progressDigest()
	}
	if wasLive != (r.health != dead) {
		t.generation++
	}
	delete(t.runs, held.run())
	t.runs[r.run()] = r.member.Node
	t.records[r.member.Node] = r
}

// forget drops the record of a dead node.
func (t *table) forget(node identifier.Node) {
	if held, known := t.records[node]; known && held.health == dead {
		delete(t.records, node)
		delete(t.runs, held.run())
	}
}

func bucketOf(node identifier.Node) int {
	return int(mix(hashName(node)) % bucketCount)
}

// sum covers all buckets.
func (d digests) sum() uint64 {
	var sum uint64
	for _, bucket := range d {
		sum = mix(sum ^ bucket)
	}
	return sum
}

// differing returns the records, dead ones too, of the buckets that differ from
// another table's, up to a limit.
func (t *table) differing(from digests, limit int) []record {
	var found []record
	for _, held := range t.records {
		bucket := bucketOf(held.member.Node)
		if t.buckets[bucket] != from[bucket] {
			found = append(found, held)
		}
	}
	sortRecords(found)
	return found[:min(limit, len(found))]
}

// differingProgress returns the live records in the buckets in which the
// configurations differ from another table's.
func (t *table) differingProgress(from digests) []record {
	var found []record
	for _, held := range t.live("") {
		bucket := bucketOf(held.member.Node)
		if t.progress[bucket] != from[bucket] {
			found = append(found, held)
		}
	}
	return found
}

// live returns the nodes that are not dead, but for one, sorted by name.
func (t *table) live(except identifier.Node) []record {
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

// members returns all members sorted by node, as a view lists them.
func (t *table) members() []assigner.Member {
	members := make([]assigner.Member, 0, len(t.records))
	for _, held := range t.records {
		members = append(members, held.viewed())
	}
	slices.SortFunc(members, func(a, b assigner.Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}

// successors returns the node's neighbours: on each of several rings, in which
// the live nodes stand in an order of their own, the next that is not taken yet.
// Several rings make the graph an expander, on which news spreads in a number of
// steps logarithmic in the nodes.
func (t *table) successors(of identifier.Node, rings int) []identifier.Node {
	others := t.live(of)
	var chosen []identifier.Node
	for ring := range rings {
		own := ringPosition(of, ring)
		best := closest(others, func(node identifier.Node) uint64 { return ringPosition(node, ring) - own })
		if best == "" {
			break
		}
		chosen = append(chosen, best)
		others = slices.DeleteFunc(others, func(r record) bool { return r.member.Node == best })
	}
	return chosen
}

// closest returns the first node at the least distance, or none without nodes.
func closest(others []record, distance func(identifier.Node) uint64) identifier.Node {
	var best identifier.Node
	var least uint64
	for _, other := range others {
		if d := distance(other.member.Node); best == "" || d < least {
			best, least = other.member.Node, d
		}
	}
	return best
}

// predecessors returns the nodes that most likely keep a connection to a node.
func (t *table) predecessors(of identifier.Node, rings int) []identifier.Node {
	others := t.live(of)
	var chosen []identifier.Node
	for ring := range rings {
		own := ringPosition(of, ring)
		best := closest(others, func(node identifier.Node) uint64 { return own - ringPosition(node, ring) })
		if best != "" && !slices.Contains(chosen, best) {
			chosen = append(chosen, best)
		}
	}
	return chosen
}

func ringPosition(node identifier.Node, ring int) uint64 {
	return mix(hashName(node) + uint64(ring)*0x9e3779b97f4a7c15)
}
