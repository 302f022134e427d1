package forwarder

import (
	"strings"
	"testing"

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
