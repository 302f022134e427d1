package placer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// loadedShard is a shard under steady load, with a third of its engines in prefill.
type loadedShard struct {
	placer    *Placer
	now       time.Time
	random    *rand.Rand
	grants    []identifier.Grant
	submitted int
}

func newLoadedShard(engines int, waiting int) *loadedShard {
	b := &loadedShard{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	settings := Settings{Issuer: "g", QueueLimit: 1 << 20, LesserShare: 0.1, Lease: time.Hour}
	b.placer = New(b.now, settings)
	list := make([]Engine, 0, engines)
	for i := range engines {
		e := Engine{Member: identifier.Member(fmt.Sprint("e", i)), Role: identifier.Decode, Pieces: 60}
		if i%3 == 0 {
			e.Role = identifier.Prefill
		}
		list = append(list, e)
	}
	b.placer.Configure(settings, list)
	for len(b.grants) < engines*2/3*18 {
		b.submit()
		b.advance(engines)
	}
	for b.placer.QueueLength(identifier.Lesser) < waiting {
		b.submitted++
		d := b.newDemand()
		d.Rank = identifier.Lesser
		d.FirstTokenBudget = time.Hour
		d.Prompt = 30_000
		b.placer.Submit(b.now, d)
	}
	return b
}

func (b *loadedShard) newDemand() Demand {
	d := Demand{
		Request: identifier.Request(strconv.Itoa(b.submitted)), Attempt: 1, Node: "n1",
		Account: identifier.Account(strconv.Itoa(b.random.IntN(100))),
		Prompt:  identifier.Tokens(500 + b.random.IntN(5000)), MaxOutput: 500, FirstTokenBudget: 5 * time.Second,
	}
	if b.submitted%3 != 0 {
		d.Rank = identifier.Lesser
	}
	for block := range 8 {
		d.Prefixes = append(d.Prefixes, uint64(b.submitted%200)<<8|uint64(block))
	}
	return d
}

func (b *loadedShard) submit() {
	b.submitted++
	b.placer.Submit(b.now, b.newDemand())
}

// advance passes the time between two requests, at 250 a second for 48 engines.
func (b *loadedShard) advance(engines int) {
	b.now = b.now.Add(4 * time.Millisecond * 48 / time.Duration(engines))
	b.placer.Advance(b.now)
	decisions, _ := b.placer.TakeDecisions()
	for _, d := range decisions {
		if d.Outcome.Placement != nil {
			b.grants = append(b.grants, d.Outcome.Placement.Grant)
		}
	}
}

func (b *loadedShard) release() {
	if len(b.grants) == 0 {
		return
	}
	i := b.random.IntN(len(b.grants))
	b.placer.Release(b.now, b.grants[i], Result{Output: 200, Prefilled: true, Decoded: true})
	b.grants[i] = b.grants[len(b.grants)-1]
	b.grants = b.grants[:len(b.grants)-1]
}

// BenchmarkDecision measures one request from its demand to its release.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{12, 48, 120, 500} {
		b.Run(fmt.Sprint("engines-", engines), func(b *testing.B) {
			runRequestCycles(b, newLoadedShard(engines, 0), engines)
		})
	}
}

// BenchmarkQueue measures one request while many queued demands fit on no engine.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprint("waiting-", waiting), func(b *testing.B) {
			runRequestCycles(b, newLoadedShard(48, waiting), 48)
		})
	}
}

func runRequestCycles(b *testing.B, shard *loadedShard, engines int) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		shard.release()
		shard.submit()
		shard.advance(engines)
	}
}
