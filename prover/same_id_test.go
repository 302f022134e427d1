package prover

import (
	"sync"
	"testing"
	"time"
)

func init() {
	add("whole-answer", "same-id-of-another", "mid-stream", sameID)
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
