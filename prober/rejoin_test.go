package prober

import (
	"testing"
	"time"
)

// TestRejoinWithASeedGone has two nodes start again while they are cut off, and one of
// the two seeds be killed meanwhile on the other side. After the cut only the others
// can find the two, and the one that is gone must not use up their tries.
func TestRejoinWithASeedGone(t *testing.T) {
	const (
		// rejoinBound is how long a fleet may take to be whole after a cut.
		rejoinBound = 30 * time.Second
		cut         = 30 * time.Second
		seeds       = 400
	)
	late := 0
	var longest time.Duration
	for seed := range uint64(seeds) {
		f := newFleet(6, 1, seed+1, Options{})
		f.until(time.Minute, f.whole)
		apart := func(n *fakeNode) bool { return n.name == "n000" || n.name == "n003" }
		f.blocked = func(from, to *fakeNode) bool { return apart(from) != apart(to) }
		for _, name := range []string{"n000", "n003"} {
			f.node(name).killed = true
			f.start(name, "dc0")
		}
		f.run(cut / 2)
		f.node("n001").killed = true
		f.run(cut / 2)
		f.blocked = func(_, _ *fakeNode) bool { return false }
		took := f.until(time.Minute, f.whole)
		longest = max(longest, took)
		if took > rejoinBound {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d fleets were not whole in time, the last after %v", late, seeds, longest)
	}
}
