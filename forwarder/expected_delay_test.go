package forwarder

import (
	"math"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// timesOf returns the evidence of results that each took the same time.
func timesOf(took time.Duration, results ...sendResult) sendTimes {
	var times sendTimes
	for _, result := range results {
		times.add(result, took)
	}
	return times
}

// TestRelativeDelays guards against a slow back end that looks quick: one that was never seen
// to answer, since hedges overtake it, or that declines or fails at once.
func TestRelativeDelays(t *testing.T) {
	const quick, slow = 60 * time.Millisecond, 180 * time.Millisecond
	plain := timesOf(quick, answered, answered)
	for name, c := range map[string]struct {
		other    sendTimes
		min, max float64
	}{
		"no evidence":             {other: sendTimes{}, max: 0.01},
		"as quick":                {other: plain, max: 0.01},
		"slow answers":            {other: timesOf(slow, answered, answered), min: 1.2, max: 2},
		"one slow answer":         {other: timesOf(slow, answered), min: 0.8, max: 1.5},
		"overtaken by hedges":     {other: timesOf(slow, withdrawn, withdrawn), min: 1.2, max: 2},
		"callers that leave soon": {other: timesOf(time.Millisecond, withdrawn, withdrawn), max: 0.01},
		"silent":                  {other: timesOf(time.Second, silent), min: 5, max: 15},
		"declines at once":        {other: timesOf(time.Millisecond, declined), min: 2, max: 4},
		"fails at once":           {other: timesOf(time.Millisecond, faulted, faulted), max: 0.01},
	} {
		delays := relativeDelays([]sendTimes{plain, c.other, plain})
		if delays[0] > 0.01 || delays[1] < c.min || delays[1] > c.max {
			t.Errorf("%s: %.2f", name, delays)
		}
	}
	if delays := relativeDelays([]sendTimes{timesOf(slow, declined), {}}); delays != nil {
		t.Errorf("without an answer of any back end: %.2f", delays)
	}
}

// TestChooseByCost guards against a stampede: of back ends that cost about the same all are
// chosen, those that cost clearly more are not, and those that take nothing never are.
func TestChooseByCost(t *testing.T) {
	costs := []float64{0, 0.05, 0, 0.5, 1000, math.Inf(1)}
	const turns = 10_000
	counts := make([]int, len(costs))
	for turn := range uint64(turns) {
		counts[chooseByCost(costs, turn)]++
	}
	for i, want := range []float64{0.42, 0.16, 0.42, 0, 0, 0} {
		if share := float64(counts[i]) / turns; math.Abs(share-want) > 0.01 {
			t.Errorf("index %d: share %.3f instead of %.2f", i, share, want)
		}
	}
	if got := chooseByCost([]float64{math.Inf(1), 1000}, math.MaxUint64); got != 1 {
		t.Errorf("chose %d though only one accepts requests", got)
	}
	if got := chooseByCost([]float64{math.Inf(1)}, 1); got >= 0 {
		t.Errorf("chose %d though none accepts requests", got)
	}
}

// TestSlowBackendShows guards against a decision that operators can't see: a slow back end is
// reported once when it becomes slow and once when it no longer is, and picks are counted.
func TestSlowBackendShows(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	b := newBalancer(unlimited{}, scope)
	desks := testTable().Pool("desk", "")
	now := time.Unix(1000, 0)
	var changes []healthChange
	for step := range 12 {
		now = now.Add(time.Second)
		for i, desk := range desks {
			took := 60 * time.Millisecond
			if i == 1 && step < 4 {
				took *= 3
			}
			b.recordResult(now, desk, answered, took)
		}
		if _, change := b.updateDelay(now, desks[1], desks); change != unchanged {
			changes = append(changes, change)
		}
		b.pick(now, desks, nil, "", uint64(step))
	}
	if len(changes) != 2 || changes[0] != becameUnhealthy || changes[1] != becameHealthy {
		t.Errorf("changes %v", changes)
	}
	counts := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		counts[counter.Tags()["evidence"]] += counter.Value()
	}
	if counts["slow-passed-over"] < 3 || counts["even"] < 3 || counts["slow-chosen"] != 0 {
		t.Errorf("picks %v", counts)
	}
}
