package prover

import (
	"context"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

func init() {
	addCell("whole-answer", "node-killed", "mid-stream", func(t *testing.T, f *fleet) {
		f.checkResume(t, func(f *fleet) { f.kill("node-1") })
	})
	addCell("whole-answer", "streams-break", "mid-stream", func(t *testing.T, f *fleet) {
		r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 60})
		f.waitFor("mid-stream", func() bool { return r.receivedTokens() >= 20 })
		f.busiestEngine(identifier.Decode).BreakStreams()
		r.check(t)
		if r.connections != 1 {
			t.Errorf("the answer took %d connections", r.connections)
		}
	})
	addCell("whole-answer", "closing-event-lost", "finish", func(t *testing.T, f *fleet) {
		for _, engine := range f.engines {
			engine.CutEnds(5)
		}
		r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 20})
		r.check(t)
		if r.connections != 1 || f.totalCounts().Decodes != 1 {
			t.Errorf("the answer took %d connections and %d decodes", r.connections, f.totalCounts().Decodes)
		}
	})
}

// longReport is a request whose answer takes several seconds.
var longReport = completion{id: "report-1", prompt: "long humidity log of case 17", tokens: 80}

// checkResume breaks the path in mid-stream and requests the remaining tokens through
// another node. Both parts must form the whole answer, and memory must be freed.
func (f *fleet) checkResume(t *testing.T, breakPath func(f *fleet)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := f.complete(ctx, f.node("node-1"), longReport, func(offset int) {
		if offset == 20 {
			breakPath(f)
		}
	})
	rest := longReport
	rest.receivedTokens = len(first.tokens)
	second := f.retryRequest(t, f.node("node-2"), rest)
	if got := first.text() + second.text(); got != expectedText(longReport) || !second.whole {
		t.Errorf("got %d and %d tokens (%+v), want the whole answer", len(first.tokens), len(second.tokens), second)
	}
	f.checkMemoryFreed(t)
}

// retryRequest sends a request up to 20 times, until tokens arrive.
func (f *fleet) retryRequest(t *testing.T, n *node, c completion) answer {
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

// checkMemoryFreed waits until every lease has expired and checks that no engine memory is in use.
func (f *fleet) checkMemoryFreed(t *testing.T) {
	t.Helper()
	time.Sleep(settleTime)
	if held := f.piecesInUse(); held != 0 {
		t.Errorf("%d pieces of engine memory were not freed", held)
	}
}
