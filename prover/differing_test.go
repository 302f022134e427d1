package prover

import (
	"testing"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// differingFaults are faults with engines that generate different tokens after the
// same text, as real engines do that batch differently.
var differingFaults = []struct {
	name   string
	inject func(r *modelRequest)
	// mayBeLost allows a refusal that reports the stream as lost: no node or engine
	// still knows the tokens that the caller has.
	mayBeLost bool
}{
	{"engines-differ-decode-crash", func(r *modelRequest) { r.f.crashBusiestEngine(identifier.Decode) }, false},
	{"engines-differ-node-killed", func(r *modelRequest) { r.f.kill(r.entry.name) }, false},
	{"engines-differ-node-killed-then-decode-crash", func(r *modelRequest) {
		have := r.receivedTokens()
		r.f.kill(r.entry.name)
		r.f.waitFor("the caller's return", func() bool { return r.receivedTokens() >= have+10 })
		r.f.crashBusiestEngine(identifier.Decode)
	}, false},
	{"engines-differ-node-killed-and-decode-crash", func(r *modelRequest) {
		r.f.kill(r.entry.name)
		r.f.crashBusiestEngine(identifier.Decode)
	}, true},
}

func init() {
	size := smallShape
	size.differing = true
	for _, fault := range differingFaults {
		addCellWithShape(size, "whole-answer", fault.name, "mid-stream", func(t *testing.T, f *fleet) {
			r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 200})
			f.waitFor("mid-stream", func() bool { return r.receivedTokens() >= 20 })
			fault.inject(r)
			r.checkContinuity(t, fault.mayBeLost)
		})
	}
}

// checkContinuity waits until the caller is done. It asserts that an engine generated
// each token after exactly the text before it, and that the answer is whole or lost.
func (r *modelRequest) checkContinuity(t *testing.T, mayBeLost bool) {
	t.Helper()
	r.f.waitFor("the caller's end", r.hasEnded)
	text := r.request.prompt
	for i, token := range r.result.tokens {
		if !r.f.canGenerate(text, token) {
			t.Fatalf("token %d does not follow from the text before it on any engine", i+1)
		}
		text += token
	}
	lost := mayBeLost && r.result.outcome == "unknown" && r.result.reason == "stream-lost"
	if whole := r.result.whole && len(r.result.tokens) == r.request.tokens; !whole && !lost {
		t.Errorf("got %d tokens, refusal %q %q", len(r.result.tokens), r.result.outcome, r.result.reason)
	}
	r.f.checkMemoryFreed(t)
}

// canGenerate reports whether some engine generates token after text.
func (f *fleet) canGenerate(text, token string) bool {
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
