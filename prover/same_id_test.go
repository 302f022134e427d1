package prover

import (
	"sync"
	"testing"
	"time"
)

func init() {
	addCell("whole-answer", "same-id-of-another", "mid-stream", checkSameRequestID)
}

// checkSameRequestID sends different requests of two accounts with the same request
// id. Each caller must get the answer to its own request.
func checkSameRequestID(t *testing.T, f *fleet) {
	var group sync.WaitGroup
	for i, account := range []string{"audits", "workshop"} {
		request := completion{id: "1", account: account, prompt: longPrompt + account, tokens: 60}
		group.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Second)
			got := f.complete(t.Context(), f.running()[i], request, nil)
			if !got.whole || got.text() != expectedText(request) {
				t.Errorf("%s got %d tokens, whole %v, %q %q", account, len(got.tokens), got.whole, got.outcome, got.reason)
			}
		})
	}
	group.Wait()
	f.checkMemoryFreed(t)
}
