package limiter

import (
	"math"
	"slices"
	"time"
)

// FleetBudget is a retry budget that holds for all nodes together: in any period of the
// length Window the nodes send a pool at most Ratio x requests + Slack retries, where the
// requests are those of the period, the period before it or the one half a period before it,
// whichever has the most. docs/design/uneven-servers.md shows why the parts of the nodes keep
// this bound.
type FleetBudget struct {
	// Ratio is the number of retries for each request.
	Ratio float64
	// Slack is the number of retries allowed in a period whatever the number of requests.
	Slack  float64
	Window time.Duration
	// Nodes returns how many nodes share the slack. It must count nodes that can't be reached,
	// which may go on sending. The largest number returned so far is used. complete is false
	// while the node has not looked for the others yet.
	Nodes func() (count int, complete bool)
}

const (
	// fleetBudgetShare is the share of the budget that the nodes use. The rest covers the time
	// between taking a retry and its arrival, up to 5% of the window.
	fleetBudgetShare = 0.95
	// settleShare is the share of the window after the start in which a node does not rely on
	// Nodes. A node that starts knows the others, and they know it, after about 2 s.
	settleShare = 0.5
	// fleetHedgeLevel is how many retries must be saved up for a hedge, if a node may save up
	// that many, else it must have saved up all that it may. An answer with an error fails
	// without a retry, whereas a slow one may still come.
	fleetHedgeLevel = 3
	// A process that starts has some retries, so that the first requests of a small fleet get
	// them too: a quarter of what its part has beyond startFrom, and maxStartRetries at most.
	// Large fleets have none to spare, as each start in a window counts.
	startFrom       = 3
	startShare      = 0.25
	maxStartRetries = 3
	// startsInWindow is how often a process may start in one window. Each start takes about 3 s.
	startsInWindow = 3
	// maxRecentRequests bounds the request times that are kept if Ratio is very small.
	maxRecentRequests = 1024
)

// nodeBudget is one node's part of a FleetBudget.
type nodeBudget struct {
	// ratio is the number of retries that a request earns.
	ratio float64
	// limit is the largest number of retries saved up, at least 1.
	limit float64
	// unconditional is the part of the savings that is kept however long the node gets no
	// requests. Savings beyond it must have been earned within the window.
	unconditional float64
	// atStart is the number of retries that a process may send in the first window after its
	// start without having earned them.
	atStart float64
}

// forOneOf returns the part of one of a number of nodes. If the slack gives each node less than
// one retry, a node still saves up one: a smaller ratio makes up for it, as a node can have it
// saved up only after as many requests as earn it.
func (f FleetBudget) forOneOf(nodes float64) nodeBudget {
	ratio, slack := fleetBudgetShare*f.Ratio, fleetBudgetShare*f.Slack/nodes
	if slack >= 1 {
		atStart := min(maxStartRetries, max(0, startShare*(slack-startFrom)))
		limit := slack - startsInWindow*atStart
		return nodeBudget{ratio: ratio, limit: limit, unconditional: limit, atStart: atStart}
	}
	return nodeBudget{ratio: ratio / (2 - slack), limit: 1, unconditional: slack}
}

// fleetTokens holds one node's part of a FleetBudget. Its savings start empty, so that a node
// that restarts again and again can't spend its part of the slack each time.
type fleetTokens struct {
	budget    FleetBudget
	startedAt time.Time
	// saved is the number of retries saved up, at most the limit of the present part. It is
	// negative if a retry used what a request had earned that proved to be unsent later.
	saved float64
	// mostNodes is the largest number of nodes that share the budget so far. It never falls: a
	// node that is cut off from the others for hours forgets them, and they go on sending.
	mostNodes int
	// complete is set once Nodes has looked for the other nodes.
	complete bool
	// startUsed is the number of retries sent of those that a process has at its start.
	startUsed int
	// recent has the times of the latest requests within the window, in ascending order.
	recent []time.Time
}

func newFleetTokens(budget FleetBudget, startedAt time.Time) *fleetTokens {
	return &fleetTokens{budget: budget, startedAt: startedAt, mostNodes: 1}
}

// update applies the limits of the present part, and returns it.
func (t *fleetTokens) update(now time.Time) nodeBudget {
	count, complete := t.budget.Nodes()
	t.mostNodes, t.complete = max(t.mostNodes, count), t.complete || complete
	nodes := float64(t.mostNodes)
	if now.Sub(t.startedAt) < time.Duration(settleShare*float64(t.budget.Window)) {
		nodes = math.Inf(1)
	}
	current := t.budget.forOneOf(nodes)
	expired := 0
	for expired < len(t.recent) && now.Sub(t.recent[expired]) >= t.budget.Window {
		expired++
	}
	// More than these requests earn more than limit, and don't matter.
	needed := maxRecentRequests
	if current.ratio > 0 {
		needed = int(min(maxRecentRequests, math.Ceil(current.limit/current.ratio)))
	}
	t.recent = slices.Delete(t.recent, 0, max(expired, len(t.recent)-needed))
	earned := max(current.unconditional, current.ratio*float64(len(t.recent)))
	t.saved = min(t.saved, current.limit, earned)
	return current
}

func (t *fleetTokens) count(now time.Time) {
	t.recent = append(t.recent, now)
	current := t.update(now)
	t.saved = min(t.saved+current.ratio, current.limit, max(current.unconditional, current.ratio*float64(len(t.recent))))
}

func (t *fleetTokens) uncount(now time.Time) {
	current := t.update(now)
	t.saved -= current.ratio
	if len(t.recent) > 0 {
		t.recent = t.recent[:len(t.recent)-1]
	}
}

func (t *fleetTokens) take(now time.Time, cause Cause) bool {
	current := t.update(now)
	level := 1.0
	if cause == Hedged {
		level = min(fleetHedgeLevel, current.limit)
	}
	// The sum of many earnings may lack a rounding error of a whole retry.
	if t.saved+1e-9 < level {
		return t.takeAtStart(now, cause)
	}
	t.saved--
	return true
}

// takeAtStart takes one of the retries that a process has at its start. A hedge leaves one.
func (t *fleetTokens) takeAtStart(now time.Time, cause Cause) bool {
	needed := t.startUsed + 1
	if cause == Hedged {
		needed++
	}
	if !t.complete || now.Sub(t.startedAt) >= t.budget.Window || float64(needed) > t.budget.forOneOf(float64(t.mostNodes)).atStart {
		return false
	}
	t.startUsed++
	return true
}

func (t *fleetTokens) giveBack(now time.Time) {
	t.saved++
	t.update(now)
}
