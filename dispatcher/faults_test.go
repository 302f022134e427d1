package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// startThreeNodes starts three nodes and waits until the owner has load reports.
func startThreeNodes(t *testing.T) (f *fakeFleet, owner *node, others []*node) {
	t.Helper()
	f = newFakeFleet("n1", "n2", "n3")
	nodes := []*node{f.start(t, "n1"), f.start(t, "n2"), f.start(t, "n3")}
	time.Sleep(time.Second)
	owner, others = f.splitByOwner(nodes...)
	return f, owner, others
}

func stopNodes(nodes ...*node) {
	for _, n := range nodes {
		n.stop()
		<-n.done
	}
}

func ownerGrants(n *node) []placer.HeldGrant {
	n.server.mutex.Lock()
	sh := n.server.shards[shardID{pool: testPool}]
	n.server.mutex.Unlock()
	if sh == nil {
		return nil
	}
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	return sh.placer.HeldGrants()
}

func TestDeadNodesRequestsAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		d := newDemand("r1", 1)
		placement := others[0].mustAcquire(t, d)
		f.holdMemory(d, placement)
		f.failingCancels = 3
		f.kill(others[0])
		f.setState(others[0].name, assigner.Dead)
		time.Sleep(20 * time.Second)
		if requests := f.heldRequests(placement.Decode); requests != 0 {
			t.Errorf("the engine still holds %d requests", requests)
		}
		if held := ownerGrants(owner); len(held) != 0 {
			t.Errorf("the owner still has the grants %v", held)
		}
		stopNodes(owner, others[1])
	})
}

func TestSilentNodesGrantsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		d := newDemand("r1", 1)
		placement := others[0].mustAcquire(t, d)
		f.holdMemory(d, placement)
		f.kill(others[0])
		time.Sleep(20 * time.Second)
		if requests := f.heldRequests(placement.Decode); requests != 0 {
			t.Errorf("the engine still holds %d requests", requests)
		}
		stopNodes(owner, others[1])
	})
}

func TestLaterAttemptTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		d := newDemand("r1", 1)
		first := others[0].mustAcquire(t, d)
		f.holdMemory(d, first)
		f.kill(others[0])
		f.setState(others[0].name, assigner.Dead)
		time.Sleep(time.Second)
		second := others[1].mustAcquire(t, newDemand("r1", 2))
		if second.Stream != first.Stream || second.Attempt != 2 {
			t.Errorf("second attempt got stream %d as %d, want %d as 2", second.Stream, second.Attempt, first.Stream)
		}
		if second.Decode != first.Decode || second.Prefill != first.Prefill {
			t.Errorf("second attempt got %+v, want the engines of %+v", second, first)
		}
		time.Sleep(20 * time.Second)
		if cancelled := f.cancelledStreams(); len(cancelled) != 0 {
			t.Errorf("the resumed request was cancelled: %v", cancelled)
		}
		if held := ownerGrants(owner); len(held) != 1 || held[0].Grant != second.Grant {
			t.Errorf("the owner has the grants %v, want that of the second attempt", held)
		}
		stopNodes(owner, others[1])
	})
}

func TestEarlierAttemptIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, owner, others := startThreeNodes(t)
		others[0].mustAcquire(t, newDemand("r1", 2))
		outcome := others[1].Acquire(t.Context(), newDemand("r1", 1))
		if outcome.Refusal == nil || outcome.Refusal.Reason != placer.Superseded {
			t.Errorf("the earlier attempt got %+v, want superseded", outcome)
		}
		stopNodes(owner, others[0], others[1])
	})
}

func TestNewOwnerRebuildsFromRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		d := newDemand("r1", 1)
		placement := others[0].mustAcquire(t, d)
		f.holdMemory(d, placement)
		f.kill(owner)
		f.setState(owner.name, assigner.Dead)
		time.Sleep(15 * time.Second)
		successor, _ := f.splitByOwner(others...)
		held := ownerGrants(successor)
		if len(held) != 1 || held[0].Grant != placement.Grant {
			t.Errorf("the new owner has the grants %v, want %s", held, placement.Grant)
		}
		if cancelled := f.cancelledStreams(); len(cancelled) != 0 {
			t.Errorf("a live request was cancelled: %v", cancelled)
		}
		stopNodes(others...)
	})
}

func TestNewOwnerGrantsOnlyReportedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		for _, decode := range []identifier.Member{"d1", "d2"} {
			f.holdMemory(newDemand("stranger", 1), &placer.Placement{Decode: decode, Pieces: 4})
		}
		f.kill(owner)
		f.setState(owner.name, assigner.Dead)
		time.Sleep(time.Second)
		outcome := others[0].Acquire(t.Context(), newDemand("r1", 1))
		if outcome.Placement != nil {
			t.Errorf("granted %+v on engines that report no free memory", outcome.Placement)
		}
		stopNodes(others...)
	})
}

func TestFallbackWhileOwnerUnreachable(t *testing.T) {
	for _, fault := range []string{"refusing", "silent"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, owner, others := startThreeNodes(t)
				faultyHosts := f.refusingHosts
				if fault == "silent" {
					faultyHosts = f.silentHosts
				}
				f.setFault(faultyHosts, string(owner.name), true)
				placement := others[0].mustAcquire(t, newDemand("r1", 1))
				f.setFault(faultyHosts, string(owner.name), false)
				time.Sleep(5 * time.Second)
				held := ownerGrants(owner)
				if len(held) != 1 || held[0].Grant != placement.Grant {
					t.Errorf("the owner has the grants %v, want the one issued without it", held)
				}
				stopNodes(append(others, owner)...)
			})
		})
	}
}

func TestWithdrawnDemandFreesItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, owner, others := startThreeNodes(t)
		var names []string
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			placement := others[0].mustAcquire(t, newDemand(name, 1))
			names = append(names, string(placement.Grant))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		late := newDemand("late", 1)
		late.FirstTokenBudget = 10 * time.Second
		if outcome := others[1].Acquire(ctx, late); outcome.Refusal == nil || outcome.Refusal.Reason != placer.SubmitterGone {
			t.Errorf("a cancelled demand got %+v, want gone", outcome)
		}
		time.Sleep(time.Second)
		others[0].Release(identifier.Grant(names[0]), placer.Result{})
		time.Sleep(time.Second)
		for _, h := range ownerGrants(owner) {
			if !slices.Contains(names, string(h.Grant)) {
				t.Errorf("%s was granted although its demand was withdrawn", h.Demand.Request)
			}
		}
		stopNodes(append(others, owner)...)
	})
}

func TestQueuedDemandIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, owner, others := startThreeNodes(t)
		var first *placer.Placement
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			first = others[0].mustAcquire(t, newDemand(name, 1))
		}
		go func() {
			time.Sleep(time.Second)
			others[0].Release(first.Grant, placer.Result{})
		}()
		began := time.Now()
		others[1].mustAcquire(t, newDemand("late", 1))
		if waited := time.Since(began); waited < time.Second || waited > time.Second+50*time.Millisecond {
			t.Errorf("placed after %v, want within 50 ms of the release", waited)
		}
		stopNodes(append(others, owner)...)
	})
}

func TestNodeFalselyReportedDeadKeepsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		d := newDemand("r1", 1)
		placement := others[0].mustAcquire(t, d)
		f.holdMemory(d, placement)
		f.setState(others[0].name, assigner.Dead)
		time.Sleep(1500 * time.Millisecond)
		second := others[0].mustAcquire(t, newDemand("r2", 1))
		f.setState(others[0].name, assigner.Alive)
		time.Sleep(10 * time.Second)
		if cancelled := f.cancelledStreams(); len(cancelled) != 0 {
			t.Errorf("requests of a live node were cancelled: %v", cancelled)
		}
		held := ownerGrants(owner)
		if len(held) != 2 || held[0].Grant != placement.Grant || held[1].Grant != second.Grant {
			t.Errorf("the owner has the grants %v, want both", held)
		}
		stopNodes(append(others, owner)...)
	})
}

func TestUnknownNodeIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		unknownNode := others[0].name
		fullView := f.viewOf(owner.name)
		viewWithoutNode := func() *assigner.View {
			view := *fullView()
			view.Members = slices.DeleteFunc(slices.Clone(view.Members), func(m assigner.Member) bool { return m.Node == unknownNode })
			return &view
		}
		stopNodes(owner)
		owner = f.startWithView(t, owner.name, viewWithoutNode)
		others[0].mustAcquire(t, newDemand("r1", 1))
		time.Sleep(10 * time.Second)
		if held := ownerGrants(owner); len(held) != 1 || len(f.cancelledStreams()) != 0 {
			t.Errorf("the owner has the grants %v and cancelled %v, want one grant and no cancel", held, f.cancelledStreams())
		}
		stopNodes(append(others, owner)...)
	})
}

func TestLeavingMemberGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		f.markLeaving("d1")
		time.Sleep(time.Second)
		for _, name := range []string{"a", "b", "c", "d"} {
			if placement := others[0].mustAcquire(t, newDemand(name, 1)); placement.Decode != "d2" {
				t.Errorf("%s was placed on %s, which leaves", name, placement.Decode)
			}
		}
		stopNodes(append(others, owner)...)
	})
}

func TestPoolShrinksToFewerShards(t *testing.T) {
	members := make([]tabulator.Member, 0, 60)
	for i := range 60 {
		role := identifier.Decode
		if i%3 == 0 {
			role = identifier.Prefill
		}
		members = append(members, tabulator.Member{Name: identifier.Member(fmt.Sprint("e", i)), Role: role})
	}
	pool := tabulator.Pool{Name: testPool, Members: members}
	seen := map[identifier.Member]bool{}
	for index := range uint32(3) {
		for _, member := range shardMembers(pool, index, 24) {
			seen[member.Name] = true
		}
	}
	if len(seen) != 60 {
		t.Errorf("three shards hold %d members, want all 60", len(seen))
	}
	pool.Members = members[:20]
	if left := shardMembers(pool, 2, 24); len(left) != 0 {
		t.Errorf("a shard that no longer exists has %v", left)
	}
}

// TestEveryShardHasBothRoles checks the shards of a pool whose size calls for more
// shards than the pool has prefill engines.
func TestEveryShardHasBothRoles(t *testing.T) {
	pool := tabulator.Pool{Name: testPool, Members: []tabulator.Member{{Name: "p1", Role: identifier.Prefill}, {Name: "p2", Role: identifier.Prefill}}}
	for i := range 70 {
		pool.Members = append(pool.Members, tabulator.Member{Name: identifier.Member(fmt.Sprint("d", i)), Role: identifier.Decode})
	}
	held := 0
	for index := range uint32(shardCount(pool, 24)) {
		roles := map[identifier.Role]int{}
		for _, member := range shardMembers(pool, index, 24) {
			roles[member.Role]++
			held++
		}
		if roles[identifier.Prefill] == 0 || roles[identifier.Decode] == 0 {
			t.Errorf("shard %d has %v, want both roles", index, roles)
		}
	}
	if held != len(pool.Members) {
		t.Errorf("the shards hold %d members, want %d", held, len(pool.Members))
	}
}

// TestFallbackIgnoresExpiredReports guards against a node that places nothing after it
// lost contact with the owner while all engines were reported full. The reports must
// expire, so that the node places requests in its own share of the engines.
func TestFallbackIgnoresExpiredReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			d := newDemand(name, 1)
			f.holdMemory(d, others[1].mustAcquire(t, d))
		}
		time.Sleep(2 * time.Second)
		full := newDemand("full", 1)
		full.FirstTokenBudget = 500 * time.Millisecond
		if outcome := others[0].Acquire(t.Context(), full); outcome.Placement != nil {
			t.Errorf("granted %+v on full engines", outcome.Placement)
		}
		f.setFault(f.refusingHosts, string(owner.name), true)
		for i := range 20 {
			d := newDemand(fmt.Sprint("r", i), 1)
			d.FirstTokenBudget = 10 * time.Second
			placement := others[0].mustAcquire(t, d)
			time.Sleep(100 * time.Millisecond)
			others[0].Release(placement.Grant, placer.Result{Output: 10, Decoded: true})
		}
		f.setFault(f.refusingHosts, string(owner.name), false)
		stopNodes(append(others, owner)...)
	})
}

func TestNodeFalselyReportedDeadKeepsQueuedDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		var first *placer.Placement
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			first = others[1].mustAcquire(t, newDemand(name, 1))
		}
		go func() {
			time.Sleep(time.Second)
			f.setState(others[0].name, assigner.Dead)
			time.Sleep(time.Second)
			f.setState(others[0].name, assigner.Alive)
			time.Sleep(3 * time.Second)
			others[1].Release(first.Grant, placer.Result{})
		}()
		late := newDemand("late", 1)
		late.FirstTokenBudget = 20 * time.Second
		others[0].mustAcquire(t, late)
		stopNodes(append(others, owner)...)
	})
}

// TestUnreachableOwnerKeepsIdleConnections guards against closing the idle
// connections to all nodes when only the owner is unreachable.
func TestUnreachableOwnerKeepsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThreeNodes(t)
		f.kill(owner)
		others[0].mustAcquire(t, newDemand("r1", 1))
		if f.idleCloses != 0 {
			t.Errorf("idle connections were closed %d times", f.idleCloses)
		}
		stopNodes(others...)
	})
}

// TestNodesWithoutOwnerShareEngines guards against engines that nodes without an owner fill
// many times over: in a fleet of 68 nodes, each of them placed a request on each engine of
// which its share was less than one.
func TestNodesWithoutOwnerShareEngines(t *testing.T) {
	const nodes, room = 68, 7
	total := 0
	for engine := range 39 {
		member := tabulator.Member{Name: identifier.Member(fmt.Sprint("d", engine)), Role: identifier.Decode, Pieces: 103}
		for node := range nodes {
			fresh := newFallback()
			if fresh.canDecode(identifier.Node(fmt.Sprint("n", node)), member, member.Pieces/room, nodes) {
				total++
			}
		}
	}
	if average := float64(total) / 39; average > 1.3*room || average < 0.7*room {
		t.Errorf("an engine with room for %d requests serves %.1f nodes", room, average)
	}
}

// TestReplacedEnginesKeepShards has the engines of a pool of the largest size for one shard
// replaced one after the other. Each replacement used to move half of the pool to another
// owner and back.
func TestReplacedEnginesKeepShards(t *testing.T) {
	var pool tabulator.Pool
	for i := range 64 {
		role := identifier.Decode
		if i%3 == 0 {
			role = identifier.Prefill
		}
		pool.Members = append(pool.Members, tabulator.Member{Name: identifier.Member(fmt.Sprint("e", i)), Role: role})
	}
	for i := range 64 {
		pool.Members[i].Leaving = true
		replacement := tabulator.Member{Name: identifier.Member(fmt.Sprint("r", i)), Role: pool.Members[i].Role}
		pool.Members = append(pool.Members, replacement)
		if count := shardCount(pool, 64); count != 1 {
			t.Fatalf("%d shards while engine %d is replaced", count, i)
		}
		pool.Members[i] = replacement
		pool.Members = pool.Members[:64]
	}
}

// TestOwnerPlacesPartOfTheTime checks that an owner whose last placement took long takes in
// demands without placing them until its goroutine may place again.
func TestOwnerPlacesPartOfTheTime(t *testing.T) {
	sh := benchShard(t, 24)
	now := time.Now()
	sh.nextPlacing = now.Add(time.Second)
	demand := newDemand("r1", 1)
	request := benchRequest()
	request.Demands = append(request.Demands, encodeDemand(&demand, time.Second))
	response, err := sh.exchange(now, request)
	if err != nil || len(response.GetDecisions()) != 0 || sh.placer.Waiting() != 1 {
		t.Fatalf("%v, %v, %d waiting", response, err, sh.placer.Waiting())
	}
	sh.advance(now.Add(time.Second))
	if decisions, _ := sh.takeDecisions(identifier.Node(request.GetNode())); len(decisions) != 1 {
		t.Errorf("placed %v", decisions)
	}
}
