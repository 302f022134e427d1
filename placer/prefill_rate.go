package placer

import (
	"time"
)

// The engines of a pool differ in speed, and some become slow. An engine's prefill rate
// is learned only from prefills that had the engine to themselves, because the times of
// shared prefills include queueing.

const (
	// prefillRateWeight is the weight of one measurement in the learned rate.
	prefillRateWeight = 0.25
	// minRateRatio and maxRateRatio limit a measured rate relative to the configured one,
	// because a prefill that was cut short or delayed says nothing about the engine.
	minRateRatio = 0.05
	maxRateRatio = 1.25
	// minMeasuredPrefill is the shortest prefill, in tokens, that the rate is learned
	// from. In shorter prefills the time to reach the engine dominates.
	minMeasuredPrefill = 512
	// prefillOverhead is the round trip to an engine and the setup of a prefill.
	prefillOverhead = 4 * time.Millisecond
)

// startsAlone reports whether a prefill that is granted now has the engine to itself. If
// not, solePrefill is marked as sharing the engine.
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

// learnPrefillRate records a grant's prefill time once and learns the engine's rate.
func (g *grant) learnPrefillRate(took time.Duration) {
	if took <= 0 || g.PrefillTime > 0 {
		return
	}
	g.PrefillTime = took
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
