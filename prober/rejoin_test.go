package prober

import (
	"testing"
	"time"
)

// TestRejoinWithDeadSeed cuts two nodes off, restarts both, and kills the seed among the
// other nodes. The restarted nodes then know no live node beyond the cut, so the others must
// contact them once the cut ends. Attempts to reach the dead seed must not delay this.
func TestRejoinWithDeadSeed(t *testing.T) {
	const (
		// maxRejoinTime is how long a fleet may take to converge after a cut.
		maxRejoinTime = 30 * time.Second
		cutDuration   = 30 * time.Second
		seeds         = 400
	)
	late := 0
	var longest time.Duration
	for seed := range uint64(seeds) {
		f := newFleet(6, 1, seed+1, Options{})
		f.runUntil(time.Minute, f.converged)
		isolated := func(n *fakeNode) bool { return n.name == "n000" || n.name == "n003" }
		f.blocked = func(from, to *fakeNode) bool { return isolated(from) != isolated(to) }
		for _, name := range []string{"n000", "n003"} {
			f.node(name).killed = true
			f.start(name, "dc0")
		}
		f.run(cutDuration / 2)
		f.node("n001").killed = true
		f.run(cutDuration / 2)
		f.blocked = func(_, _ *fakeNode) bool { return false }
		took := f.runUntil(time.Minute, f.converged)
		longest = max(longest, took)
		if took > maxRejoinTime {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d fleets did not converge in time, the slowest after %v", late, seeds, longest)
	}
}
