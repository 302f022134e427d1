package publisher_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

var measure = flag.Bool("measure", false, "measure fleets up to the target size")

// The target size of a fleet and its tables.
const (
	targetEngines  = 720
	targetModels   = 15
	targetAccounts = 14_000
	changesPerDay  = 2_100
	secondsPerDay  = 86_400
)

// targetTables returns tables of the target size. Account names are random
// because real ones compress badly.
func targetTables() (tabulator.Routes, tabulator.Pools) {
	random := rand.New(rand.NewPCG(1, 2))
	var pools tabulator.Pools
	for model := range targetModels {
		pool := tabulator.Pool{
			Name: identifier.Pool(fmt.Sprintf("pool-%02d", model)), Kind: tabulator.Models,
			PieceTokens: 16, KVBytesPerToken: 131072, LesserShare: 0.1, QueueLimit: 512,
		}
		for engine := range targetEngines / targetModels {
			role := identifier.Prefill
			if engine%3 != 0 {
				role = identifier.Decode
			}
			pool.Members = append(pool.Members, tabulator.Member{
				Name:    identifier.Member(fmt.Sprintf("engine-%02d-%02d", model, engine)),
				Address: identifier.Address(fmt.Sprintf("10.%d.%d.%d:8000", model, engine, random.IntN(250))),
				Role:    role, DataCentre: identifier.DataCentre(fmt.Sprintf("dc-%d", engine%7)), Pieces: 2000,
				PrefillRate: 20000, LinkRate: 12_500_000_000, ChecksFencing: engine%2 == 0,
				Model: identifier.Model(fmt.Sprintf("model-%02d", model)), Version: "2026-11-04",
			})
		}
		pools.Pools = append(pools.Pools, pool)
	}
	var routes tabulator.Routes
	for model := range targetModels {
		for rank := range identifier.Ranks {
			route := tabulator.Route{
				Name:  identifier.Route(fmt.Sprintf("route-%02d-%d", model, rank)),
				Model: identifier.Model(fmt.Sprintf("model-%02d", model)), Pool: pools.Pools[model].Name,
				Rank: identifier.Rank(rank), FirstToken: tabulator.Duration(700 * time.Millisecond),
				BetweenTokens: tabulator.Duration(76 * time.Millisecond),
			}
			for range targetAccounts / targetModels / len(identifier.Ranks) {
				route.Accounts = append(route.Accounts, identifier.Account(fmt.Sprintf("acct-%010x", random.Uint64N(1<<40))))
			}
			routes.Routes = append(routes.Routes, route)
		}
	}
	return routes, pools
}

// TestSnapshotFitsTheStore tests that each stored object at the target size takes
// at most half of the platform's size limit.
func TestSnapshotFitsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		f.start()
		routes, pools := targetTables()
		f.wantState(f.order[0].apply(&routes, &pools), publisher.ApplyAccepted)
		for _, object := range [][2]string{{"tables", "routes"}, {"tables", "pools"}, {"snapshots", "accepted"}} {
			stored, _ := f.platform.Object(object[0], object[1])
			encoded, _ := json.Marshal(stored)
			t.Logf("%s/%s: %d bytes", object[0], object[1], len(encoded))
			if len(encoded) > emulator.MaximumValueBytes/2 {
				t.Errorf("%s/%s takes %d bytes", object[0], object[1], len(encoded))
			}
		}
	})
}

// BenchmarkSnapshot measures decoding, matching by account and diffing at the
// target size.
func BenchmarkSnapshot(b *testing.B) {
	routes, pools := targetTables()
	snapshot, err := tabulator.Join(1, routes, pools)
	if err != nil {
		b.Fatal(err)
	}
	content := snapshot.Content()
	b.Run("read", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		retained, _ := content.Snapshot(1)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			if _, err := content.Snapshot(1); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-bytes")
		b.ReportMetric(float64(len(content.Routes)+len(content.Pools)), "text-bytes")
		runtime.KeepAlive(retained)
	})
	b.Run("match", func(b *testing.B) {
		last := routes.Routes[len(routes.Routes)-1]
		query := tabulator.Query{Model: last.Model, Account: last.Accounts[0]}
		for b.Loop() {
			if _, _, ok := snapshot.Match(query); !ok {
				b.Fatal("no match")
			}
		}
	})
	b.Run("delta", func(b *testing.B) {
		edited := pools
		edited.Pools = append([]tabulator.Pool(nil), pools.Pools...)
		edited.Pools[7].Members = append([]tabulator.Member(nil), pools.Pools[7].Members...)
		edited.Pools[7].Members[20].Leaving = true
		after := tabulator.Encode(edited)
		var delta tabulator.Delta
		for b.Loop() {
			delta = tabulator.Diff(content.Pools, after)
		}
		b.ReportMetric(float64(len(delta.Middle)), "delta-bytes")
	})
}

// TestPropagationCost measures how store calls, bytes per node and the time until
// a change is active everywhere grow with the number of nodes, with tables of the
// target size and 1 ms per hop. For the figures:
//
//	go test ./publisher -run TestPropagationCost -v -measure
func TestPropagationCost(t *testing.T) {
	sizes := []struct{ dataCentres, perDataCentre int }{{2, 4}, {4, 16}, {7, 50}}
	if !*measure {
		sizes = sizes[:1]
	}
	for _, size := range sizes {
		nodes := size.dataCentres * size.perDataCentre
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measurePropagation(t, size.dataCentres, size.perDataCentre) })
		})
	}
}

func measurePropagation(t *testing.T, dataCentres, perDataCentre int) {
	f := newFleet(t, dataCentres, perDataCentre)
	nodes := float64(len(f.order))
	routes, pools := targetTables()
	f.start()
	f.wantState(f.order[0].apply(&routes, &pools), publisher.ApplyAccepted)
	f.await("the first configuration everywhere", 30*time.Second, func() bool { return f.activeEverywhere(1) })
	time.Sleep(time.Minute)

	// Without edits.
	const idleDuration = 5 * time.Minute
	before, bytes := f.platform.Counts(), f.sentBytes()
	time.Sleep(idleDuration)
	after := f.platform.Counts()
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	idleBytesPerNodeSecond := float64(f.sentBytes()-bytes) / idleDuration.Seconds() / nodes
	t.Logf("%3.0f nodes at rest: %.3f store calls/s, %d waiting watches, %.0f bytes/s a node between nodes",
		nodes, float64(calls)/idleDuration.Seconds(), after.Waiting, idleBytesPerNodeSecond)

	// With edits of one row each.
	const changes = 5
	var slowest time.Duration
	before, bytes = f.platform.Counts(), f.sentBytes()
	began := time.Now()
	for change := range changes {
		pools.Pools[change].Members[3].Leaving = true
		applied := time.Now()
		outcome := f.wantState(f.order[change].apply(nil, &pools), publisher.ApplyAccepted)
		f.await("a change everywhere", 12*time.Second, func() bool { return f.activeEverywhere(outcome.Configuration) })
		for _, node := range f.order {
			slowest = max(slowest, f.activatedAt(node, outcome.Configuration).Sub(applied))
		}
	}
	after = f.platform.Counts()
	idleBytes := idleBytesPerNodeSecond * nodes * time.Since(began).Seconds()
	bytesPerNodeChange := (float64(f.sentBytes()-bytes) - idleBytes) / changes / nodes
	calls = after.Reads + after.Writes - before.Reads - before.Writes
	t.Logf("%3.0f nodes, a change: everywhere after %v, %.1f store calls, %.0f bytes a node (%.0f bytes/s at %d changes a day)",
		nodes, slowest, float64(calls)/changes, bytesPerNodeChange, bytesPerNodeChange*changesPerDay/secondsPerDay, changesPerDay)
	f.checkMonotonic()
}

// sentBytes returns the bytes sent between nodes so far, headers included.
func (f *fleet) sentBytes() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.bytes
}
