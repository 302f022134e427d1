package orderer

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// targetEngines is the number of engines of the largest fleet to support.
const targetEngines = 720

// matchingEngines reports every engine in the state that its row of the table wants.
type matchingEngines struct {
	Engines
}

func (matchingEngines) State(_ context.Context, member tabulator.Member) (State, error) {
	return State{Model: member.Model, Version: member.Version, Role: member.Role}, nil
}

// newMatchingOrderer returns an orderer that has read targetEngines matching engines.
func newMatchingOrderer(b *testing.B) (*Orderer, *tabulator.Snapshot) {
	b.Helper()
	pool := tabulator.Pool{Name: "lector", Kind: tabulator.Models}
	for i := range targetEngines {
		pool.Members = append(pool.Members, tabulator.Member{
			Name: identifier.Member(fmt.Sprint("lector-engine-", i)), Address: "192.0.2.1:8000",
			Model: "bitacoras", Version: "v7", Role: identifier.Decode,
		})
	}
	snapshot := &tabulator.Snapshot{Pools: tabulator.Pools{Pools: []tabulator.Pool{pool}}}
	o := New(Options{Engines: matchingEngines{}})
	o.syncEngines(snapshot)
	for range targetEngines/o.options.MaxCalls + 1 {
		o.reconcile(b.Context())
	}
	return o, snapshot
}

// BenchmarkReconcileIdle measures one round over all engines when none is due. A sender
// does this at each interval in addition to its calls.
func BenchmarkReconcileIdle(b *testing.B) {
	o, snapshot := newMatchingOrderer(b)
	b.ReportAllocs()
	for b.Loop() {
		o.syncEngines(snapshot)
		o.reconcile(b.Context())
	}
}

// BenchmarkOrdererMemory reports the heap used by the records of all engines.
func BenchmarkOrdererMemory(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		o, snapshot := newMatchingOrderer(b)
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
