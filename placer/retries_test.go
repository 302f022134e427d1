package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// fullPool has one decode engine that is full for a minute, and knows how long outputs take.
type fullPool struct {
	t      *testing.T
	placer *Placer
	now    time.Time
}

func newFullPool(t *testing.T, queueLimit int) *fullPool {
	settings := Settings{Issuer: "t", PieceTokens: simPieceTokens, UseForecast: true, RebuildTime: time.Nanosecond, Lease: time.Hour, QueueLimit: queueLimit}
	f := &fullPool{t: t, now: time.Unix(1000, 0)}
	f.placer = New(f.now, settings)
	f.placer.Configure(settings, []Engine{
		{Member: "p", Role: identifier.Prefill, Pieces: 1, PrefillRate: 50_000, LinkRate: 1e12},
		{Member: "d", Role: identifier.Decode, Pieces: 40, PrefillRate: 50_000, LinkRate: 1e12, Slots: 32},
	})
	f.placer.averageTokenTime = time.Millisecond
	f.now = f.now.Add(time.Second)
	f.submit(f.demand("running", 0))
	f.advance(0)
	return f
}

// demand returns a demand that fits into the empty engine alone. Its output takes two seconds.
func (f *fullPool) demand(name identifier.Request, key uint64) Demand {
	return Demand{
		Request: name, Attempt: 1, Node: "n", Prompt: 6000, MaxOutput: 2000, OutputHint: 2000, RetryKey: key,
		FirstTokenBudget: simFirstTokenTarget, QueueTimeout: simQueueTimeout, NoResume: true,
	}
}

func (f *fullPool) submit(d Demand) {
	f.placer.Submit(f.now, d)
}

// advance renews the running request, which doesn't end, and returns the refused requests.
func (f *fullPool) advance(by time.Duration) map[identifier.Request]*Refusal {
	refused := map[identifier.Request]*Refusal{}
	for end := f.now.Add(by); ; f.now = f.now.Add(10 * time.Millisecond) {
		for _, h := range f.placer.HeldGrants() {
			f.placer.Renew(f.now, HeldGrant{Grant: h.Grant, Output: 1, Decoding: true}, false)
			f.placer.grants[h.Grant].progressAt = f.now
		}
		f.placer.Advance(f.now)
		decisions, _ := f.placer.TakeDecisions()
		for _, d := range decisions {
			if d.Outcome.Refusal != nil {
				refused[d.Request] = d.Outcome.Refusal
			}
		}
		if !f.now.Before(end) {
			return refused
		}
	}
}

// refuse makes the caller with the key one that has been refused.
func (f *fullPool) refuse(key uint64) {
	name := identifier.Request(fmt.Sprint("first-", key))
	f.submit(f.demand(name, key))
	if f.advance(time.Second)[name] == nil {
		f.t.Fatal("the first attempt was not refused")
	}
}

// TestRetryWaitsAsLongAsItsCaller guards against a second refusal while the caller of a retry
// still has the time to wait: retries used to be refused after three seconds.
func TestRetryWaitsAsLongAsItsCaller(t *testing.T) {
	for name, c := range map[string]struct {
		timeLeft      time.Duration
		waits, ending time.Duration
	}{
		"long time left":        {10 * time.Second, 7 * time.Second, 8200 * time.Millisecond},
		"bounded":               {time.Minute, maxRetryQueueTime - 100*time.Millisecond, maxRetryQueueTime + 100*time.Millisecond},
		"short time left":       {4 * time.Second, 1200 * time.Millisecond, 2100 * time.Millisecond},
		"unknown time left":     {0, retryQueueTime - 200*time.Millisecond, retryQueueTime + 100*time.Millisecond},
		"shorter than the run":  {time.Second, 0, 0},
		"shorter than a prompt": {time.Millisecond, 0, 0},
	} {
		f := newFullPool(t, 0)
		f.refuse(1)
		d := f.demand("again", 1)
		d.TimeLeft = c.timeLeft
		f.submit(d)
		if c.waits > 0 && f.advance(c.waits)["again"] != nil {
			t.Errorf("%s: refused before %v", name, c.waits)
		}
		if refused := f.advance(c.ending - c.waits)["again"]; refused == nil || !refused.Cause.IsRetry {
			t.Errorf("%s: not refused after %v: %+v", name, c.ending, refused)
		}
	}
}

// TestRepeatsDontFillQueue guards against first attempts that are refused because repeats, which
// wait for seconds, have filled the queue.
func TestRepeatsDontFillQueue(t *testing.T) {
	const limit = 3
	f := newFullPool(t, limit)
	for key := range uint64(limit) {
		f.refuse(key + 1)
	}
	for key := range uint64(limit) {
		d := f.demand(identifier.Request(fmt.Sprint("again-", key+1)), key+1)
		d.TimeLeft = 10 * time.Second
		f.submit(d)
	}
	f.submit(f.demand("new", 9))
	refused := f.advance(0)
	if refused["new"] != nil || len(refused) != 1 {
		t.Errorf("refused %v", refused)
	}
}

// TestRepeatsLetLesserFirstAttemptsPass guards against an urgent repeat that waits for memory and
// holds up the first attempts of lesser ranks meanwhile, which can still be on time.
func TestRepeatsLetLesserFirstAttemptsPass(t *testing.T) {
	f := newFullPool(t, 0)
	f.refuse(1)
	again := f.demand("again", 1)
	again.TimeLeft = 10 * time.Second
	f.submit(again)
	f.advance(20 * time.Millisecond)
	small := f.demand("small", 2)
	small.Rank, small.Prompt, small.OutputHint, small.MaxOutput = identifier.Normal, 200, 50, 50
	f.submit(small)
	f.advance(20 * time.Millisecond)
	if f.placer.latestGrants["small"] == nil || f.placer.latestGrants["again"] != nil {
		t.Error("a lesser first attempt that fits waits behind an urgent repeat that doesn't")
	}
}

// TestRetryAvoidsEngineTooSlowForIt guards against a repeat that is given to an engine which
// can't end it before its caller stops waiting.
func TestRetryAvoidsEngineTooSlowForIt(t *testing.T) {
	f := newFullPool(t, 0)
	e := f.placer.engines["d"]
	w := &waitingDemand{demand: f.demand("again", 1), answerBy: f.now.Add(3 * time.Second)}
	if !f.placer.endsInTime(w, e, f.now) {
		t.Error("an engine that ends the request in time is not used")
	}
	e.tokenTime = 3 * time.Millisecond
	if f.placer.endsInTime(w, e, f.now) {
		t.Error("an engine three times as slow is used")
	}
}

// TestBurstWhoseCallersReturn has the callers that a burst of 2.1 times refused return. With a flat wait of
// three seconds and a refusal at once during the burst, two thirds of them were refused again.
func TestBurstWhoseCallersReturn(t *testing.T) {
	var sum scarceCounts
	for _, seed := range scarceSeeds {
		s := newScarcePool(returningLoad(), seed)
		s.run()
		sum.add(s.total())
	}
	if sum.refusedAgain*100 > sum.refused*55 || sum.onTimeShare() < 0.955 {
		t.Errorf("%s", sum)
	}
}

// TestRetryLeavesBeforeItsCaller guards against a retry that is kept in the queue although its
// caller leaves a stream without a first token sooner than its deadline says: the caller gets
// neither an answer nor a refusal.
func TestRetryLeavesBeforeItsCaller(t *testing.T) {
	p, now := New(time.Unix(0, 0), Settings{UseForecast: true}), time.Unix(0, 0)
	for _, patience := range []time.Duration{0, 3 * time.Second} {
		w := &waitingDemand{demand: Demand{Prompt: 1000, TimeLeft: 20 * time.Second, FirstTokenTimeLeft: patience}}
		p.limitRetryWait(now, w)
		if want := patience - abandonMargin; patience > 0 && w.maxWait > want || patience == 0 && w.maxWait != maxRetryQueueTime {
			t.Errorf("a caller that waits %v for its first token: the retry waits %v", patience, w.maxWait)
		}
	}
}
