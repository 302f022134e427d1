package dispatcher

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// sendRequests sends requests one after another, of which those on the failing engine break off
// at once, and returns how many each decode engine got.
func (n *node) sendRequests(t *testing.T, label string, count int, failing identifier.Member) map[identifier.Member]int {
	t.Helper()
	sent := map[identifier.Member]int{}
	for i := range count {
		d := newDemand(fmt.Sprint(label, i), 1)
		outcome := n.Acquire(t.Context(), d)
		if outcome.Placement == nil {
			continue
		}
		placed := outcome.Placement
		sent[placed.Decode]++
		result := placer.Result{Output: 10, Prefilled: true, Decoded: true, PrefillEnding: placer.Answered, DecodeEnding: placer.Answered}
		if placed.Decode == failing {
			result.DecodeEnding = placer.BrokenOff
		} else {
			time.Sleep(200 * time.Millisecond)
		}
		n.Release(placed.Grant, result)
		time.Sleep(100 * time.Millisecond)
	}
	return sent
}

// TestFailuresReachTheOwnerAndItsSuccessor guards against a failing engine that draws streams
// because the endings that nodes see do not reach the owner, or not the next one.
func TestFailuresReachTheOwnerAndItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet("n1", "n2", "n3")
		nodes := []*node{f.start(t, "n1"), f.start(t, "n2"), f.start(t, "n3")}
		time.Sleep(time.Second)
		owner, others := f.splitByOwner(nodes...)
		first := others[0].sendRequests(t, "a", 60, "d1")
		if first["d1"] < 5 || first["d1"] > 5+2+60/20 {
			t.Errorf("requests by engine: %v", first)
		}
		f.kill(owner)
		f.setState(owner.name, assigner.Dead)
		time.Sleep(500 * time.Millisecond)
		second := others[0].sendRequests(t, "b", 40, "d1")
		if second["d1"] > 2+40/20 || second["d2"] < 30 {
			t.Errorf("requests by engine after the change of the owner: %v", second)
		}
		for _, n := range others {
			n.stop()
			<-n.done
		}
	})
}

// TestNodeWithoutOwnerUsesItsOwnRecord guards against a failing engine that draws the streams of
// nodes that place by themselves.
func TestNodeWithoutOwnerUsesItsOwnRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet("n1", "n2")
		nodes := []*node{f.start(t, "n1"), f.start(t, "n2")}
		time.Sleep(time.Second)
		owner, others := f.splitByOwner(nodes...)
		f.setFault(f.refusingHosts, string(owner.name), true)
		sent := others[0].sendRequests(t, "a", 100, "d2")
		// Half of the probes are on the other engine.
		if sent["d2"] > 5+100/10 || sent["d1"] < 80 {
			t.Errorf("requests by engine: %v", sent)
		}
		for _, n := range nodes {
			n.stop()
			<-n.done
		}
	})
}
