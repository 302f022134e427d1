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

// outageScenario is two minutes of calls at four nodes. The store may be down for a
// minute, and one node may die in the middle of that minute.
type outageScenario struct {
	useBoundKeys, markFirstSends, storeDown, nodeDies bool
}

// outageTally counts the results for callers and the executions by backend servers.
type outageTally struct {
	answered, notRun, unknown int
	executed, executedTwice   int
}

const (
	callsPerSecond   = 50
	outageStart      = 30 * time.Second
	nodeDeath        = 60 * time.Second
	outageEnd        = 90 * time.Second
	scenarioDuration = 120 * time.Second
	callDuration     = 300 * time.Millisecond
)

type outageFleet struct {
	*fleet
	scenario outageScenario
	nodes    []*Recorder
	stops    []func()
	dead     bool
	count    outageTally
}

var outageNodes = []identifier.Node{"a", "b", "c", "d"}

func (o outageScenario) run(t *testing.T) outageTally {
	store := newFakeStore()
	store.latency = 5 * time.Millisecond
	f := &outageFleet{scenario: o}
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
	group.Go(func() { f.injectFaults(store, members) })
	for i := 0; time.Since(begin) < scenarioDuration; i++ {
		group.Go(func() { f.sendCall(i) })
		time.Sleep(time.Second / callsPerSecond)
	}
	group.Wait()
	for _, stop := range f.stops {
		stop()
	}
	return f.count
}

// injectFaults causes the store outage and the death of node a if the scenario has them.
func (f *outageFleet) injectFaults(store *fakeStore, members []assigner.Member) {
	time.Sleep(outageStart)
	if f.scenario.storeDown {
		store.setFault(alwaysFault(unavailable))
	}
	time.Sleep(nodeDeath - outageStart)
	if f.scenario.nodeDies {
		f.mutex.Lock()
		f.dropRequests["a"], f.dead = true, true
		f.mutex.Unlock()
		time.Sleep(2 * time.Second)
		f.setView(append([]assigner.Member{memberOf("a", 1, assigner.Dead)}, members[1:]...)...)
	}
	time.Sleep(outageEnd - nodeDeath)
	store.setFault(nil)
}

func (f *outageFleet) isDead(node int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return node == 0 && f.dead
}

// sendCall sends one call. If the call's node dies, it sends the call again to node b.
func (f *outageFleet) sendCall(i int) {
	node := i % len(f.nodes)
	if f.isDead(node) {
		node = 1
	}
	key := newKey(i, 0)
	if f.scenario.useBoundKeys {
		key += identifier.Key(BindingSuffix(outageNodes[node], 1))
	}
	executions := 0
	verdict := f.send(node, newCall(key, i, outageNodes[node]), f.scenario.markFirstSends, &executions)
	if f.isDead(node) {
		other := newCall(key, -i-1, outageNodes[1])
		verdict = f.send(1, other, false, &executions)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count.executed += executions
	if executions > 1 {
		f.count.executedTwice++
	}
	switch verdict {
	case Run, Answered:
		f.count.answered++
	case NotRun:
		f.count.notRun++
	default:
		f.count.unknown++
	}
}

func (f *outageFleet) send(node int, call Call, firstSend bool, executions *int) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call.First = firstSend
	claim := f.nodes[node].Await(ctx, call)
	if claim.Verdict != Run || f.isDead(node) {
		return claim.Verdict
	}
	*executions++
	time.Sleep(callDuration)
	if !f.isDead(node) {
		f.nodes[node].Settle(ctx, call, &Answer{Status: 200})
	}
	return Run
}

// TestMeasureOutage prints the results for callers by kind of key:
//
//	MEASURE=1 go test -run TestMeasureOutage -v ./recorder
func TestMeasureOutage(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement, run with MEASURE=1")
	}
	fmt.Println("keys          store-out node-dies answered not-run unknown executed twice")
	for _, faults := range []outageScenario{{}, {storeDown: true}, {nodeDies: true}, {storeDown: true, nodeDies: true}} {
		for _, kind := range []string{"plain", "plain, first", "bound"} {
			o := faults
			o.useBoundKeys, o.markFirstSends = kind == "bound", kind == "plain, first"
			var count outageTally
			synctest.Test(t, func(t *testing.T) { count = o.run(t) })
			fmt.Printf("%-13s %9t %9t %8d %7d %7d %8d %5d\n", kind, o.storeDown, o.nodeDies,
				count.answered, count.notRun, count.unknown, count.executed, count.executedTwice)
			if count.executedTwice > 0 {
				t.Errorf("%d calls ran twice", count.executedTwice)
			}
		}
	}
}
