package addresser_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	weakCapacity   identifier.Capacity = 19
	strongCapacity identifier.Capacity = 80
	centres                            = 3
)

// mixedView returns a membership of weak and strong nodes, spread over the data centres.
func mixedView(weak, strong int) *assigner.View {
	view := &assigner.View{}
	for i := range weak + strong {
		member := assigner.Member{
			Node: identifier.Node(fmt.Sprintf("n%03d", i)), CallerAddress: identifier.Address(fmt.Sprintf("n%03d", i)),
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc%d", i%centres)), State: assigner.Alive, Configuration: 1, Capacity: weakCapacity,
		}
		if i >= weak {
			member.Capacity = strongCapacity
		}
		view.Members = append(view.Members, member)
	}
	return view
}

// spread is what callers get who ask all nodes of a fleet and choose an address at random.
type spread struct {
	// shares has the share of all callers that a node gets, in multiples of an equal share.
	shares map[identifier.Address]float64
	// near is the share of callers that get a node of their own data centre.
	near float64
	// fewest and most are the lengths of the shortest and the longest answer.
	fewest, most int
}

func withoutCapacities(view *assigner.View) *assigner.View {
	without := &assigner.View{Members: slices.Clone(view.Members)}
	for i := range without.Members {
		without.Members[i].Capacity = 0
	}
	return without
}

// spreadOf has callers of each data centre ask each node.
func spreadOf(view *assigner.View) spread {
	s := spread{shares: map[identifier.Address]float64{}, fewest: math.MaxInt}
	answers := max(10, 2700/len(view.Members))
	weight := 1 / float64(answers)
	for i := range view.Members {
		own := *view
		own.Self = view.Members[i]
		a := addresser.New(addresser.Options{
			View: func() *assigner.View { return &own }, DataCentre: own.Self.DataCentre, MaxAddresses: 64, AnyOrder: true,
		})
		for range answers {
			entries := a.Answer("").Entries
			s.fewest, s.most = min(s.fewest, len(entries)), max(s.most, len(entries))
			for _, entry := range entries {
				s.shares[entry.Address] += weight / float64(len(entries))
				if entry.DataCentre == own.Self.DataCentre {
					s.near += weight / float64(len(entries)*len(view.Members))
				}
			}
		}
	}
	return s
}

// ratio returns the mean share of strong nodes relative to that of weak ones, and the largest
// relative difference of a node's share from the mean of its kind.
func (s spread) ratio(view *assigner.View) (ratio, unevenness float64) {
	sums, counts := map[identifier.Capacity]float64{}, map[identifier.Capacity]float64{}
	for i := range view.Members {
		sums[view.Members[i].Capacity] += s.shares[view.Members[i].CallerAddress]
		counts[view.Members[i].Capacity]++
	}
	for i := range view.Members {
		c := view.Members[i].Capacity
		mean := sums[c] / counts[c]
		unevenness = max(unevenness, math.Abs(s.shares[view.Members[i].CallerAddress]-mean)/mean)
	}
	return sums[strongCapacity] / counts[strongCapacity] / (sums[weakCapacity] / counts[weakCapacity]), unevenness
}

// TestWeakNodesGetFewerCallers guards against weak VMs that get as many callers as strong
// ones, and against answers with few addresses or without other data centres.
func TestWeakNodesGetFewerCallers(t *testing.T) {
	for _, c := range []struct {
		weak, strong       int
		minRatio, maxRatio float64
		fewest             int
	}{
		{weak: 85, strong: 6, minRatio: 2.7, maxRatio: 3.3, fewest: 16},
		{weak: 60, strong: 22, minRatio: 2.7, maxRatio: 3.3, fewest: 16},
		{weak: 300, strong: 50, minRatio: 2.7, maxRatio: 3.3, fewest: 48},
		{weak: 82, minRatio: math.NaN(), fewest: 64},
		{weak: 15, strong: 3, minRatio: 1.5, maxRatio: 3.3, fewest: 10},
		{weak: 3, strong: 3, minRatio: 1, maxRatio: 1.01, fewest: 6},
	} {
		view := mixedView(c.weak, c.strong)
		s := spreadOf(view)
		ratio, unevenness := s.ratio(view)
		near := spreadOf(withoutCapacities(view)).near
		t.Logf("%d weak and %d strong: a strong one gets %.2f times the callers, %.2f of an equal share; largest difference %.2f; near %.2f, %.2f without weights; %d to %d addresses",
			c.weak, c.strong, ratio, s.shares[view.Members[len(view.Members)-1].CallerAddress], unevenness, s.near, near, s.fewest, s.most)
		if c.strong > 0 && (ratio < c.minRatio || ratio > c.maxRatio) || s.fewest < c.fewest || s.most > 64 || unevenness > 0.1 || math.Abs(s.near-near) > 0.05 {
			t.Errorf("%d weak and %d strong: not as wanted", c.weak, c.strong)
		}
	}
}

// TestUnknownCapacityIsAsBefore guards against nodes whose platform does not state what they
// can carry getting more or fewer callers than without weights.
func TestUnknownCapacityIsAsBefore(t *testing.T) {
	if s := spreadOf(withoutCapacities(mixedView(60, 22))); s.fewest != 64 {
		t.Errorf("answers of %d addresses", s.fewest)
	}
	view := mixedView(60, 22)
	view.Members[0].Capacity = 0
	if share := spreadOf(view).shares["n000"]; share < 0.8 || share > 1.2 {
		t.Errorf("an unknown member gets %.2f of an equal share", share)
	}
}

// TestWeightsShow guards against weights that operators can't see.
func TestWeightsShow(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	view := mixedView(85, 6)
	view.Self = view.Members[0]
	addresser.New(addresser.Options{View: func() *assigner.View { return view }, DataCentre: "dc0", MaxAddresses: 64, AnyOrder: true, Scope: scope}).Answer("")
	snapshot := scope.Snapshot()
	if counter := snapshot.Counters()["addresser.answers+weighted=true"]; counter == nil || counter.Value() != 1 {
		t.Errorf("counters %v", snapshot.Counters())
	}
	if gauge := snapshot.Gauges()["addresser.entries+"]; gauge == nil || gauge.Value() < 16 || gauge.Value() > 40 {
		t.Errorf("gauges %v", snapshot.Gauges())
	}
}

// TestLossOfStrongNodesLeavesAddresses guards against callers whose answer names strong VMs
// only: when all are lost, each answer still has several others.
func TestLossOfStrongNodesLeavesAddresses(t *testing.T) {
	for _, c := range []struct{ weak, least int }{{3, 3}, {10, 4}, {60, 10}, {85, 15}} {
		view := mixedView(c.weak, 6)
		for i := range view.Members {
			own := *view
			own.Self = view.Members[i]
			a := addresser.New(addresser.Options{
				View: func() *assigner.View { return &own }, DataCentre: own.Self.DataCentre, MaxAddresses: 64, AnyOrder: true,
			})
			for range 40 {
				left := 0
				for _, entry := range a.Answer("").Entries {
					if member, _ := view.Find(entry.Node); member.Capacity == weakCapacity {
						left++
					}
				}
				if left < c.least {
					t.Fatalf("%d weak: an answer of %s has %d of them", c.weak, own.Self.Node, left)
				}
			}
		}
	}
}
