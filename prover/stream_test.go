package prover

import (
	"context"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

func init() {
	add("whole-answer", "node-killed", "mid-stream", func(t *testing.T, f *fleet) {
		f.resumeAfter(t, func(f *fleet) { f.kill("node-1") })
	})
	add("whole-answer", "streams-break", "mid-stream", func(t *testing.T, f *fleet) {
		r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 60})
		f.waitFor("mid-stream", func() bool { return r.received() >= 20 })
		f.holding(identifier.Decode).BreakStreams()
		r.check(t)
		if r.parts != 1 {
			t.Errorf("the answer took %d connections", r.parts)
		}
	})
	add("whole-answer", "closing-event-lost", "finish", func(t *testing.T, f *fleet) {
		for _, engine := range f.engines {
			engine.CutEnds(5)
		}
		r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 20})
		r.check(t)
		if r.parts != 1 || f.total().Decodes != 1 {
			t.Errorf("the answer took %d connections and %d decodes", r.parts, f.total().Decodes)
		}
	})
}

// longReport is a request whose answer takes some seconds.
var longReport = completion{id: "report-1", prompt: "long humidity log of case 17", tokens: 80}

// resumeAfter breaks the path in mid-stream, and comes back through another
// node for the rest: the two parts make the whole answer, and memory is freed.
func (f *fleet) resumeAfter(t *testing.T, breakPath func(f *fleet)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := f.complete(ctx, f.node("node-1"), longReport, func(offset int) {
		if offset == 20 {
			breakPath(f)
		}
	})
	rest := longReport
	rest.after = len(first.tokens)
	second := f.comeBack(t, f.node("node-2"), rest)
	if got := first.text() + second.text(); got != expected(longReport) || !second.whole {
		t.Errorf("got %d and %d tokens (%+v), want the whole answer", len(first.tokens), len(second.tokens), second)
	}
	f.freed(t)
}

// comeBack sends a request again, as a caller does, while it is refused.
func (f *fleet) comeBack(t *testing.T, n *node, c completion) answer {
	t.Helper()
	for range 20 {
		got := f.complete(t.Context(), n, c, nil)
		if got.whole || len(got.tokens) > 0 {
			return got
		}
		time.Sleep(time.Second)
	}
	t.Errorf("%s was never answered", c.id)
	return answer{}
}

// freed waits for every lease to lapse and checks that no memory is held.
func (f *fleet) freed(t *testing.T) {
	t.Helper()
	time.Sleep(settle)
	if held := f.held(); held != 0 {
		t.Errorf("%d pieces of engine memory are held by nobody", held)
	}
}
