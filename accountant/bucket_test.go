package accountant

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/accountant/accountantrpc"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBucketLevel guards against levels that let an account spend more than its quota after a
// change of the owner or the limit, or after returns.
func TestBucketLevel(t *testing.T) {
	quota := tokenQuota(100_000)
	initial, saved := initialShare*platformBounds.tolerance(quota), platformBounds.saved(quota)
	second := start.Add(time.Second)
	for name, test := range map[string]struct {
		ownedFor time.Duration
		change   func(b *bucket)
		level    float64
	}{
		"new owner":               {0, func(*bucket) {}, initial},
		"refilled after handover": {handoverTime + 100*time.Millisecond, func(*bucket) {}, initial + 10_000},
		"owner for long":          {time.Minute, func(*bucket) {}, saved},
		"full":                    {time.Minute, func(b *bucket) { b.refill(start.Add(time.Hour)) }, saved},
		"whole amount taken": {time.Minute, func(b *bucket) {
			b.take(start, 0, platformBounds, 90_000)
			b.take(start, 0, platformBounds, 21_000)
		}, saved - 111_000},
		"returned to a full bucket": {time.Minute, func(b *bucket) { b.giveBack(start, 0, 5500) }, saved},
		"returned": {time.Minute, func(b *bucket) {
			b.take(start, 0, platformBounds, 21_000)
			b.giveBack(start, 0, 5500)
		}, saved - 15_500},
		"lowered limit": {time.Minute, func(b *bucket) { b.setQuota(start, platformBounds, tokenQuota(30_000)) }, platformBounds.saved(tokenQuota(30_000))},
		"raised limit":  {time.Minute, func(b *bucket) { b.setQuota(start, platformBounds, tokenQuota(200_000)); b.refill(second) }, min(saved+200_000, platformBounds.saved(tokenQuota(200_000)))},
		"top-up is not available at once": {time.Minute, func(b *bucket) {
			b.setQuota(start, platformBounds, limiter.AccountQuota{Rate: 100_000, Burst: 500_000, Tokens: true})
		}, saved},
		"other unit": {time.Minute, func(b *bucket) { b.setQuota(start, platformBounds, limiter.AccountQuota{Rate: 10, Burst: 10}) }, 0},
	} {
		b := newBucket(start, start.Add(-test.ownedFor), platformBounds, quota)
		test.change(b)
		if math.Abs(b.level-test.level) > 1 {
			t.Errorf("%s: level %.0f, want %.0f", name, b.level, test.level)
		}
	}
}

// TestReportsCount guards against a new owner that grants what earlier owners granted in the
// same window again, or counts a repeated report twice.
func TestReportsCount(t *testing.T) {
	quota := tokenQuota(100_000)
	b := newBucket(start, start, platformBounds, quota)
	for _, node := range []identifier.Node{"a", "b", "a"} {
		b.report(start, 100, platformBounds, node, 300_000)
	}
	if b.granted.sum != 600_000 {
		t.Errorf("reported %.0f, want 600000", b.granted.sum)
	}
	b.report(start, 100, platformBounds, "d", 410_000)
	if granted, _ := b.take(start, 100, platformBounds, 5500); granted {
		t.Error("granted although others granted the limit and half of the tolerance in the window")
	}
	b.report(start.Add(time.Minute), 100, platformBounds, "c", 300_000)
	if b.granted.sum != 1_010_000 {
		t.Error("a report counts after the first window of the bucket")
	}
}

// TestRetryAfterSpreadsReturns guards against refused callers that all come back at once, or
// before there is room for them.
func TestRetryAfterSpreadsReturns(t *testing.T) {
	b := newBucket(start, start.Add(-time.Minute), platformBounds, tokenQuota(100_000))
	const amount = 10_000
	for granted := true; granted; {
		granted, _ = b.take(start, 0, platformBounds, amount)
	}
	var returns []time.Duration
	for range 20 {
		granted, retryAfter := b.take(start, 0, platformBounds, amount)
		if granted {
			t.Fatal("granted from an empty bucket")
		}
		returns = append(returns, retryAfter)
	}
	for i, at := range returns {
		if i > 0 && at-returns[i-1] < 99*time.Millisecond {
			t.Errorf("two callers of %d tokens are told to come back after %s and %s", amount, returns[i-1], at)
		}
		later := start.Add(at)
		if granted, again := b.take(later, slot(at/platformBounds.slotLength()), platformBounds, amount); !granted {
			t.Errorf("a caller that came back after %s was told to wait %s more", at, again)
		}
	}
	b = newBucket(start, start, platformBounds, limiter.AccountQuota{Rate: 1e-9, Burst: 1, Tokens: true})
	b.level = -1e9
	if _, retryAfter := b.take(start, 0, platformBounds, 1); retryAfter != maxRetryAfter {
		t.Errorf("Retry-After %s, want at most %s", retryAfter, maxRetryAfter)
	}
}

// TestAloneLimits guards against nodes that together spend more than their part of the tolerance
// by themselves, and against a division that leaves no node a whole request.
func TestAloneLimits(t *testing.T) {
	for _, nodes := range []int{1, 3, 91, 350} {
		for _, quota := range []limiter.AccountQuota{tokenQuota(29_000), tokenQuota(223_000), {Rate: 50, Burst: 50}} {
			view := &assigner.View{}
			for i := range nodes {
				view.Members = append(view.Members, assigner.Member{Node: identifier.Node(fmt.Sprintf("n%03d", i)), State: assigner.Alive})
			}
			sum, whole := 0.0, 0
			for _, self := range view.Members {
				own := &assigner.View{Self: self, Members: view.Members}
				s := &spending{}
				s.follow(own, "account")
				limit := s.aloneLimit(platformBounds, quota, nodes)
				sum += limit
				if limit >= 5500 || !quota.Tokens && limit >= 1 {
					whole++
				}
			}
			if part := aloneShare * platformBounds.tolerance(quota); sum > part*1.0001 || whole == 0 {
				t.Errorf("%d nodes, rate %.0f: %.0f in all, their part is %.0f; %d nodes can send a whole request", nodes, quota.Rate, sum, part, whole)
			}
		}
	}
}

// TestForgetting guards against an account that is forgotten and then starts with more than it
// had, and against state that grows with every account ever seen.
func TestForgetting(t *testing.T) {
	a := newOwner()
	l, view, quota := a.ledger, a.options.View(), tokenQuota(100_000)
	now := l.startedAt
	l.observe(now, view)
	now = now.Add(time.Minute)
	for i := range 1000 {
		l.observe(now, view)
		l.decide(now, &query{account: identifier.Account(fmt.Sprint("account-", i)), quota: quota, amount: 5500})
		l.decideAsDeputy(now, 0, &query{account: identifier.Account(fmt.Sprint("account-", i)), quota: quota, amount: 5500})
	}
	l.buckets["account-0"].level = -1e7
	l.forget(now.Add(time.Second))
	if len(l.buckets) != 1000 {
		t.Errorf("%d accounts are left after a second, want all", len(l.buckets))
	}
	l.forget(now.Add(20 * time.Second))
	if len(l.buckets) != 1 || len(l.deputies) != 0 {
		t.Errorf("%d accounts and %d of other owners are left, want the one whose bucket is not full", len(l.buckets), len(l.deputies))
	}
}

// TestReturnsOnce guards against amounts that are given back twice by a repeated message, or to
// a bucket that did not grant them.
func TestReturnsOnce(t *testing.T) {
	a := newOwner()
	s, quota := &server{a}, tokenQuota(100_000)
	v := a.decide(time.Now(), a.options.View(), &query{node: "n001", account: "x", quota: quota, amount: 20_000})
	level := a.ledger.buckets["x"].level
	message := func(sequence, receiver uint64, at slot) {
		request := &accountantrpc.ExchangeRequest{Node: "n001", Incarnation: 1, Sequence: sequence, Receiver: receiver, Returns: []*accountantrpc.Return{{Account: "x", Amount: 1000, Slot: int64(at)}}}
		if _, err := s.Exchange(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	message(5, 1, v.at)
	message(5, 1, v.at)
	message(4, 1, v.at)
	message(6, 2, v.at)
	message(7, 1, v.at-1)
	if got := a.ledger.buckets["x"].level; math.Abs(got-level-1000) > 1 {
		t.Errorf("the level rose by %.0f, want 1000", got-level)
	}
}

// TestReturnsInAnotherUnit guards against tokens that are given back, or reported, to a bucket that
// counts requests since the account's unit changed: they would fill or empty it.
func TestReturnsInAnotherUnit(t *testing.T) {
	a := newOwner()
	l, now := a.ledger, time.Now()
	l.observe(now, a.options.View())
	tokens := l.decide(now, &query{node: "n001", account: "x", quota: tokenQuota(100_000), amount: 5500})
	now = now.Add(500 * time.Millisecond)
	l.observe(now, a.options.View())
	requests := limiter.AccountQuota{Rate: 10, Burst: 10}
	l.decide(now, &query{node: "n001", account: "x", quota: requests, amount: 1})
	level := l.buckets["x"].level
	l.giveBack(now, "x", 5500, tokens.at, tokens.deputy)
	if got := l.buckets["x"].level; got != level || !tokens.granted {
		t.Errorf("the level rose from %.1f to %.1f; granted: %v", level, got, tokens.granted)
	}
	l.decide(now, &query{node: "n002", account: "x", quota: requests, amount: 1, spent: 5500})
	if counted := l.buckets["x"].granted.sum; counted > 2 {
		t.Errorf("%.0f requests are counted", counted)
	}
}

// TestPanicLeavesNoLock guards against a fault of this program during one request's query that makes
// the requests of all accounts wait for good.
func TestPanicLeavesNoLock(t *testing.T) {
	for at := range 6 {
		a := newOwner()
		view, calls := a.options.View(), 0
		a.options.View = func() *assigner.View {
			if calls++; calls == at+1 {
				panic("fault")
			}
			return view
		}
		func() {
			defer func() { _ = recover() }()
			a.Take(t.Context(), "x", tokenQuota(100_000), 1000)
		}()
		if !a.mutex.TryLock() {
			t.Errorf("the lock is held after a panic in call %d of View", at+1)
		}
	}
}

// TestOddMessages guards against numbers of another node that make a level or a wait absurd.
func TestOddMessages(t *testing.T) {
	a := newOwner()
	s := &server{a}
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		for _, amount := range []int64{math.MinInt64, -1, math.MaxInt64} {
			response, err := s.Exchange(t.Context(), &accountantrpc.ExchangeRequest{Node: "n001", Sequence: 1, Receiver: 1, Queries: []*accountantrpc.Query{
				{Account: "x", Amount: amount, Rate: rate, Burst: amount, Tokens: true, Spent: amount},
			}, Returns: []*accountantrpc.Return{{Account: "x", Amount: amount, Slot: amount}}})
			if err != nil {
				t.Fatal(err)
			}
			if wait := decodeAnswer(response.GetAnswers()[0]).retryAfter; wait < 0 || wait > maxRetryAfter {
				t.Errorf("rate %v, amount %d: Retry-After %s", rate, amount, wait)
			}
			if level := a.ledger.buckets["x"].level; math.IsNaN(level) || math.IsInf(level, 0) {
				t.Errorf("rate %v, amount %d: level %v", rate, amount, level)
			}
		}
	}
}
