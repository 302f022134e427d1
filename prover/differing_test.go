package prover

import (
	"testing"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// differingFaults strike an answer of engines of which no two generate the same
// after the same text, as real ones do that batch differently.
var differingFaults = []struct {
	name   string
	strike func(r *trial)
	// lost allows that the caller is told that its answer is lost: the tokens
	// that it has are known to nobody else.
	lost bool
}{
	{"engines-differ-decode-crash", func(r *trial) { r.f.crashWhere(identifier.Decode) }, false},
	{"engines-differ-node-killed", func(r *trial) { r.f.kill(r.entry.name) }, false},
	{"engines-differ-node-killed-then-decode-crash", func(r *trial) {
		have := r.received()
		r.f.kill(r.entry.name)
		r.f.waitFor("the caller's return", func() bool { return r.received() >= have+10 })
		r.f.crashWhere(identifier.Decode)
	}, false},
	{"engines-differ-node-killed-and-decode-crash", func(r *trial) {
		r.f.kill(r.entry.name)
		r.f.crashWhere(identifier.Decode)
	}, true},
}

func init() {
	size := smallShape
	size.differing = true
	for _, fault := range differingFaults {
		addSized(size, "whole-answer", fault.name, "mid-stream", func(t *testing.T, f *fleet) {
			r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 200})
			f.waitFor("mid-stream", func() bool { return r.received() >= 20 })
			fault.strike(r)
			r.checkSpliceless(t, fault.lost)
		})
	}
}

// checkSpliceless waits for the caller's end: each token that it got was generated
// after just the text before it, and the answer is whole or, where allowed, lost.
func (r *trial) checkSpliceless(t *testing.T, mayBeLost bool) {
	t.Helper()
	r.f.waitFor("the caller's end", r.over)
	text := r.request.prompt
	for i, token := range r.result.tokens {
		if !r.f.generates(text, token) {
			t.Fatalf("token %d does not follow from the text before it on any engine", i+1)
		}
		text += token
	}
	lost := mayBeLost && r.result.outcome == "unknown" && r.result.reason == "stream-lost"
	if whole := r.result.whole && len(r.result.tokens) == r.request.tokens; !whole && !lost {
		t.Errorf("got %d tokens, refusal %q %q", len(r.result.tokens), r.result.outcome, r.result.reason)
	}
	r.f.freed(t)
}

// generates tells whether some engine goes on from a text with a token.
func (f *fleet) generates(text, token string) bool {
	if !f.differing {
		return emulator.Follows("", text, token)
	}
	for name := range f.engines {
		if emulator.Follows(name, text, token) {
			return true
		}
	}
	return false
}
