package prover

import (
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

func init() {
	add("whole-answer", "same-id-of-another", "mid-stream", sameID)
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

// sameID lets two callers choose the same request id for different requests:
// each gets the answer to its own.
func sameID(t *testing.T, f *fleet) {
	var group sync.WaitGroup
	for i, account := range []string{"audits", "workshop"} {
		request := completion{id: "1", account: account, prompt: longPrompt + account, tokens: 60}
		group.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Second)
			got := f.complete(t.Context(), f.running()[i], request, nil)
			if !got.whole || got.text() != expected(request) {
				t.Errorf("%s got %d tokens, whole %v, %q %q", account, len(got.tokens), got.whole, got.outcome, got.reason)
			}
		})
	}
	group.Wait()
	f.freed(t)
}
