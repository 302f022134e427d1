package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// shardLoad is the state of a shard of 24 engines whose heap use is measured.
type shardLoad struct {
	name string
	// finished is the number of requests already released. The shard keeps their
	// prefixes, output lengths and releases.
	finished int
	// held is the number of grants, waiting the number of queued demands per rank.
	held, waiting    int
	accounts, routes int
	nodes            int
	// prefixes is the number of prefix hashes per prompt.
	prefixes int
}

// shardLoads are today's load, a 30th of the fleet's target load, and a load that
// reaches every limit.
var shardLoads = []shardLoad{
	{name: "today", finished: 5_000, held: 320, waiting: 50, accounts: 500, routes: 4, nodes: 8, prefixes: 6},
	{name: "target", finished: 10_000, held: 2_560, waiting: 300, accounts: 14_000, routes: 15, nodes: 350, prefixes: 6},
	{name: "bounds", finished: 150_000, held: 2_560, waiting: 1_000, accounts: 14_000, routes: 256, nodes: 350, prefixes: 6},
}

func BenchmarkShardMemory(b *testing.B) {
	for _, load := range shardLoads {
		b.Run(load.name, func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				sh := benchShard(b, 24)
				newFiller(sh, load).fill(b)
				b.ReportMetric(float64(heapInUse()-before)/1e6, "heap-MB")
				runtime.KeepAlive(sh)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// filler fills a shard with a load, using simulated time.
type filler struct {
	shard  *shard
	load   shardLoad
	random *rand.Rand
	now    time.Time
	issued int
}

func newFiller(sh *shard, load shardLoad) *filler {
	return &filler{shard: sh, load: load, random: rand.New(rand.NewPCG(1, 2)), now: time.Now()}
}

func (f *filler) fill(b *testing.B) {
	b.Helper()
	f.shard.applyConfiguration()
	f.placeEach(f.load.finished, func(g placer.Decision) {
		result := placer.Result{Output: identifier.Tokens(1 + f.random.IntN(8000)), Prefilled: true, Decoded: true}
		f.shard.placer.Release(f.now, g.Outcome.Placement.Grant, result)
	})
	holding := map[identifier.Member][]placer.Holding{}
	f.placeEach(f.load.held, func(g placer.Decision) {
		placed := g.Outcome.Placement
		holding[placed.Decode] = append(holding[placed.Decode], placer.Holding{Request: g.Request, Stream: placed.Stream, Pieces: placed.Pieces})
	})
	f.reportLoads(holding)
	for _, rank := range identifier.Ranks {
		for range f.load.waiting {
			d := f.demand()
			// The prompt needs a whole engine, so the demand has to wait.
			d.Rank, d.FirstTokenBudget, d.Prompt = rank, 1000*time.Hour, 2000*benchPieces-1000
			f.shard.placer.Submit(f.now, d)
		}
		if waiting := f.shard.placer.QueueLength(rank); waiting != f.load.waiting {
			b.Fatalf("%d demands of rank %d wait, want %d", waiting, rank, f.load.waiting)
		}
	}
	for i := range f.load.nodes {
		f.shard.outboxFor(f.now, identifier.Node(fmt.Sprint("entry-vm-", i)), benchIncarnation)
	}
	if held := len(f.shard.placer.HeldGrants()); held != f.load.held {
		b.Fatalf("%d grants are held, want %d", held, f.load.held)
	}
}

// placeEach submits requests until count are placed and calls placed for each.
func (f *filler) placeEach(count int, placed func(placer.Decision)) {
	for done := 0; done < count; {
		f.now = f.now.Add(8 * time.Millisecond)
		f.shard.placer.Submit(f.now, f.demand())
		f.shard.placer.Advance(f.now)
		decisions, _ := f.shard.placer.TakeDecisions()
		for _, decision := range decisions {
			if decision.Outcome.Placement != nil && done < count {
				done++
				placed(decision)
			}
		}
	}
}

func (f *filler) demand() placer.Demand {
	f.issued++
	d := benchDemand(f.issued)
	d.Rank = identifier.Ranks[f.issued%len(identifier.Ranks)]
	d.Node = identifier.Node(fmt.Sprint("entry-vm-", f.issued%f.load.nodes))
	d.Account = identifier.Account(fmt.Sprint("account-", f.issued%f.load.accounts))
	d.Route = identifier.Route(fmt.Sprint("route-", f.issued%f.load.routes))
	for range f.load.prefixes {
		d.Prefixes = append(d.Prefixes, f.random.Uint64())
	}
	return d
}

// reportLoads reports the load of each engine with the requests it holds.
func (f *filler) reportLoads(holding map[identifier.Member][]placer.Holding) {
	for name, member := range f.shard.members {
		load := placer.Load{TakenAt: f.now, Free: member.Pieces, Running: len(holding[name]), Holding: holding[name]}
		for _, held := range load.Holding {
			load.Free -= held.Pieces
		}
		f.shard.loads[name] = load
		f.shard.placer.ReportLoad(f.now, name, load)
	}
}

// BenchmarkClientMemory reports the heap use of a node's clients at the target
// load: 240 held grants and 100 waiting demands, over 20 shards.
func BenchmarkClientMemory(b *testing.B) {
	const shards, held, waiting = 20, 12, 5
	for b.Loop() {
		before := heapInUse()
		node := newBenchOwner(24)
		f := newFiller(nil, shardLoad{accounts: 14_000, routes: 15, nodes: 350, prefixes: 6})
		for index := range uint32(shards) {
			c := node.clientFor(shardID{pool: testPool, index: index})
			for i := range held + waiting {
				d := f.demand()
				c.submit(d)
				if i < held {
					c.resolve(c.waiting[d.Request], benchPlacement(i), true)
				}
			}
		}
		b.ReportMetric(float64(heapInUse()-before)/1e6, "heap-MB")
		runtime.KeepAlive(node)
	}
}

func benchPlacement(issued int) placer.Outcome {
	return placer.Outcome{Placement: &placer.Placement{
		Grant:   identifier.Grant(fmt.Sprintf("entry-vm-117.%d.1-%d", benchIncarnation, issued)),
		Prefill: "lector-engine-0", Decode: "lector-engine-1", Pieces: 1, Attempt: 1, Stream: 1,
	}}
}
