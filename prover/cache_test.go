package prover

import (
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// cacheBlocks lets each of the two engines cache two of the long prompts.
	cacheBlocks = 16
	// cacheRounds is how often the four prompts are repeated.
	cacheRounds = 2
	// repeatPause follows each prompt; a cache hint without events expires sooner.
	repeatPause = 20 * time.Second
)

// cacheCases are ways to publish cache events, and a fault for each.
var cacheCases = []struct {
	name   string
	events emulator.PrefixCache
	// percent bounds the tokens computed, relative to a run without events.
	percent int
	inject  func(t *testing.T, f *fleet)
}{
	{"in-order", emulator.PrefixCache{}, 20, func(*testing.T, *fleet) {}},
	{"late", emulator.PrefixCache{Lag: 3 * time.Second}, 20, func(*testing.T, *fleet) {}},
	{"lost", emulator.PrefixCache{Lag: time.Second, LoseEvery: 2}, 60, func(*testing.T, *fleet) {}},
	{"owner-killed", emulator.PrefixCache{Lag: time.Second}, 20, func(_ *testing.T, f *fleet) {
		f.kill(string(f.node("node-1").server.View().Owner(placementShard).Node))
	}},
	{"engines-restarted", emulator.PrefixCache{Lag: time.Second}, 20, func(t *testing.T, f *fleet) {
		for _, name := range []string{"prefill-1", "prefill-2"} {
			f.engines[name].Crash()
			time.Sleep(time.Second)
			f.engines[name].Restart()
		}
		time.Sleep(repeatPause)
		f.fillCaches(t)
	}},
}

// TestRepeatedPromptsReachTheirCache checks that repeated prompts go to the engine that
// cached their prefix, so fewer tokens are computed than without cache events.
func TestRepeatedPromptsReachTheirCache(t *testing.T) {
	for _, c := range cacheCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			on, off := c.events, c.events
			on.Blocks, off.Blocks, off.Silent = cacheBlocks, cacheBlocks, true
			prompts, with := repeatPrompts(t, on, c.inject)
			_, without := repeatPrompts(t, off, c.inject)
			t.Logf("prompt tokens computed: %d with events, %d without, of %d", with, without, prompts)
			if without == 0 || 100*with > c.percent*without {
				t.Errorf("computed %d of %d prompt tokens with cache events, %d without", with, prompts, without)
			}
		})
	}
}

// repeatPrompts sends four long prompts, injects the fault, then repeats them. It
// returns the prompt tokens of the repeats and how many of them were computed.
func repeatPrompts(t *testing.T, events emulator.PrefixCache, inject func(t *testing.T, f *fleet)) (prompts, computed int) {
	t.Helper()
	runWithFleet(t, smallShape, func(t *testing.T, f *fleet) {
		for _, engine := range f.engines {
			engine.SetPrefixCache(events)
		}
		f.fillCaches(t)
		inject(t, f)
		time.Sleep(time.Minute)
		beforePrompts, beforeComputed := f.promptTokens()
		for range cacheRounds {
			for _, prompt := range []string{"A", "B", "C", "D"} {
				f.startAll(t, []string{prompt})
				time.Sleep(repeatPause)
			}
		}
		afterPrompts, afterComputed := f.promptTokens()
		prompts, computed = afterPrompts-beforePrompts, afterComputed-beforeComputed
	})
	return prompts, computed
}

// fillCaches sends the prompts two at a time, so that each engine gets two.
func (f *fleet) fillCaches(t *testing.T) {
	t.Helper()
	for _, pair := range []string{"AB", "CD"} {
		f.startAll(t, strings.Split(pair, ""))
		time.Sleep(repeatPause)
	}
}

// promptTokens returns the prompt tokens received and computed by all engines.
func (f *fleet) promptTokens() (prompts, computed int) {
	for _, engine := range f.engines {
		counts := engine.Counts()
		prompts += counts.PromptTokens
		computed += counts.ComputedTokens
	}
	return prompts, computed
}

// startAll sends long prompts with different prefixes concurrently and waits for
// their first tokens.
func (f *fleet) startAll(t *testing.T, beginnings []string) {
	t.Helper()
	started := make(chan bool, len(beginnings))
	for _, beginning := range beginnings {
		go func() { started <- f.sendUntilFirstToken(beginning+longPrompt, 1) }()
		// The pause makes the requests arrive in order.
		time.Sleep(50 * time.Millisecond)
	}
	for range beginnings {
		if !<-started {
			t.Error("a request was not answered")
		}
	}
}
