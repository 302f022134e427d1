package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// exactLevel computes the level by sorting the uses.
func exactLevel(uses []identifier.Pieces, capacity identifier.Pieces) float64 {
	slices.Sort(uses)
	rest := float64(capacity)
	for i, use := range uses {
		if level := rest / float64(len(uses)-i); float64(use) >= level {
			return level
		}
		rest -= float64(use)
	}
	return -1
}

// TestUseLevel guards against a level that is off by more than a bucket, or uses that are counted
// twice or not taken back.
func TestUseLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h useHistogram
		var uses []identifier.Pieces
		total := identifier.Pieces(0)
		for _, use := range rapid.SliceOfN(rapid.Int64Range(1, 100_000), 1, 50).Draw(t, "uses") {
			uses = append(uses, identifier.Pieces(use))
			earlier := identifier.Pieces(rapid.Int64Range(0, 1000).Draw(t, "earlier"))
			h.change(0, earlier)
			h.change(earlier, identifier.Pieces(use))
			total += identifier.Pieces(use)
		}
		capacity := identifier.Pieces(rapid.Int64Range(1, int64(total)).Draw(t, "capacity"))
		level := h.level(capacity)
		want := exactLevel(slices.Clone(uses), capacity)
		if want < 0 || capacity == total {
			return
		}
		if float64(level) < want*7/8-1 || float64(level) > want*9/8+1 {
			t.Fatalf("level %d, exactly %.1f", level, want)
		}
		for _, use := range uses {
			h.change(use, 0)
		}
		if h != (useHistogram{}) {
			t.Fatalf("not empty: %+v", h)
		}
	})
}

// TestUnusedShareGoesToOthers guards against an equal part for each account: one account uses
// little, so that the other may have more than half of the memory before it queues behind.
func TestUnusedShareGoesToOthers(t *testing.T) {
	p := newSharePlacer(8)
	d := Demand{Account: "large"}
	p.addAccountUse(&Demand{Account: "small"}, 1, 0)
	p.addAccountUse(&d, 6, 0)
	if !p.isWithinShare(&d, 1) {
		t.Error("an account is beyond its share while all accounts together need no more than there is")
	}
	if p.isWithinShare(&d, 2) {
		t.Error("an account that asks for more than the others leave is within its share")
	}
	p.addAccountUse(&Demand{Account: "middle"}, 3, 2)
	if !p.isWithinShare(&Demand{Account: "small"}, 1) || p.isWithinShare(&d, 1) {
		t.Error("the account with the largest use has to queue behind the others")
	}
}

func newSharePlacer(pieces identifier.Pieces) *Placer {
	p := New(time.Unix(1000, 0), Settings{Issuer: "t"})
	p.Configure(Settings{Issuer: "t"}, []Engine{{Member: "p", Role: identifier.Prefill, Pieces: 1}, {Member: "d", Role: identifier.Decode, Pieces: pieces}})
	return p
}

// TestRepeatsGoAfterFirstAttempts guards against a repeat of an account within its share that
// takes the memory of a first attempt, which can still be on time.
func TestRepeatsGoAfterFirstAttempts(t *testing.T) {
	var q queue
	at := time.Unix(1000, 0)
	for i, w := range []*waitingDemand{
		{isRetry: true}, {isRetry: true, withinShare: true}, {}, {withinShare: true},
	} {
		w.demand.Request, w.priority = identifier.Request(fmt.Sprint(i)), at
		q.add(w)
	}
	for _, want := range []identifier.Request{"3", "2", "1", "0"} {
		w := q.popNext(firstAttempts)
		if w == nil {
			w = q.popNext(repeats)
		}
		if w.demand.Request != want {
			t.Errorf("%s instead of %s", w.demand.Request, want)
		}
		q.removePopped(w)
	}
}

// TestHotAccountQueuesBehindItself has one of sixteen accounts send seven times its usual load.
// The others must hardly notice, and neither the account nor large prompts may starve.
func TestHotAccountQueuesBehindItself(t *testing.T) {
	for _, seed := range scarceSeeds {
		s := newScarcePool(hotAccountLoad(), seed)
		s.run()
		all, hot, others := s.total(), s.byAccount["hot"], s.others("hot")
		if others.onTimeShare() < 0.985 || others.refusedAgain > others.sent/100 {
			t.Errorf("seed %d: the other accounts: %s", seed, others)
		}
		if hot.servedShare() < all.servedShare()/4 {
			t.Errorf("seed %d: the account with the burst: %s", seed, hot)
		}
		if float64(all.largestServed)/float64(all.largest) < all.servedShare()/2 {
			t.Errorf("seed %d: large prompts: %s", seed, all)
		}
	}
}

// BenchmarkWithinShare measures the check of one demand with 14,000 accounts, of which 400 use
// memory.
func BenchmarkWithinShare(b *testing.B) {
	p := newSharePlacer(60_000)
	const active = 400
	for n := range active {
		p.addAccountUse(&Demand{Account: identifier.Account(fmt.Sprint(n * 35))}, identifier.Pieces(20+n), 100)
	}
	d := Demand{Account: "350"}
	for b.Loop() {
		p.isWithinShare(&d, 40)
	}
}
