package recorder

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// outageRun is two minutes of calls at four nodes, in which the store may be
// out for a minute and one node may die in the middle of it.
type outageRun struct {
	bound, first, out, death bool
}

// outageCount is what callers got, and what backend servers ran.
type outageCount struct {
	answered, notRun, unknown int
	executed, twice           int
}

const (
	outageRate  = 50
	outageStart = 30 * time.Second
	deathTime   = 60 * time.Second
	outageEnd   = 90 * time.Second
	outageRuns  = 120 * time.Second
	callLasts   = 300 * time.Millisecond
)

type outageFleet struct {
	*fleet
	options outageRun
	nodes   []*Recorder
	stops   []func()
	dead    bool
	count   outageCount
}

var outageNodes = []identifier.Node{"a", "b", "c", "d"}

func (o outageRun) run(t *testing.T) outageCount {
	store := newFakeStore()
	store.latency = 5 * time.Millisecond
	f := &outageFleet{options: o}
	var members []assigner.Member
	for _, node := range outageNodes {
		members = append(members, memberOf(node, 1, assigner.Alive))
	}
	f.fleet = newFleet(members...)
	for _, node := range outageNodes {
		r, stop := f.start(t, node, 1, store)
		f.nodes, f.stops = append(f.nodes, r), append(f.stops, stop)
	}
	begin := time.Now()
	var group sync.WaitGroup
	group.Go(func() { f.happen(store, members) })
	for i := 0; time.Since(begin) < outageRuns; i++ {
		group.Go(func() { f.caller(i) })
		time.Sleep(time.Second / outageRate)
	}
	group.Wait()
	for _, stop := range f.stops {
		stop()
	}
	return f.count
}

// happen lets the store and node a fail.
func (f *outageFleet) happen(store *fakeStore, members []assigner.Member) {
	time.Sleep(outageStart)
	if f.options.out {
		store.setFault(always(refused))
	}
	time.Sleep(deathTime - outageStart)
	if f.options.death {
		f.mutex.Lock()
		f.cut["a"], f.dead = true, true
		f.mutex.Unlock()
		time.Sleep(2 * time.Second)
		f.setView(append([]assigner.Member{memberOf("a", 1, assigner.Dead)}, members[1:]...)...)
	}
	time.Sleep(outageEnd - deathTime)
	store.setFault(nil)
}

func (f *outageFleet) isDead(node int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return node == 0 && f.dead
}

// caller sends one call, and again elsewhere when its node dies.
func (f *outageFleet) caller(i int) {
	node := i % len(f.nodes)
	if f.isDead(node) {
		node = 1
	}
	key := newKey(i, 0)
	if f.options.bound {
		key += identifier.Key(Binding(outageNodes[node], 1))
	}
	executions := 0
	verdict := f.send(node, callOf(key, i, outageNodes[node]), f.options.first, &executions)
	if f.isDead(node) {
		other := callOf(key, -i-1, outageNodes[1])
		verdict = f.send(1, other, false, &executions)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count.executed += executions
	if executions > 1 {
		f.count.twice++
	}
	switch verdict {
	case Run, Answered:
		f.count.answered++
	case Closed:
		f.count.notRun++
	default:
		f.count.unknown++
	}
}

func (f *outageFleet) send(node int, call Call, first bool, executions *int) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call.First = first
	claim := f.nodes[node].Await(ctx, call)
	if claim.Verdict != Run || f.isDead(node) {
		return claim.Verdict
	}
	*executions++
	time.Sleep(callLasts)
	if !f.isDead(node) {
		f.nodes[node].Settle(ctx, call, &Answer{Status: 200})
	}
	return Run
}

// TestMeasureOutage prints what callers get with keys of each kind:
//
//	MEASURE=1 go test -run TestMeasureOutage -v ./recorder
func TestMeasureOutage(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement, run with MEASURE=1")
	}
	fmt.Println("keys          store-out node-dies answered not-run unknown executed twice")
	for _, faults := range []outageRun{{}, {out: true}, {death: true}, {out: true, death: true}} {
		for _, kind := range []string{"plain", "plain, first", "bound"} {
			o := faults
			o.bound, o.first = kind == "bound", kind == "plain, first"
			var count outageCount
			synctest.Test(t, func(t *testing.T) { count = o.run(t) })
			fmt.Printf("%-13s %9t %9t %8d %7d %7d %8d %5d\n", kind, o.out, o.death,
				count.answered, count.notRun, count.unknown, count.executed, count.twice)
			if count.twice > 0 {
				t.Errorf("%d calls ran twice", count.twice)
			}
		}
	}
}
