package placer

import (
	"math"
	"time"
)

// A decode engine can read a prompt itself, slowly and between the tokens of its
// streams, which pause for about as long. Where prompts wait for prefill engines while
// decode engines have room, that serves requests that would be refused; where the
// streams of an engine could not bear the pause, it does not.

const (
	// maxLocalPrefillPeakUse is the part of an engine up to which it reads prompts itself: its
	// streams run on for longer, and hold their memory meanwhile.
	maxLocalPrefillPeakUse = 0.85
	// localPrefillMargin is left of the pause that a stream may have.
	localPrefillMargin = 40 * time.Millisecond
	// localPrefillGapEvents is the time between two such prompts at one engine, in events: the
	// pauses of both would otherwise fall into one event.
	localPrefillGapEvents = 1.5
)

// planLocalPrefill plans to have the best decode engine read a demand's prompt itself. It
// returns nil where none may.
func (p *Placer) planLocalPrefill(now time.Time, w *waitingDemand) (*engine, prefillPlan) {
	if p.settings.DirectRate <= 0 || w.isRetry && len(p.prefills) > 0 {
		return nil, prefillPlan{}
	}
	var best *engine
	var plan prefillPlan
	lowestPeak := math.Inf(1)
	for _, e := range p.decodes {
		if now.Before(e.noLocalPrefillUntil) || !e.accepts(now, &w.demand) {
			continue
		}
		prefillTime := timeAtRate(float64(w.demand.Prompt), float64(e.configuredPrefillRate())*p.settings.DirectRate)
		ready := now.Add(prefillTime)
		if prefillTime > p.maxLocalPrefillTime(w, e) || ready.Add(p.firstTokenDelay()).After(w.deadline) {
			continue
		}
		if peak := p.peakUse(now, w, e, ready); peak <= maxLocalPrefillPeakUse && peak < lowestPeak {
			best, lowestPeak = e, peak
			plan = prefillPlan{begin: now, end: ready, ready: ready}
		}
	}
	return best, plan
}

// maxLocalPrefillTime is the longest pause that an engine's streams can bear beside the time
// for an event.
func (p *Placer) maxLocalPrefillTime(w *waitingDemand, e *engine) time.Duration {
	if w.demand.Between <= 0 {
		return 0
	}
	return w.demand.Between - p.eventTime(e) - localPrefillMargin
}

// eventTime is how long an engine takes for an event.
func (p *Placer) eventTime(e *engine) time.Duration {
	return time.Duration(p.settings.EventTokens) * p.tokenTimeOf(e)
}

// grantLocalPrefill books a demand whose prompt its decode engine reads itself, if there is
// one that may.
func (p *Placer) grantLocalPrefill(now time.Time, w *waitingDemand) bool {
	e, plan := p.planLocalPrefill(now, w)
	if e == nil {
		return false
	}
	gap := time.Duration(float64(p.eventTime(e)) * localPrefillGapEvents)
	e.noLocalPrefillUntil = plan.end.Add(gap)
	p.grantDemand(now, w, plan, e)
	return true
}
