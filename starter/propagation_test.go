package starter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestChangeReachesNodesWhenStoreAnswersOne guards against a configuration that comes into
// force late because every node waits in turn for each node that should read the store.
func TestChangeReachesNodesWhenStoreAnswersOne(t *testing.T) {
	const nodeCount = 10
	for answered := range nodeCount {
		t.Run(fmt.Sprint(answered), func(t *testing.T) {
			runFleet(t, nodeCount, func(t *testing.T, f *fleet) {
				time.Sleep(5 * time.Second)
				for n, node := range f.nodes {
					if n != answered {
						f.objects.SetHostFaults(node.host, emulator.ObjectFaults{Silent: true})
					}
				}
				f.checkChangeApplied(t, nodeIndexes(nodeCount))
			})
		})
	}
}

// TestChangeReachesSurvivorsOfPowerLoss guards against a configuration that comes into force
// late because the nodes that read the store have gone silent and are not suspected yet.
func TestChangeReachesSurvivorsOfPowerLoss(t *testing.T) {
	const nodeCount = 10
	for first := range nodeCount {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			runFleet(t, nodeCount, func(t *testing.T, f *fleet) {
				time.Sleep(5 * time.Second)
				survivors := []int{first, (first + 1) % nodeCount}
				for n := range f.nodes {
					if n != survivors[0] && n != survivors[1] {
						f.isolate(n)
					}
				}
				f.checkChangeApplied(t, survivors)
			})
		})
	}
}

func nodeIndexes(count int) []int {
	indexes := make([]int, count)
	for n := range indexes {
		indexes[n] = n
	}
	return indexes
}

// isolate cuts node n off from the other nodes and the store. Its connections go silent.
func (f *fleet) isolate(n int) {
	f.network.Cut(f.nodes[n].host, "10.200.0.1")
	for other, node := range f.nodes {
		if other != n {
			f.network.Cut(f.nodes[n].host, node.host)
		}
	}
}

// checkChangeApplied changes the configuration and checks that each of the nodes routes
// by it after applyTimeout.
func (f *fleet) checkChangeApplied(t *testing.T, nodes []int) {
	t.Helper()
	f.configure("other")
	time.Sleep(applyTimeout)
	for _, n := range nodes {
		got := f.send(t.Context(), n, booking())
		if _, ranAt, _ := f.findRuns(got.attempt); len(ranAt) != 1 || ranAt[0] != f.instanceIDs("other", "")[0] {
			t.Errorf("node %d: ran at %v, status %d", n, ranAt, got.status)
		}
	}
}
