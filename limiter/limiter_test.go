package limiter

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestRetryAmplificationIsBounded guards against a retry storm: with all back ends down
// for a minute, sends must exceed the calls by little more than a tenth.
func TestRetryAmplificationIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(Options{}).Pool("stock")
		const calls = 6000
		sent := 0
		for range calls {
			budget.CountSend()
			sent++
			for range 3 {
				if !budget.TakeRetry() {
					break
				}
				sent++
			}
			time.Sleep(time.Minute / calls)
		}
		t.Logf("%d calls, %d sent", calls, sent)
		if sent > calls*115/100 || sent < calls*110/100 {
			t.Fatalf("%d calls sent %d times", calls, sent)
		}
	})
}

// TestPoolBudgetsAreIndependent checks that a quiet pool can retry, that pools share no
// budget, and that RetainPools drops only the budgets of pools that are not listed.
func TestPoolBudgetsAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Options{})
		for limiter.Pool("a").TakeRetry() {
			continue
		}
		if !limiter.Pool("b").TakeRetry() {
			t.Error("pool b shares the budget of pool a")
		}
		time.Sleep(time.Second)
		if !limiter.Pool("a").TakeRetry() {
			t.Error("a quiet pool cannot retry")
		}
		limiter.RetainPools([]identifier.Pool{"a"})
		if limiter.Pool("a").TakeRetry() {
			t.Error("a kept pool got a new budget")
		}
		if !limiter.Pool("b").TakeRetry() {
			t.Error("a dropped pool kept its budget")
		}
	})
}

// scriptedTries ends each try after its latency with its error, and counts the tries.
type scriptedTries struct {
	latency   []time.Duration
	errs      []error
	started   atomic.Int32
	cancelled atomic.Int32
	discarded atomic.Int32
}

func (s *scriptedTries) hedgeOptions() HedgeOptions[int] {
	return HedgeOptions[int]{
		Send: func(ctx context.Context, try int) (int, error) {
			s.started.Add(1)
			select {
			case <-time.After(s.latency[try]):
				return try, s.errs[try]
			case <-ctx.Done():
				s.cancelled.Add(1)
				return try, nil
			}
		},
		Discard: func(int) { s.discarded.Add(1) },
	}
}

var errDown = errors.New("down")

func TestHedge(t *testing.T) {
	const fast, slow, silent = time.Millisecond, time.Second, time.Hour
	for name, c := range map[string]struct {
		latencies   []time.Duration
		errs        []error
		budgetSpent bool

		started, cancelled int32
		answer             int
		took               time.Duration
		failed             bool
	}{
		"fast":                      {latencies: []time.Duration{fast, fast}, errs: []error{nil, nil}, started: 1, took: fast},
		"silent":                    {latencies: []time.Duration{silent, fast}, errs: []error{nil, nil}, started: 2, cancelled: 1, answer: 1, took: initialDelay + fast},
		"first wins":                {latencies: []time.Duration{slow, silent}, errs: []error{nil, nil}, started: 2, cancelled: 1, took: slow},
		"first fails":               {latencies: []time.Duration{fast, fast}, errs: []error{errDown, nil}, started: 2, answer: 1, took: 2 * fast},
		"second fails":              {latencies: []time.Duration{slow, fast}, errs: []error{nil, errDown}, started: 2, took: slow},
		"both fail":                 {latencies: []time.Duration{fast, fast}, errs: []error{errDown, errDown}, started: 2, took: 2 * fast, failed: true},
		"budget spent":              {latencies: []time.Duration{slow, fast}, errs: []error{nil, nil}, budgetSpent: true, started: 1, took: slow},
		"first fails, budget spent": {latencies: []time.Duration{fast, fast}, errs: []error{errDown, nil}, budgetSpent: true, started: 1, took: fast, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := New(Options{Floor: 1e-9}).Pool("stock")
				for c.budgetSpent && budget.TakeRetry() {
					continue
				}
				s := &scriptedTries{latency: c.latencies, errs: c.errs}
				start := time.Now()
				answer, release, err := Hedge(context.Background(), budget, s.hedgeOptions())
				took := time.Since(start)
				release()
				synctest.Wait()
				if (err != nil) != c.failed || !c.failed && answer != c.answer || took != c.took {
					t.Errorf("answer %d after %s, error %v", answer, took, err)
				}
				if s.started.Load() != c.started || s.cancelled.Load() != c.cancelled || s.discarded.Load() != c.cancelled {
					t.Errorf("%d started, %d cancelled, %d discarded", s.started.Load(), s.cancelled.Load(), s.discarded.Load())
				}
			})
		})
	}
}

// TestHedgeDelay checks that the delay is the 95th percentile of the pool's calls.
func TestHedgeDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(Options{}).Pool("stock")
		for i := range delaySamples {
			budget.hedgeDelay.add(time.Duration(i) * time.Millisecond)
		}
		delay := budget.HedgeDelay()
		if delay < 235*time.Millisecond || delay > 255*time.Millisecond {
			t.Errorf("delay %s", delay)
		}
	})
}
