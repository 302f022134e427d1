package limiter

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// historyNode is one VM of a random history, whose process restarts from time to time.
type historyNode struct {
	tokens   *fleetTokens
	joinedAt time.Time
	// startedAt is when the present process started.
	startedAt time.Time
	weight    float64
	cutOff    bool
}

// history runs random loads and faults against the budgets of a fleet and records when
// requests and retries reach the back ends.
type history struct {
	random *rand.Rand
	budget FleetBudget
	now    time.Time
	// nodes is in the order in which they joined.
	nodes              []*historyNode
	requests, retries  []time.Time
	retryShare, demand float64
	hoarding           bool
}

const (
	historyStep = 10 * time.Millisecond
	// knownAfter is how long a new or restarted node and the others take to know each other.
	knownAfter = 2 * time.Second
	// longestTransit is the longest time from taking a retry to its arrival.
	longestTransit = 300 * time.Millisecond
)

func newHistory(seed uint64, nodes int, slack float64) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	h.budget = FleetBudget{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
	for range nodes {
		h.join()
	}
	return h
}

func (h *history) join() {
	n := &historyNode{joinedAt: h.now, weight: 0.2 + h.random.ExpFloat64()}
	h.nodes = append(h.nodes, n)
	h.restart(n)
}

func (h *history) restart(n *historyNode) {
	n.startedAt = h.now
	budget := h.budget
	budget.Nodes = func() (int, bool) { return h.known(n), h.now.Sub(n.startedAt) >= knownAfter }
	n.tokens = newFleetTokens(budget, h.now)
}

// known returns how many nodes a node knows of. A node that has been cut off for long has
// forgotten the others.
func (h *history) known(n *historyNode) int {
	if n.cutOff || h.now.Sub(n.startedAt) < knownAfter {
		return 1
	}
	known, _ := slices.BinarySearchFunc(h.nodes, h.now.Add(-knownAfter), func(other *historyNode, limit time.Time) int {
		if other.joinedAt.After(limit) {
			return 1
		}
		return -1
	})
	return max(1, known)
}

func (h *history) take(n *historyNode, cause Cause) bool {
	taken := n.tokens.take(h.now, cause)
	if taken {
		h.retries = append(h.retries, h.now.Add(time.Duration(h.random.Int64N(int64(longestTransit)))))
	}
	return taken
}

// step sends the requests and retries of one historyStep.
func (h *history) step() {
	h.now = h.now.Add(historyStep)
	expected := h.demand * historyStep.Seconds()
	for range int(expected + h.random.Float64()) {
		n := h.nodes[h.random.IntN(len(h.nodes))]
		if n.weight < 1.5*h.random.Float64() {
			n = h.nodes[h.random.IntN(max(1, len(h.nodes)/5))]
		}
		n.tokens.count(h.now)
		h.requests = append(h.requests, h.now)
		if !h.hoarding && h.random.Float64() < h.retryShare {
			h.take(n, AfterError)
		}
	}
}

// change draws another load or a fault.
func (h *history) change() {
	switch h.random.IntN(9) {
	case 0:
		h.demand = 0
	case 1, 2:
		h.demand = 400 * h.random.Float64()
	case 3:
		h.hoarding, h.retryShare = false, h.random.Float64()
	case 4:
		h.hoarding = true
	case 5: // All nodes spend all that they have saved up.
		for _, n := range h.nodes {
			for h.take(n, []Cause{AfterError, Hedged}[h.random.IntN(2)]) {
				continue
			}
		}
	case 6:
		share := h.random.Float64()
		for _, n := range h.nodes {
			if share > 0.8 || h.random.Float64() < share {
				h.restart(n)
				n.cutOff = false
			}
		}
	case 7:
		for range 1 + len(h.nodes)/4 {
			h.join()
		}
	case 8:
		for _, n := range h.nodes {
			// A node is cut off once it knows the others.
			n.cutOff = h.random.IntN(2) == 0 && h.now.Sub(n.startedAt) > 2*knownAfter
		}
	}
}

// count returns how many of ascending times are from start on and before end.
func count(times []time.Time, start, end time.Time) int {
	from, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	to, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return to - from
}

// check compares each window that begins with a retry with the bound.
func (h *history) check(t *testing.T) (largestShare float64) {
	t.Helper()
	slices.SortFunc(h.retries, time.Time.Compare)
	window := h.budget.Window
	for _, start := range h.retries {
		requests := 0
		for _, offset := range []time.Duration{0, -window / 2, -window} {
			requests = max(requests, count(h.requests, start.Add(offset), start.Add(offset+window)))
		}
		retries := count(h.retries, start, start.Add(window))
		allowed := h.budget.Ratio*float64(requests) + h.budget.Slack
		largestShare = max(largestShare, float64(retries)/allowed)
		if float64(retries) > allowed {
			t.Fatalf("%d retries in the window from %s on, %.1f allowed for %d requests", retries, start.Sub(time.Unix(1000, 0)), allowed, requests)
		}
	}
	return largestShare
}

// TestFleetBudgetHoldsInEveryWindow guards against more retries than the fleet's budget while
// the load jumps, and nodes start, restart at once, join or are cut off from one another.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	largest := 0.0
	for seed := range uint64(90) {
		nodes := []int{1, 4, 82, 91, 230, 350}[seed%6]
		h := newHistory(seed, nodes, []float64{56, 204, 222}[seed/6%3])
		h.demand = 200
		for range 60 {
			for range 1 + h.random.IntN(300) {
				h.step()
			}
			h.change()
			if len(h.nodes) > 3*nodes+3 {
				break
			}
		}
		largest = max(largest, h.check(t))
	}
	t.Logf("the fullest window used %.2f of the budget", largest)
	if largest < 0.5 {
		t.Errorf("no window came near the budget: the histories are too tame")
	}
}

// TestFleetBudgetHoldsAfterHoarding guards against nodes that have each saved up a retry, as a
// retry is whole though a node's part of the slack is not, or that all restart and don't know
// of each other yet: two bursts lie at the two ends of a window, and each is retried as far as
// the budget allows.
func TestFleetBudgetHoldsAfterHoarding(t *testing.T) {
	for _, nodes := range []int{82, 204, 230, 350, 1000} {
		for perNode := 1; perNode <= 40; perNode += 3 {
			for _, age := range []time.Duration{time.Second, 10 * time.Second} {
				h := newHistory(uint64(perNode), nodes, 204)
				h.now = h.now.Add(age)
				for range 2 {
					h.burst(perNode)
					h.now = h.now.Add(h.budget.Window - time.Second)
				}
				h.check(t)
			}
		}
	}
}

// burst sends requests through each node at once and then all retries that the budget allows.
func (h *history) burst(perNode int) {
	for _, n := range h.nodes {
		for range perNode {
			n.tokens.count(h.now)
			h.requests = append(h.requests, h.now)
		}
	}
	h.now = h.now.Add(historyStep)
	for _, n := range h.nodes {
		for h.take(n, AfterError) {
			continue
		}
	}
}

// TestRestartsDoNotRenewSavings guards against a process that crashes and restarts again and
// again, and could spend its part of the slack each time.
func TestRestartsDoNotRenewSavings(t *testing.T) {
	h := newHistory(1, 82, 204)
	for range 1000 {
		h.step()
		for _, n := range h.nodes {
			for h.take(n, AfterError) {
				continue
			}
			h.restart(n)
		}
	}
	if len(h.retries) != 0 {
		t.Errorf("%d retries without a request", len(h.retries))
	}
}

// TestRestartsStayWithinBudget guards against processes that spend what they have saved up, and
// then again what a process has at its start, without a request.
func TestRestartsStayWithinBudget(t *testing.T) {
	for _, nodes := range []int{1, 3, 20, 60} {
		h := newHistory(1, nodes, 204)
		h.hoarding = true
		for h.demand = 400; h.now.Before(time.Unix(1060, 0)); {
			h.step()
		}
		h.now = h.now.Add(2 * h.budget.Window)
		for start := range startsInWindow + 1 {
			for _, n := range h.nodes {
				if start > 0 {
					h.restart(n)
				}
			}
			h.now = h.now.Add(knownAfter)
			for _, n := range h.nodes {
				for h.take(n, AfterError) {
					continue
				}
			}
			h.now = h.now.Add(time.Second)
		}
		if largest := h.check(t); largest < 0.3 || len(h.retries) < nodes {
			t.Errorf("%d nodes: %d retries, %.2f of the budget: the processes had nothing to spend", nodes, len(h.retries), largest)
		}
	}
}

// errorLoad has 82 nodes get 207 look-ups a second, some of which fail or are slow at random,
// and returns the shares of retries and hedges that the budget refused.
func errorLoad(errorShare, slowShare float64) (refusedRetries, refusedHedges float64) {
	h := newHistory(7, 82, 204)
	var tries, refused [2]float64
	for range 30_000 {
		h.now = h.now.Add(historyStep)
		for range int(2.07 + h.random.Float64()) {
			n := h.nodes[h.random.IntN(len(h.nodes))]
			n.tokens.count(h.now)
			at, cause := -1, AfterError
			switch chance := h.random.Float64(); {
			case chance < errorShare:
				at = 0
			case chance < errorShare+slowShare:
				at, cause = 1, Hedged
			}
			if at >= 0 {
				tries[at]++
				if !n.tokens.take(h.now, cause) {
					refused[at]++
				}
			}
		}
	}
	return refused[0] / max(1, tries[0]), refused[1] / max(1, tries[1])
}

// TestErrorsGetRetries guards against failed look-ups whose node has no retry saved up,
// though the fleet's budget exceeds what they need, and against hedges that use it up.
func TestErrorsGetRetries(t *testing.T) {
	alone, _ := errorLoad(0.14, 0)
	beside, hedges := errorLoad(0.14, 0.2)
	t.Logf("refused %.3f of the retries, %.3f beside hedges, of which %.3f are refused", alone, beside, hedges)
	if alone > 0.14 {
		t.Errorf("%.3f of the retries after an error are refused", alone)
	}
	if beside > alone+0.08 {
		t.Errorf("%.3f of the retries after an error are refused beside hedges, %.3f without", beside, alone)
	}
}

// TestUnsentTriesAreFree guards against retries that are counted though a back end was never
// reached: a server that does not accept connections used the budget up.
func TestUnsentTriesAreFree(t *testing.T) {
	errUnsent := errors.New("not connected")
	for name, c := range map[string]struct {
		errs         []error
		saved, tries int
		failed       bool
	}{
		"connection fails":                 {errs: []error{errUnsent, nil}, saved: 1, tries: 2},
		"connections fail, then an error":  {errs: []error{errUnsent, errUnsent, errDown, nil}, saved: 1, tries: 4},
		"error, then the connection fails": {errs: []error{errDown, errUnsent, nil}, saved: 1, tries: 3},
		"all connections fail":             {errs: []error{errUnsent, errUnsent, errUnsent, errUnsent}, saved: 1, tries: 4, failed: true},
		"error without a retry saved up":   {errs: []error{errDown}, tries: 1, failed: true},
		"connection, error, none saved up": {errs: []error{errUnsent, errDown}, tries: 2, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := New(Options{Fleet: &FleetBudget{Ratio: 0.2, Slack: 1000, Window: time.Second, Nodes: func() (int, bool) { return 1, false }}}).Pool("stock")
				time.Sleep(time.Second)
				for range 6 * c.saved {
					budget.CountSend()
				}
				before := budget.tokens.(*fleetTokens).saved
				tries := 0
				_, release, err := Hedge(context.Background(), budget, HedgeOptions[int]{
					Send: func(_ context.Context, try int) (int, error) {
						tries++
						return try, c.errs[try]
					},
					Unsent: func(err error) bool { return errors.Is(err, errUnsent) },
				})
				release()
				spent := before - budget.tokens.(*fleetTokens).saved
				sends := 0
				for _, err := range c.errs[:tries] {
					if !errors.Is(err, errUnsent) {
						sends++
					}
				}
				want := float64(max(0, sends-1)) - 0.19*float64(min(1, sends))
				if tries != c.tries || (err != nil) != c.failed || cmp.Compare(spent-want, 1e-9) > 0 || cmp.Compare(spent-want, -1e-9) < 0 {
					t.Errorf("%d tries, error %v, spent %.2f instead of %.2f", tries, err, spent, want)
				}
			})
		})
	}
}
