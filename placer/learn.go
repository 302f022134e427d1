package placer

import (
	"time"
)

// Engines of one pool differ in speed, and some turn slow. A prefill that had its
// engine to itself tells the engine's rate; the times of others hold their queueing.

const (
	// rateWeight is the weight of one measurement in an engine's learned rate.
	rateWeight = 0.25
	// leastRate and mostRate bound a learned rate as parts of the configured one: a
	// prefill that was cut short or held up tells nothing of the engine.
	leastRate = 0.05
	mostRate  = 1.25
	// leastComputed is the shortest prefill, in tokens, whose time is worth more than
	// the way to the engine.
	leastComputed = 512
	// prefillWay is the time to an engine and back, with its setup.
	prefillWay = 4 * time.Millisecond
)

// beginAlone tells whether a prefill that is granted now has the engine to itself.
// One that was alone before is not any more.
func (e *engine) beginAlone(now time.Time) bool {
	if !e.prefillUntil.After(now) {
		return true
	}
	if e.alone != nil {
		e.alone.apart = false
		e.alone = nil
	}
	return false
}

// notePrefill learns the engine's rate from the time of a prefill.
func (g *grant) notePrefill(took time.Duration) {
	if took <= 0 || g.PrefillTook > 0 {
		return
	}
	g.PrefillTook = took
	e := g.prefill
	if e == nil || !g.apart || g.computes < leastComputed {
		return
	}
	configured := float64(e.configuredRate())
	measured := float64(g.computes) / max(took-prefillWay, time.Millisecond).Seconds()
	measured = min(max(measured, leastRate*configured), mostRate*configured)
	if e.rate == 0 {
		e.rate = configured
	}
	e.rate += (measured - e.rate) * rateWeight
}
