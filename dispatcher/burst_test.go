package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// The load of an owner in a burst: engines with little memory for many slots, and each
// node with a demand or two a second.
const (
	burstEngines      = 60
	burstNodes        = 68
	burstRate         = 130
	burstEngineTokens = 26_382
	burstPieceTokens  = 256
	burstTokenTime    = 4300 * time.Microsecond
	burstStep         = 5 * time.Millisecond
)

// burstLoad drives a shard that isn't running with the calls of burstNodes nodes. It passes
// in the time, so that the outcome doesn't depend on the machine.
type burstLoad struct {
	b         testing.TB
	shard     *shard
	now       time.Time
	random    *rand.Rand
	submitted int
	demands   map[identifier.Request]placer.Demand
	streams   map[identifier.Grant]*burstStream
	// nextAdvance is when the shard's own goroutine would advance the placer.
	nextAdvance time.Time
	placed      int
	refused     int
}

type burstStream struct {
	held   heldGrant
	node   int
	output identifier.Tokens
	// decodesAt is when the stream begins.
	decodesAt time.Time
	renewedAt time.Time
}

func newBurstLoad(b testing.TB) *burstLoad {
	b.Helper()
	owner := newBurstOwner()
	owner.server.startShard = func(*shard) {}
	sh, err := owner.server.findOwnedShard(string(testPool), 0)
	if err != nil {
		b.Fatal(err)
	}
	l := &burstLoad{
		b: b, shard: sh, now: time.Now(), random: rand.New(rand.NewPCG(1, 2)),
		demands: map[identifier.Request]placer.Demand{}, streams: map[identifier.Grant]*burstStream{},
	}
	l.nextAdvance = l.now
	return l
}

// newBurstOwner returns an owner that isn't running, of engines with the burst's memory.
func newBurstOwner() *Dispatcher {
	owner := newBenchOwner(burstEngines)
	pool := &owner.options.Snapshot().Pools.Pools[0]
	pool.PieceTokens, pool.UseForecast, pool.TokensPerStreamEvent = burstPieceTokens, true, 12
	pool.LesserShare, pool.LocalPrefillRatio = 0.02, 0.5
	for i := range pool.Members {
		member := &pool.Members[i]
		member.Pieces, member.Concurrency, member.PrefillRate, member.LinkRate = burstEngineTokens/burstPieceTokens, 48, 30_000, 1e12
	}
	return owner
}

// run plays the load at a rate of requests a second.
func (l *burstLoad) run(rate float64, span time.Duration) {
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(burstStep) {
		l.submitArrivals(rate)
		l.endStreams()
		l.renewGrants()
		if !l.now.Before(l.nextAdvance) {
			interval, _ := l.shard.advance(l.now)
			l.nextAdvance = l.now.Add(interval)
		}
		l.collect()
	}
}

func (l *burstLoad) submitArrivals(rate float64) {
	for range l.drawCount(rate * burstStep.Seconds()) {
		l.submitted++
		demand := placer.Demand{
			Request: identifier.Request(fmt.Sprintf("%016x", l.submitted)), Attempt: uint64(l.now.UnixMilli()), Pool: testPool,
			Route: "quote", Rank: identifier.Rank(l.submitted % 2), Prompt: l.drawTokens(3200, 0.5, 6600), MaxOutput: 2040,
			OutputHint: l.drawTokens(864, 0.7, 2040), QueueTimeout: 400 * time.Millisecond, FirstTokenBudget: 800 * time.Millisecond,
			MaxTokenInterval: 300 * time.Millisecond, RetryKey: l.random.Uint64(), NoResume: true,
		}
		l.demands[demand.Request] = demand
		request := l.newRequest(l.submitted % burstNodes)
		request.Demands = append(request.Demands, encodeDemand(&demand, demand.FirstTokenBudget))
		l.exchange(request)
	}
}

// drawCount draws the number of arrivals in a step from a Poisson distribution.
func (l *burstLoad) drawCount(mean float64) int {
	count := 0
	for product := l.random.Float64(); product > math.Exp(-mean); product *= l.random.Float64() {
		count++
	}
	return count
}

func (l *burstLoad) drawTokens(mean, spread, most float64) identifier.Tokens {
	return identifier.Tokens(min(most, mean*math.Exp(spread*l.random.NormFloat64()-spread*spread/2)))
}

func (l *burstLoad) newRequest(node int) *dispatcherrpc.ExchangeRequest {
	return &dispatcherrpc.ExchangeRequest{Node: fmt.Sprint("entry-vm-", node), Incarnation: benchIncarnation, Pool: string(testPool)}
}

func (l *burstLoad) exchange(request *dispatcherrpc.ExchangeRequest) {
	response, err := l.shard.exchange(l.now, request)
	if err != nil {
		l.b.Fatal(err)
	}
	l.apply(response.GetDecisions())
}

func (l *burstLoad) collect() {
	for node := range burstNodes {
		decisions, _ := l.shard.takeDecisions(identifier.Node(fmt.Sprint("entry-vm-", node)))
		l.apply(decisions)
	}
}

func (l *burstLoad) apply(decisions []*dispatcherrpc.Decision) {
	for _, message := range decisions {
		decision := decodeDecision(message)
		demand := l.demands[decision.Request]
		delete(l.demands, decision.Request)
		placed := decision.Outcome.Placement
		if placed == nil {
			l.refused++
			continue
		}
		l.placed++
		l.streams[placed.Grant] = &burstStream{
			held: heldGrant{knownToOwner: true, HeldGrant: placer.HeldGrant{Grant: placed.Grant, Demand: demand}},
			node: l.placed % burstNodes, output: l.drawTokens(float64(demand.OutputHint), 0.5, 2040),
			decodesAt: l.now.Add(150 * time.Millisecond), renewedAt: l.now,
		}
	}
}

func (s *burstStream) generated(now time.Time) identifier.Tokens {
	return min(s.output, identifier.Tokens(max(0, now.Sub(s.decodesAt))/burstTokenTime))
}

func (l *burstLoad) endStreams() {
	for grant, stream := range l.streams {
		if stream.generated(l.now) < stream.output {
			continue
		}
		delete(l.streams, grant)
		request := l.newRequest(stream.node)
		request.Releases = append(request.Releases, &dispatcherrpc.Release{Grant: string(grant), OutputTokens: int64(stream.output), Prefilled: true, Decoded: true})
		l.exchange(request)
	}
}

// renewGrants renews all grants of a node together, each second.
func (l *burstLoad) renewGrants() {
	requests := map[int]*dispatcherrpc.ExchangeRequest{}
	for _, stream := range l.streams {
		if l.now.Sub(stream.renewedAt) < time.Second {
			continue
		}
		stream.renewedAt = l.now
		stream.held.Output, stream.held.Decoding = stream.generated(l.now), true
		request := requests[stream.node]
		if request == nil {
			request = l.newRequest(stream.node)
			requests[stream.node] = request
		}
		request.Renewals = append(request.Renewals, encodeRenewal(&stream.held))
	}
	for _, request := range requests {
		l.exchange(request)
	}
}

// BenchmarkOwnerInBurst measures what an owner computes in a second of a burst that its
// engines can't serve. An owner may use a tenth of a core (docs/CAPACITY.md).
func BenchmarkOwnerInBurst(b *testing.B) {
	load := newBurstLoad(b)
	load.run(burstRate/2, 4*time.Second)
	used := cpuTime(b)
	load.placed, load.refused = 0, 0
	simulated := time.Duration(0)
	for b.Loop() {
		load.run(burstRate, time.Second)
		simulated += time.Second
	}
	b.ReportMetric((cpuTime(b)-used).Seconds()/simulated.Seconds(), "cores")
	b.ReportMetric(float64(load.placed)/simulated.Seconds(), "placed/s")
	b.ReportMetric(float64(load.refused)/simulated.Seconds(), "refused/s")
}
