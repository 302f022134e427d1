package placer

import (
	"slices"
	"time"
)

// The engines of a pool differ in speed, and some become slow. An engine's prefill rate is
// learned from batches of prefills: the tokens that a batch has, divided by the time in which at
// least one of its prefills was on the engine. That time has no idle parts and counts none twice,
// in whatever order the engine computes them. The time of a single prefill says little, as it
// includes the wait for others.

const (
	// prefillRateWeight is the weight of one measurement in the learned rate.
	prefillRateWeight = 0.25
	// minRateRatio and maxRateRatio limit a measured rate relative to the configured one,
	// because a prefill that was cut short or delayed says nothing about the engine. Engines of
	// one pool are up to 1.7 times as fast as the configured one.
	minRateRatio = 0.05
	maxRateRatio = 2
	// maxRateGrowth limits a measured rate relative to the learned one. A prompt that an engine
	// has cached without the owner's knowledge takes next to no time; one such prompt must not
	// make the engine look fast.
	maxRateGrowth = 1.5
	// minMeasuredPrefill is the smallest batch, in tokens, that the rate is learned
	// from. In smaller ones the time to reach the engine dominates.
	minMeasuredPrefill = 512
	// prefillOverhead is the round trip to an engine and the setup of a prefill.
	prefillOverhead = 4 * time.Millisecond
	// maxPrefillBatch is the largest number of prefills in a batch. Nodes report the times up to
	// a second late, and a busy engine would never come to the end of a larger one.
	maxPrefillBatch = 8
)

// prefillBatch is a number of prefills granted to one engine one after the other.
type prefillBatch struct {
	members int
	// spans are the times of the members that were reported.
	spans []prefillSpan
	// broken reports that the time of a member will never be known.
	broken bool
}

// prefillSpan is the time in which a prefill was on its engine.
type prefillSpan struct {
	from, until time.Time
	tokens      float64
}

// joinPrefillBatch adds a new grant to the batch of its prefill engine.
func (e *engine) joinPrefillBatch(g *grant) {
	if e.prefillBatch == nil || e.prefillBatch.members >= maxPrefillBatch {
		e.prefillBatch = &prefillBatch{}
	}
	e.prefillBatch.members++
	g.prefillBatch = e.prefillBatch
}

// learnPrefillRate records a grant's prefill time once, and learns the engine's rate if that
// completes the batch.
func (g *grant) learnPrefillRate(took time.Duration) {
	if took <= 0 || g.PrefillTime > 0 {
		return
	}
	g.PrefillTime = took
	b, e := g.prefillBatch, g.prefill
	if b == nil || e == nil {
		return
	}
	g.prefillBatch = nil
	b.spans = append(b.spans, prefillSpan{g.grantedAt, g.grantedAt.Add(took), float64(g.uncachedPrompt)})
	if b.broken || len(b.spans) < b.members {
		return
	}
	e.closePrefillBatch(b)
	e.learnFromBatch(b)
}

// breakPrefillBatch is called when a grant ends. Without the time of its prefill the engine's work
// during the batch is unknown.
func (g *grant) breakPrefillBatch() {
	if g.prefillBatch == nil || g.prefill == nil {
		return
	}
	g.prefillBatch.broken = true
	g.prefill.closePrefillBatch(g.prefillBatch)
	g.prefillBatch = nil
}

func (e *engine) closePrefillBatch(b *prefillBatch) {
	if e.prefillBatch == b {
		e.prefillBatch = nil
	}
}

func (e *engine) learnFromBatch(b *prefillBatch) {
	tokens, busy := 0.0, time.Duration(0)
	slices.SortFunc(b.spans, func(a, b prefillSpan) int { return a.from.Compare(b.from) })
	// Until the end of the batch before, the engine may have computed that.
	until := e.prefillsMeasuredUntil
	for _, span := range b.spans {
		tokens += span.tokens
		if span.from.After(until) {
			busy -= prefillOverhead
		}
		if span.until.After(until) {
			busy += span.until.Sub(laterOf(span.from, until))
			until = span.until
		}
	}
	e.prefillsMeasuredUntil = until
	if tokens < minMeasuredPrefill {
		return
	}
	configured := float64(e.configuredPrefillRate())
	if e.learnedPrefillRate == 0 {
		e.learnedPrefillRate = configured
	}
	measured := tokens / max(busy, time.Millisecond).Seconds()
	measured = min(max(measured, minRateRatio*configured), maxRateRatio*configured, maxRateGrowth*e.learnedPrefillRate)
	e.learnedPrefillRate += (measured - e.learnedPrefillRate) * prefillRateWeight
}
