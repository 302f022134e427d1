package prover

import (
	"context"
	"testing"
	"time"
)

func init() {
	add("whole-answer", "node-killed", "mid-stream", func(t *testing.T, f *fleet) {
		f.resumeAfter(t, func(f *fleet) { f.kill("node-1") })
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
