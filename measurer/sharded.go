package measurer

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Sharding is how a pool is split between owners and how a shard is chosen.
type Sharding struct {
	// Engines bounds the engines of a shard; zero makes one shard.
	Engines int
	// Choices is how many shards a demand's node chooses between.
	Choices int
	// NewsAge is how old the node's knowledge of the shards is at most.
	NewsAge time.Duration
	// Retry tries a refused demand once at another shard.
	Retry bool
}

// sharded splits the engines between several owners.
type sharded struct {
	run      *run
	sharding Sharding
	owners   []*dispatched
	// room is the free less the awaited part of each owner's memory, as the nodes
	// were last told.
	room []float64
}

func newSharded(r *run, sharding Sharding) *sharded {
	s := &sharded{run: r, sharding: sharding}
	count := 1
	if sharding.Engines > 0 {
		count = (len(r.prefills) + len(r.decodes) + sharding.Engines - 1) / sharding.Engines
		count = min(count, len(r.prefills), len(r.decodes))
	}
	prefills := sortedByPlace(r.prefills, func(e *prefillEngine) identifier.DataCentre { return e.place })
	decodes := sortedByPlace(r.decodes, func(e *decodeEngine) identifier.DataCentre { return e.place })
	for i := range count {
		owner := newOwner(r, Variant{}, fmt.Sprint("owner-", i), part(prefills, i, count), part(decodes, i, count))
		if sharding.Retry && count > 1 {
			owner.elsewhere = s.move
		}
		s.owners = append(s.owners, owner)
	}
	s.room = make([]float64, count)
	s.listen()
	if sharding.NewsAge > 0 {
		r.every(sharding.NewsAge, s.listen)
	}
	return s
}

func sortedByPlace[E any](engines []E, place func(E) identifier.DataCentre) []E {
	sorted := append([]E(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return place(sorted[i]) < place(sorted[j]) })
	return sorted
}

// part is one of several equal parts of a list.
func part[E any](list []E, index, count int) []E {
	return list[len(list)*index/count : len(list)*(index+1)/count]
}

// listen notes what the owners tell about themselves.
func (s *sharded) listen() {
	for i, owner := range s.owners {
		s.room[i] = owner.room()
	}
}

// room is the free less the awaited part of an owner's memory. A waiting demand
// counts as much as the average grant.
func (s *dispatched) room() float64 {
	var capacity, held identifier.Pieces
	for _, e := range s.decodes {
		capacity += e.pieces
	}
	grants := s.placer.HeldGrants()
	for _, g := range grants {
		held += g.Pieces
	}
	waiting := s.placer.QueueLength(identifier.Urgent) + s.placer.QueueLength(identifier.Lesser)
	awaited := float64(waiting) * float64(held) / float64(max(1, len(grants)))
	return (float64(capacity-held) - awaited) / float64(capacity)
}

func (s *sharded) arrive(q *request) {
	if q.attempt == 0 {
		q.shard = s.choose(q, -1)
	}
	s.owners[q.shard].arrive(q)
}

// choose picks the shard with the most room of some that a request's id names.
func (s *sharded) choose(q *request, but int) int {
	best := -1
	hash := uint64(q.id+1) * 0x9e3779b97f4a7c15
	for range max(1, s.sharding.Choices) {
		shard := int(hash >> 33 % uint64(len(s.owners)))
		hash = hash*0xbf58476d1ce4e5b9 + 1
		if shard == but {
			shard = (shard + 1) % len(s.owners)
		}
		if best < 0 || s.room[shard] > s.room[best] {
			best = shard
		}
	}
	return best
}

// move tries a refused request at another shard, once.
func (s *sharded) move(q *request) bool {
	if q.moved || q.first > 0 || s.run.now > q.deadline() {
		return false
	}
	q.moved = true
	q.shard = s.choose(q, q.shard)
	s.owners[q.shard].arrive(q)
	return true
}

func (s *sharded) ended(j *job, how ending) { s.owners[j.request.shard].ended(j, how) }

func (s *sharded) killed(int) {}

// The settings that are larger than the firms' of today. Target has the target's
// lengths and latencies, with engines as fast as today's.
var largerSettings = []Setting{
	times(Settings[1], 4),
	times(Settings[1], 8),
	{
		Name: "target", nodes: 47, prefill: 8, decode: 88, pieces: 28, lesserShare: 0.15,
		centres: []identifier.DataCentre{"a", "b", "c"},
		traffic: [2]traffic{
			identifier.Urgent: targetTraffic(0.3),
			identifier.Lesser: targetTraffic(0.7),
		},
	},
}

func targetTraffic(part float64) traffic {
	return traffic{
		part:       part,
		prompts:    lengths{median: 500, sigma: 1.3, least: 30, most: 30_000},
		outputs:    lengths{median: 320, sigma: 0.65, least: 10, most: 3000},
		firstToken: 700 * time.Millisecond, betweenTokens: 76 * time.Millisecond,
	}
}

// times is a setting with more engines and nodes.
func times(s Setting, factor int) Setting {
	s.Name = fmt.Sprintf("%s x%d", s.Name, factor)
	s.prefill *= factor
	s.decode *= factor
	s.nodes *= factor
	return s
}

// shardings are the ways that Shards compares.
var shardings = []Sharding{
	{},
	{Engines: 24},
	{Engines: 12},
	{Engines: 8},
	{Engines: 24, Choices: 2, NewsAge: time.Second},
	{Engines: 12, Choices: 2, NewsAge: time.Second},
	{Engines: 24, Retry: true},
	{Engines: 12, Retry: true},
}

// String names the sharding in the report.
func (s Sharding) String() string {
	if s.Engines == 0 {
		return "one shard"
	}
	text := fmt.Sprint("shards of ", s.Engines)
	if s.Choices > 1 {
		text += fmt.Sprint(" best-of-", s.Choices)
	}
	if s.Retry {
		text += " retry"
	}
	return text
}

// Shards measures what splitting a large pool between owners costs.
func Shards(output io.Writer, scenarios []string, seeds int) {
	for i := range largerSettings {
		setting := &largerSettings[i]
		_, _ = fmt.Fprintf(output, "\n%s: %d prefill and %d decode engines, capacity %.1f requests/s\n",
			setting.Name, setting.prefill, setting.decode, setting.capacity())
		for _, scenario := range Scenarios {
			if !chosen(scenario.Name, scenarios) {
				continue
			}
			writeHeader(output, scenario.Name)
			for _, sharding := range shardings {
				how := Strategy{sharding.String(), func(r *run) strategy { return newSharded(r, sharding) }}
				writeRow(output, how.Name, Measure(setting, scenario, how, seeds))
			}
		}
	}
}
