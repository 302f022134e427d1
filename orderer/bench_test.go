package orderer

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// targetEngines is the number of engines at the size to build for.
const targetEngines = 720

// levelEngines answer at once that they are what the table says.
type levelEngines struct {
	Engines
}

func (levelEngines) State(_ context.Context, member tabulator.Member) (State, error) {
	return State{Model: member.Model, Version: member.Version, Role: member.Role}, nil
}

// levelSender returns a sender that has read all engines of the target's size.
func levelSender(b *testing.B) (*Orderer, *tabulator.Snapshot) {
	b.Helper()
	pool := tabulator.Pool{Name: "lector", Kind: tabulator.Models}
	for i := range targetEngines {
		pool.Members = append(pool.Members, tabulator.Member{
			Name: identifier.Member(fmt.Sprint("lector-engine-", i)), Address: "192.0.2.1:8000",
			Model: "bitacoras", Version: "v7", Role: identifier.Decode,
		})
	}
	snapshot := &tabulator.Snapshot{Pools: tabulator.Pools{Pools: []tabulator.Pool{pool}}}
	o := New(Options{Engines: levelEngines{}})
	o.follow(snapshot)
	for range targetEngines/o.options.Calls + 1 {
		o.tend(b.Context())
	}
	return o, snapshot
}

// BenchmarkStep is one look at all engines, of which none is due: what a sender
// does each interval beside its calls.
func BenchmarkStep(b *testing.B) {
	o, snapshot := levelSender(b)
	b.ReportAllocs()
	for b.Loop() {
		o.follow(snapshot)
		o.tend(b.Context())
	}
}

// BenchmarkSenderMemory reports the heap of the records of all engines.
func BenchmarkSenderMemory(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		o, snapshot := levelSender(b)
		runtime.KeepAlive(snapshot)
		b.ReportMetric(float64(heapInUse()-before)/1e6, "heap-MB")
		runtime.KeepAlive(o)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
