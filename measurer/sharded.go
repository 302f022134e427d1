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
	// MaxEngines bounds the engines of a shard; zero makes one shard.
	MaxEngines int
	// Choices is how many shards a demand's node chooses between.
	Choices int
	// RefreshInterval is how old the node's knowledge of the shards is at most.
	RefreshInterval time.Duration
	// Retry tries a refused demand once at another shard.
	Retry bool
}

// sharded splits the engines between several owners.
type sharded struct {
	run      *run
	sharding Sharding
	owners   []*ownerStrategy
	// room is the free less the awaited part of each owner's memory, as the nodes
	// were last told.
	room []float64
}

func newSharded(r *run, sharding Sharding) *sharded {
	s := &sharded{run: r, sharding: sharding}
	count := 1
	if sharding.MaxEngines > 0 {
		count = (len(r.prefills) + len(r.decodes) + sharding.MaxEngines - 1) / sharding.MaxEngines
		count = min(count, len(r.prefills), len(r.decodes))
	}
	prefills := sortedByDataCentre(r.prefills, func(e *prefillEngine) identifier.DataCentre { return e.dataCentre })
	decodes := sortedByDataCentre(r.decodes, func(e *decodeEngine) identifier.DataCentre { return e.dataCentre })
	for i := range count {
		owner := newOwner(r, Variant{}, fmt.Sprint("owner-", i), equalPart(prefills, i, count), equalPart(decodes, i, count))
		if sharding.Retry && count > 1 {
			owner.retryElsewhere = s.retryAtOtherShard
		}
		s.owners = append(s.owners, owner)
	}
	s.room = make([]float64, count)
	s.refreshRoom()
	if sharding.RefreshInterval > 0 {
		r.every(sharding.RefreshInterval, s.refreshRoom)
	}
	return s
}

func sortedByDataCentre[E any](engines []E, place func(E) identifier.DataCentre) []E {
	sorted := append([]E(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return place(sorted[i]) < place(sorted[j]) })
	return sorted
}

// equalPart is one of several equal parts of a list.
func equalPart[E any](list []E, index, count int) []E {
	return list[len(list)*index/count : len(list)*(index+1)/count]
}

// refreshRoom notes what the owners tell about themselves.
func (s *sharded) refreshRoom() {
	for i, owner := range s.owners {
		s.room[i] = owner.roomFraction()
	}
}

// roomFraction is the free less the awaited part of an owner's memory. A waiting demand
// counts as much as the average grant.
func (s *ownerStrategy) roomFraction() float64 {
	var capacity, held identifier.Pieces
	for _, e := range s.decodes {
		capacity += e.pieces
	}
	grants := s.placer.Held()
	for _, g := range grants {
		held += g.Pieces
	}
	waiting := s.placer.Waiting(identifier.Urgent) + s.placer.Waiting(identifier.Lesser)
	awaited := float64(waiting) * float64(held) / float64(max(1, len(grants)))
	return (float64(capacity-held) - awaited) / float64(capacity)
}

func (s *sharded) arrive(q *request) {
	if q.attempt == 0 {
		q.shard = s.chooseShard(q, -1)
	}
	s.owners[q.shard].arrive(q)
}

// chooseShard picks the shard with the most room of some that a request's id names.
func (s *sharded) chooseShard(q *request, excluded int) int {
	best := -1
	hash := uint64(q.id+1) * 0x9e3779b97f4a7c15
	for range max(1, s.sharding.Choices) {
		shard := int(hash >> 33 % uint64(len(s.owners)))
		hash = hash*0xbf58476d1ce4e5b9 + 1
		if shard == excluded {
			shard = (shard + 1) % len(s.owners)
		}
		if best < 0 || s.room[shard] > s.room[best] {
			best = shard
		}
	}
	return best
}

// retryAtOtherShard tries a refused request at another shard, once.
func (s *sharded) retryAtOtherShard(q *request) bool {
	if q.triedElsewhere || q.first > 0 || s.run.now > q.deadline() {
		return false
	}
	q.triedElsewhere = true
	q.shard = s.chooseShard(q, q.shard)
	s.owners[q.shard].arrive(q)
	return true
}

func (s *sharded) jobEnded(j *job, how jobOutcome) { s.owners[j.request.shard].jobEnded(j, how) }

func (s *sharded) nodeKilled(int) {}

// The settings that are larger than the firms' of today. Target has the target's
// lengths and latencies, with engines as fast as today's.
var largerSettings = []Setting{
	scaledSetting(Settings[1], 4),
	scaledSetting(Settings[1], 8),
	{
		Name: "target", nodes: 47, prefillEngines: 8, decodeEngines: 88, decodePieces: 28, lesserShare: 0.15,
		dataCentres: []identifier.DataCentre{"a", "b", "c"},
		traffic: [2]traffic{
			identifier.Urgent: targetTraffic(0.3),
			identifier.Lesser: targetTraffic(0.7),
		},
	},
}

func targetTraffic(part float64) traffic {
	return traffic{
		fraction:     part,
		prompts:      lengths{median: 500, sigma: 1.3, least: 30, most: 30_000},
		outputs:      lengths{median: 320, sigma: 0.65, least: 10, most: 3000},
		firstTokenAt: 700 * time.Millisecond, betweenTokens: 76 * time.Millisecond,
	}
}

// scaledSetting is a setting with more engines and nodes.
func scaledSetting(s Setting, factor int) Setting {
	s.Name = fmt.Sprintf("%s x%d", s.Name, factor)
	s.prefillEngines *= factor
	s.decodeEngines *= factor
	s.nodes *= factor
	return s
}

// shardings are the ways that Shards compares.
var shardings = []Sharding{
	{},
	{MaxEngines: 24},
	{MaxEngines: 12},
	{MaxEngines: 8},
	{MaxEngines: 24, Choices: 2, RefreshInterval: time.Second},
	{MaxEngines: 12, Choices: 2, RefreshInterval: time.Second},
	{MaxEngines: 24, Retry: true},
	{MaxEngines: 12, Retry: true},
}

// String names the sharding in the report.
func (s Sharding) String() string {
	if s.MaxEngines == 0 {
		return "one shard"
	}
	text := fmt.Sprint("shards of ", s.MaxEngines)
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
			setting.Name, setting.prefillEngines, setting.decodeEngines, setting.capacity())
		for _, scenario := range Scenarios {
			if !selected(scenario.Name, scenarios) {
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
