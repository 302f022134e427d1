package prover

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

func init() {
	addCellWithShape(shape{nodes: 3, prefills: 2, decodes: 1, services: 1}, "whole-answer", "urgent-flood", "mid-stream", urgentFlood)
}

// urgentFlood fills an engine with lesser requests, then with urgent ones. Lesser
// streams may be paused, but must resume and complete on their first connections;
// a paused stream must not be mistaken for an engine crash.
func urgentFlood(t *testing.T, f *fleet) {
	var group sync.WaitGroup
	send := func(rank string, i int, account string) {
		request := completion{
			id: fmt.Sprintf("%s-%d", rank, i), account: account,
			prompt: fmt.Sprintf("%s %s %d", longPrompt, rank, i), tokens: 120,
		}
		group.Go(func() {
			got := f.complete(t.Context(), f.running()[i%3], request, nil)
			refused := got.outcome == "not-run" && len(got.tokens) == 0
			if !refused && (!got.whole || got.text() != expectedText(request)) {
				t.Errorf("%s: %d tokens, whole %v, %q %q", request.id, len(got.tokens), got.whole, got.outcome, got.reason)
			}
		})
	}
	for i := range 3 {
		send("lesser", i, "")
	}
	time.Sleep(3 * time.Second)
	for i := range 6 {
		send("urgent", i, "audits")
	}
	group.Wait()
	f.checkMemoryFreed(t)
}
