package placer

import (
	"time"
)

// Engines of one pool differ in speed, and some turn slow. A prefill that had its
// engine to itself tells the engine's rate; the times of others hold their queueing.

const (
	// prefillRateWeight is the weight of one measurement in an engine's learned rate.
	prefillRateWeight = 0.25
	// minRateRatio and mostRate bound a learned rate as parts of the configured one: a
	// prefill that was cut short or held up tells nothing of the engine.
	minRateRatio = 0.05
	maxRateRatio = 1.25
	// minMeasuredPrefill is the shortest prefill, in tokens, whose time is worth more than
	// the way to the engine.
	minMeasuredPrefill = 512
	// prefillOverhead is the time to an engine and back, with its setup.
	prefillOverhead = 4 * time.Millisecond
)

// startsAlone tells whether a prefill that is granted now has the engine to itself.
// One that was alone before is not any more.
func (e *engine) startsAlone(now time.Time) bool {
	if !e.prefillBusyUntil.After(now) {
		return true
	}
	if e.solePrefill != nil {
		e.solePrefill.ranAlone = false
		e.solePrefill = nil
	}
	return false
}

// learnPrefillRate learns the engine's rate from the time of a prefill.
func (g *grant) learnPrefillRate(took time.Duration) {
	if took <= 0 || g.PrefillTook > 0 {
		return
	}
	g.PrefillTook = took
	e := g.prefill
	if e == nil || !g.ranAlone || g.uncachedPrompt < minMeasuredPrefill {
		return
	}
	configured := float64(e.configuredPrefillRate())
	measured := float64(g.uncachedPrompt) / max(took-prefillOverhead, time.Millisecond).Seconds()
	measured = min(max(measured, minRateRatio*configured), maxRateRatio*configured)
	if e.learnedPrefillRate == 0 {
		e.learnedPrefillRate = configured
	}
	e.learnedPrefillRate += (measured - e.learnedPrefillRate) * prefillRateWeight
}
