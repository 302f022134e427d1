package forwarder

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/limiter"

	"pgregory.net/rapid"
)

// TestEventCounterOverSplitReads checks that events split across reads are counted once.
func TestEventCounterOverSplitReads(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(r, "newline")
		lines := rapid.SliceOf(rapid.IntRange(1, 3)).Draw(r, "lines of each event")
		var text strings.Builder
		for _, count := range lines {
			text.WriteString(strings.Repeat("data: x"+newline, count) + newline)
		}
		counter := eventCounter{}
		for rest := text.String(); rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(r, "piece")
			counter.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if counter.count != len(lines) {
			r.Fatalf("%d events of %q", counter.count, text.String())
		}
	})
}

// TestCommentsAreNoEvents guards against a stream that is taken for begun because its engine
// keeps the connection open with comments.
func TestCommentsAreNoEvents(t *testing.T) {
	for text, want := range map[string]int{
		": ping\n\n": 0, ":\n\n:\n\n": 0, ": ping\n\ndata: x\n\n": 1, ": ping\ndata: x\n\n": 1, "data: x\n: ping\n\n": 1, "data::\n\n": 1,
	} {
		counter := eventCounter{}
		counter.add([]byte(text))
		if counter.count != want || counter.insideEvent() {
			t.Errorf("%q: %d events, inside one: %v", text, counter.count, counter.insideEvent())
		}
	}
}

// TestSlowCallerLosesItsAnswer guards against callers that read slowly and keep the memory that
// other answers need, and against back ends that count as faulty because a caller did not read.
func TestSlowCallerLosesItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := limiter.NewMemory(limiter.MemoryOptions{Limit: 200_000})
		newReply := func() *Reply {
			c := &call{answers: memory.NewLease(), request: &Request{}}
			if !c.answers.Grow(100_000) {
				t.Fatal("no room for an answer")
			}
			return &Reply{call: c}
		}
		slow, quick := newReply(), newReply()
		yielded := false
		slow.AwaitCaller(func() { yielded = true })
		for range 4 {
			quick.AwaitCaller(func() { t.Error("a caller that reads lost its answer") })
			time.Sleep(heldUpAfter / 4)
			if !quick.EndAwaitCaller() {
				t.Fatal("a caller that reads lost its answer")
			}
		}
		if yielded {
			t.Error("a slow caller lost its answer while nobody needed the memory")
		}
		newReply()
		if !yielded || slow.EndAwaitCaller() {
			t.Errorf("a slow caller kept its answer; yielded: %v", yielded)
		}
		if now := time.Now(); !slow.isHeldUp(now) || quick.isHeldUp(now) || slow.isHeldUp(now.Add(heldUpFor)) {
			t.Error("the slow caller, and only it, has held its answer up for a while")
		}
	})
}
