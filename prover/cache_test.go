package prover

import (
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// cacheBlocks holds two of the long prompts on each of two engines.
	cacheBlocks = 16
	// cacheRounds is how often the four prompts come after the first time, a
	// prompt each repeatPause: later than a hint without events lives.
	cacheRounds = 2
	repeatPause = 20 * time.Second
)

// cacheCases are how the engines publish their cache events, and what strikes.
var cacheCases = []struct {
	name   string
	events emulator.PrefixCache
	// percent is the most that may be computed of what is without events.
	percent int
	strike  func(t *testing.T, f *fleet)
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

// Repeated long prompts reach the engine that has their beginning cached, so that
// less is computed than where the same engines publish no events.
func TestRepeatedPromptsReachTheirCache(t *testing.T) {
	for _, c := range cacheCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			on, off := c.events, c.events
			on.Blocks, off.Blocks, off.Silent = cacheBlocks, cacheBlocks, true
			prompts, with := repeatPrompts(t, on, c.strike)
			_, without := repeatPrompts(t, off, c.strike)
			t.Logf("prompt tokens computed: %d with events, %d without, of %d", with, without, prompts)
			if without == 0 || 100*with > c.percent*without {
				t.Errorf("computed %d of %d prompt tokens with cache events, %d without", with, prompts, without)
			}
		})
	}
}

// repeatPrompts sends four long prompts again and again, strikes after the first
// time, and returns the prompt tokens of the repeats and how many were computed.
func repeatPrompts(t *testing.T, events emulator.PrefixCache, strike func(t *testing.T, f *fleet)) (prompts, computed int) {
	t.Helper()
	run(t, smallShape, func(t *testing.T, f *fleet) {
		for _, engine := range f.engines {
			engine.SetPrefixCache(events)
		}
		f.fillCaches(t)
		strike(t, f)
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

// promptTokens sums the engines' prompts and what they computed of them.
func (f *fleet) promptTokens() (prompts, computed int) {
	for _, engine := range f.engines {
		counts := engine.Counts()
		prompts += counts.PromptTokens
		computed += counts.ComputedTokens
	}
	return prompts, computed
}

// startAll sends long prompts with different beginnings side by side and waits for
// their first tokens.
func (f *fleet) startAll(t *testing.T, beginnings []string) {
	t.Helper()
	started := make(chan bool, len(beginnings))
	for _, beginning := range beginnings {
		go func() { started <- f.start(beginning+longPrompt, 1) }()
		// They arrive in order.
		time.Sleep(50 * time.Millisecond)
	}
	for range beginnings {
		if !<-started {
			t.Error("a request was not answered")
		}
	}
}
