package measurer

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Sharding configures how a pool is split between owners and how a shard is chosen.
type Sharding struct {
	// MaxEngines limits the engines of a shard; zero means a single shard.
	MaxEngines int
	// Choices is the number of candidate shards compared for each request.
	Choices int
	// RefreshInterval is the time between updates of the nodes' view of the shards.
	RefreshInterval time.Duration
	// Retry resubmits a refused request once to another shard.
	Retry bool
}

// sharded splits the engines between several owners.
type sharded struct {
	run      *run
	sharding Sharding
	owners   []*ownerStrategy
	// roomByOwner is each owner's roomFraction at the nodes' last refresh.
	roomByOwner []float64
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
	s.roomByOwner = make([]float64, count)
	s.refreshRoom()
	if sharding.RefreshInterval > 0 {
		r.every(sharding.RefreshInterval, s.refreshRoom)
	}
	return s
}

func sortedByDataCentre[E any](engines []E, dataCentreOf func(E) identifier.DataCentre) []E {
	sorted := append([]E(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return dataCentreOf(sorted[i]) < dataCentreOf(sorted[j]) })
	return sorted
}

// equalPart returns part index of a list split into count nearly equal parts.
func equalPart[E any](list []E, index, count int) []E {
	return list[len(list)*index/count : len(list)*(index+1)/count]
}

// refreshRoom updates the nodes' view of all owners.
func (s *sharded) refreshRoom() {
	for i, owner := range s.owners {
		s.roomByOwner[i] = owner.roomFraction()
	}
}

// roomFraction returns the free fraction of an owner's memory minus the fraction
// that waiting demands need, each estimated at the average grant. It can be negative.
func (s *ownerStrategy) roomFraction() float64 {
	var capacity, held identifier.Pieces
	for _, e := range s.decodes {
		capacity += e.pieces
	}
	grants := s.placer.HeldGrants()
	for _, g := range grants {
		held += g.Pieces
	}
	waiting := s.placer.Waiting()
	awaitedPieces := float64(waiting) * float64(held) / float64(max(1, len(grants)))
	return (float64(capacity-held) - awaitedPieces) / float64(capacity)
}

func (s *sharded) arrive(q *request) {
	if q.attempt == 0 {
		q.shard = s.chooseShard(q, -1)
	}
	s.owners[q.shard].arrive(q)
}

// chooseShard returns the shard with the most room among candidates derived from a
// hash of the request's id. It skips the excluded shard; -1 excludes none.
func (s *sharded) chooseShard(q *request, excluded int) int {
	best := -1
	hash := uint64(q.id+1) * 0x9e3779b97f4a7c15
	for range max(1, s.sharding.Choices) {
		shard := int(hash >> 33 % uint64(len(s.owners)))
		hash = hash*0xbf58476d1ce4e5b9 + 1
		if shard == excluded {
			shard = (shard + 1) % len(s.owners)
		}
		if best < 0 || s.roomByOwner[shard] > s.roomByOwner[best] {
			best = shard
		}
	}
	return best
}

// retryAtOtherShard resubmits a refused request to another shard, once and only
// before its first token and deadline. It reports whether it did.
func (s *sharded) retryAtOtherShard(q *request) bool {
	if q.triedElsewhere || q.firstTokenAt > 0 || s.run.now > q.deadline() {
		return false
	}
	q.triedElsewhere = true
	q.shard = s.chooseShard(q, q.shard)
	s.owners[q.shard].arrive(q)
	return true
}

func (s *sharded) jobEnded(j *job, outcome jobOutcome) {
	s.owners[j.request.shard].jobEnded(j, outcome)
}

func (s *sharded) nodeKilled(int) {}

// largerSettings are larger than the sites in Settings. "target" has the lengths
// and latency targets aimed for, with the engine speed of Settings.
var largerSettings = []Setting{
	scaledSetting(Settings[1], 4),
	scaledSetting(Settings[1], 8),
	{
		Name: "target", nodes: 47, prefillEngines: 8, decodeEngines: 88, decodePieces: 28, lesserShare: 0.15,
		dataCentres: []identifier.DataCentre{"a", "b", "c"},
		traffic: [len(identifier.Ranks)]traffic{
			identifier.Urgent: targetTraffic(0.3),
			identifier.Lesser: targetTraffic(0.7),
		},
	},
}

func targetTraffic(fraction float64) traffic {
	return traffic{
		fraction:         fraction,
		prompts:          lengthDistribution{median: 500, sigma: 1.3, least: 30, most: 30_000},
		outputs:          lengthDistribution{median: 320, sigma: 0.65, least: 10, most: 3000},
		firstTokenTarget: 700 * time.Millisecond, betweenTokensTarget: 76 * time.Millisecond,
	}
}

// scaledSetting returns a setting with factor times the engines and nodes.
func scaledSetting(s Setting, factor int) Setting {
	s.Name = fmt.Sprintf("%s x%d", s.Name, factor)
	s.prefillEngines *= factor
	s.decodeEngines *= factor
	s.nodes *= factor
	return s
}

// comparedShardings are the configurations that Shards compares.
var comparedShardings = []Sharding{
	{},
	{MaxEngines: 24},
	{MaxEngines: 12},
	{MaxEngines: 8},
	{MaxEngines: 24, Choices: 2, RefreshInterval: time.Second},
	{MaxEngines: 12, Choices: 2, RefreshInterval: time.Second},
	{MaxEngines: 24, Retry: true},
	{MaxEngines: 12, Retry: true},
}

// String returns the sharding's row name in the report.
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

// Shards writes what splitting a large pool costs, for the named scenarios or for all.
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
			for _, sharding := range comparedShardings {
				compared := Strategy{sharding.String(), func(r *run) strategy { return newSharded(r, sharding) }}
				writeRow(output, compared.Name, Measure(setting, scenario, compared, seeds))
			}
		}
	}
}
