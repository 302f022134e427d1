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

// startThree starts three nodes and waits until the owner has its reports.
func startThree(t *testing.T) (f *fabric, owner *node, others []*node) {
	t.Helper()
	f = newFabric("n1", "n2", "n3")
	nodes := []*node{f.start(t, "n1"), f.start(t, "n2"), f.start(t, "n3")}
	time.Sleep(time.Second)
	owner, others = f.owner(nodes...)
	return f, owner, others
}

func stop(nodes ...*node) {
	for _, n := range nodes {
		n.stop()
		<-n.done
	}
}

func booked(n *node) []placer.HeldGrant {
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
		f, owner, others := startThree(t)
		d := demand("r1", 1)
		place := others[0].placed(t, d)
		f.run(d, place)
		f.stubborn = 3
		f.kill(others[0])
		f.state(others[0].name, assigner.Dead)
		time.Sleep(20 * time.Second)
		if holds := f.holds(place.Decode); holds != 0 {
			t.Errorf("the engine still holds %d requests", holds)
		}
		if held := booked(owner); len(held) != 0 {
			t.Errorf("the owner still books %v", held)
		}
		stop(owner, others[1])
	})
}

func TestSilentNodesGrantsLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		d := demand("r1", 1)
		place := others[0].placed(t, d)
		f.run(d, place)
		f.kill(others[0])
		time.Sleep(20 * time.Second)
		if holds := f.holds(place.Decode); holds != 0 {
			t.Errorf("the engine still holds %d requests", holds)
		}
		stop(owner, others[1])
	})
}

func TestLaterAttemptTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		d := demand("r1", 1)
		first := others[0].placed(t, d)
		f.run(d, first)
		f.kill(others[0])
		f.state(others[0].name, assigner.Dead)
		time.Sleep(time.Second)
		second := others[1].placed(t, demand("r1", 2))
		if second.Stream != first.Stream || second.Attempt != 2 {
			t.Errorf("second attempt got stream %d as %d, want %d as 2", second.Stream, second.Attempt, first.Stream)
		}
		if second.Decode != first.Decode || second.Prefill != first.Prefill {
			t.Errorf("second attempt got %+v, want the engines of %+v", second, first)
		}
		time.Sleep(20 * time.Second)
		if cancelled := f.cancels(); len(cancelled) != 0 {
			t.Errorf("the resumed request was cancelled: %v", cancelled)
		}
		if held := booked(owner); len(held) != 1 || held[0].Grant != second.Grant {
			t.Errorf("the owner books %v, want the second attempt", held)
		}
		stop(owner, others[1])
	})
}

func TestEarlierAttemptIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, owner, others := startThree(t)
		others[0].placed(t, demand("r1", 2))
		outcome := others[1].Acquire(t.Context(), demand("r1", 1))
		if outcome.Refusal == nil || outcome.Refusal.Reason != placer.Superseded {
			t.Errorf("the earlier attempt got %+v, want superseded", outcome)
		}
		stop(owner, others[0], others[1])
	})
}

func TestNewOwnerRebuildsFromRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		d := demand("r1", 1)
		place := others[0].placed(t, d)
		f.run(d, place)
		f.kill(owner)
		f.state(owner.name, assigner.Dead)
		time.Sleep(15 * time.Second)
		successor, _ := f.owner(others...)
		held := booked(successor)
		if len(held) != 1 || held[0].Grant != place.Grant {
			t.Errorf("the new owner books %v, want %s", held, place.Grant)
		}
		if cancelled := f.cancels(); len(cancelled) != 0 {
			t.Errorf("a live request was cancelled: %v", cancelled)
		}
		stop(others...)
	})
}

func TestNewOwnerGrantsOnlyReportedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		for _, decode := range []identifier.Member{"d1", "d2"} {
			f.run(demand("stranger", 1), &placer.Placement{Decode: decode, Pieces: 4})
		}
		f.kill(owner)
		f.state(owner.name, assigner.Dead)
		time.Sleep(time.Second)
		outcome := others[0].Acquire(t.Context(), demand("r1", 1))
		if outcome.Placement != nil {
			t.Errorf("granted %+v on engines that report no free memory", outcome.Placement)
		}
		stop(others...)
	})
}

func TestLostOwnerCostsNoService(t *testing.T) {
	for _, fault := range []string{"refusing", "silent"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, owner, others := startThree(t)
				hosts := f.refusing
				if fault == "silent" {
					hosts = f.silent
				}
				f.set(hosts, string(owner.name), true)
				place := others[0].placed(t, demand("r1", 1))
				f.set(hosts, string(owner.name), false)
				time.Sleep(5 * time.Second)
				held := booked(owner)
				if len(held) != 1 || held[0].Grant != place.Grant {
					t.Errorf("the owner books %v, want the grant given alone", held)
				}
				stop(append(others, owner)...)
			})
		})
	}
}

func TestWithdrawnDemandFreesItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, owner, others := startThree(t)
		var names []string
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			place := others[0].placed(t, demand(name, 1))
			names = append(names, string(place.Grant))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		late := demand("late", 1)
		late.FirstTokenBudget = 10 * time.Second
		if outcome := others[1].Acquire(ctx, late); outcome.Refusal == nil || outcome.Refusal.Reason != placer.SubmitterGone {
			t.Errorf("a cancelled demand got %+v, want gone", outcome)
		}
		time.Sleep(time.Second)
		others[0].Release(identifier.Grant(names[0]), placer.Result{})
		time.Sleep(time.Second)
		for _, h := range booked(owner) {
			if !slices.Contains(names, string(h.Grant)) {
				t.Errorf("%s was granted although its demand was withdrawn", h.Demand.Request)
			}
		}
		stop(append(others, owner)...)
	})
}

func TestQueuedDemandIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, owner, others := startThree(t)
		var first *placer.Placement
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			first = others[0].placed(t, demand(name, 1))
		}
		go func() {
			time.Sleep(time.Second)
			others[0].Release(first.Grant, placer.Result{})
		}()
		began := time.Now()
		others[1].placed(t, demand("late", 1))
		if waited := time.Since(began); waited < time.Second || waited > time.Second+50*time.Millisecond {
			t.Errorf("placed after %v, want within some ticks of the release", waited)
		}
		stop(append(others, owner)...)
	})
}

func TestSlanderedNodeGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		d := demand("r1", 1)
		place := others[0].placed(t, d)
		f.run(d, place)
		f.state(others[0].name, assigner.Dead)
		time.Sleep(1500 * time.Millisecond)
		second := others[0].placed(t, demand("r2", 1))
		f.state(others[0].name, assigner.Alive)
		time.Sleep(10 * time.Second)
		if cancelled := f.cancels(); len(cancelled) != 0 {
			t.Errorf("requests of a living node were cancelled: %v", cancelled)
		}
		held := booked(owner)
		if len(held) != 2 || held[0].Grant != place.Grant || held[1].Grant != second.Grant {
			t.Errorf("the owner books %v, want both grants", held)
		}
		stop(append(others, owner)...)
	})
}

func TestUnknownNodeIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		stranger := others[0].name
		all := f.viewOf(owner.name)
		partial := func() *assigner.View {
			view := *all()
			view.Members = slices.DeleteFunc(slices.Clone(view.Members), func(m assigner.Member) bool { return m.Node == stranger })
			return &view
		}
		stop(owner)
		owner = f.restart(t, owner.name, partial)
		others[0].placed(t, demand("r1", 1))
		time.Sleep(10 * time.Second)
		if held := booked(owner); len(held) != 1 || len(f.cancels()) != 0 {
			t.Errorf("the owner books %v and cancelled %v, want one grant kept", held, f.cancels())
		}
		stop(append(others, owner)...)
	})
}

func TestLeavingMemberGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		f.leave("d1")
		time.Sleep(time.Second)
		for _, name := range []string{"a", "b", "c", "d"} {
			if place := others[0].placed(t, demand(name, 1)); place.Decode != "d2" {
				t.Errorf("%s was placed on %s, which leaves", name, place.Decode)
			}
		}
		stop(append(others, owner)...)
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
		t.Errorf("a shard that is gone holds %v", left)
	}
}

// TestEveryShardHasBothRoles checks a pool with fewer prefill engines than its
// size alone would make shards.
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

// TestLongLossOfOwner serves far more requests alone, one after another, than
// the last reports had memory for.
func TestLongLossOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			d := demand(name, 1)
			f.run(d, others[1].placed(t, d))
		}
		time.Sleep(2 * time.Second)
		full := demand("full", 1)
		full.FirstTokenBudget = 500 * time.Millisecond
		if outcome := others[0].Acquire(t.Context(), full); outcome.Placement != nil {
			t.Errorf("granted %+v on full engines", outcome.Placement)
		}
		f.set(f.refusing, string(owner.name), true)
		for i := range 20 {
			d := demand(fmt.Sprint("r", i), 1)
			d.FirstTokenBudget = 10 * time.Second
			place := others[0].placed(t, d)
			time.Sleep(100 * time.Millisecond)
			others[0].Release(place.Grant, placer.Result{Output: 10, Decoded: true})
		}
		f.set(f.refusing, string(owner.name), false)
		stop(append(others, owner)...)
	})
}

func TestSlanderedNodesQueuedDemandIsPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		var first *placer.Placement
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			first = others[1].placed(t, demand(name, 1))
		}
		go func() {
			time.Sleep(time.Second)
			f.state(others[0].name, assigner.Dead)
			time.Sleep(time.Second)
			f.state(others[0].name, assigner.Alive)
			time.Sleep(3 * time.Second)
			others[1].Release(first.Grant, placer.Result{})
		}()
		late := demand("late", 1)
		late.FirstTokenBudget = 20 * time.Second
		others[0].placed(t, late)
		stop(append(others, owner)...)
	})
}

// An owner that cannot be reached costs nobody a connection to another node.
func TestFailingOwnerLeavesOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, others := startThree(t)
		f.kill(owner)
		others[0].placed(t, demand("r1", 1))
		if f.closings != 0 {
			t.Errorf("kept connections were closed %d times", f.closings)
		}
		stop(others...)
	})
}
