package placer

import (
	"testing"
	"time"
)

// ratePool grants prefills of 5,000 tokens on one engine whose configured rate is 50,000 a second.
type ratePool struct {
	engine *engine
	now    time.Time
}

func newRatePool() *ratePool {
	return &ratePool{engine: &engine{Engine: Engine{PrefillRate: 50_000}}, now: time.Unix(1000, 0)}
}

// grant books a prefill that begins now.
func (r *ratePool) grant() *grant {
	g := &grant{prefill: r.engine, grantedAt: r.now, uncachedPrompt: 5000}
	r.engine.joinPrefillBatch(g)
	return g
}

const nominalPrefill = 100 * time.Millisecond

// TestBusyEngineRateIsLearned guards against engines of several speeds that all count as equally fast while
// they are busy, because only prefills alone on their engine were measured. The pool then refused
// requests for lack of prefill while its engines were idle a fifth of the time.
func TestBusyEngineRateIsLearned(t *testing.T) {
	const prefills = 60
	for name, c := range map[string]struct {
		speed float64
		// shared engines compute the prefills of a pair at the same time, others one by one.
		shared bool
	}{"slow": {0.7, false}, "fast": {1.7, false}, "slow, shared": {0.7, true}, "fast, shared": {1.7, true}} {
		r := newRatePool()
		service := time.Duration(float64(nominalPrefill) / c.speed)
		var unreported []*grant
		var took []time.Duration
		for range prefills / 2 {
			first, second := r.grant(), r.grant()
			times := []time.Duration{service + prefillOverhead, 2*service + prefillOverhead}
			if c.shared {
				times[0] = times[1]
			}
			unreported, took = append(unreported, first, second), append(took, times...)
			r.now = r.now.Add(2*service + prefillOverhead + time.Millisecond)
			// Nodes report late.
			if len(unreported) >= 10 {
				for i, g := range unreported {
					g.learnPrefillRate(took[i])
				}
				unreported, took = nil, nil
			}
		}
		if rate := r.engine.learnedPrefillRate / 50_000; rate < 0.93*c.speed || rate > 1.07*c.speed {
			t.Errorf("%s: the learned rate is %.2f of the configured one", name, rate)
		}
	}
}

// TestCachedPromptDoesNotLookFast guards against an engine that counts as fast because it had some
// prompts cached without the owner's knowledge.
func TestCachedPromptDoesNotLookFast(t *testing.T) {
	r := newRatePool()
	for n := range 80 {
		g := r.grant()
		took := nominalPrefill + prefillOverhead
		if n%8 == 0 {
			took = 2 * time.Millisecond
		}
		g.learnPrefillRate(took)
		r.now = r.now.Add(200 * time.Millisecond)
	}
	if rate := r.engine.learnedPrefillRate; rate > 1.1*50_000 {
		t.Errorf("the learned rate is %.0f", rate)
	}
}

// TestFailedPrefillEndsItsBatch guards against rates from batches with a prefill of which nobody
// knows how long it was on the engine, and batches that stay open for it.
func TestFailedPrefillEndsItsBatch(t *testing.T) {
	r := newRatePool()
	failed, slow := r.grant(), r.grant()
	failed.breakPrefillBatch()
	slow.learnPrefillRate(time.Second)
	if r.engine.learnedPrefillRate != 0 || r.engine.prefillBatch != nil {
		t.Errorf("learned %v, batch %v", r.engine.learnedPrefillRate, r.engine.prefillBatch)
	}
	r.now = r.now.Add(2 * time.Second)
	r.grant().learnPrefillRate(200*time.Millisecond + prefillOverhead)
	if rate := r.engine.learnedPrefillRate; rate < 43_000 || rate > 44_500 {
		t.Errorf("the learned rate is %.0f", rate)
	}
}

// TestUnevenEngines has 44 engines of three speeds at 0.8 of their capacity, of which 15 in 100 become
// 2.5 times as slow for a while. Requests were refused for lack of prefill while the decode
// engines were two thirds full, and the refusals went on after the engines had recovered.
func TestUnevenEngines(t *testing.T) {
	var sum scarceCounts
	for _, seed := range scarceSeeds {
		s := newScarcePool(unevenLoad(), seed)
		s.run()
		sum.add(s.total())
	}
	if sum.onTimeShare() < 0.975 || sum.refused > sum.sent*2/100 || sum.refusedAgain > sum.sent/200 {
		t.Errorf("%s", sum)
	}
	if float64(sum.largestServed)/float64(sum.largest) < 0.95 {
		t.Errorf("large prompts: %s", sum)
	}
}
