package placer

import (
	"math"
	"time"
)

// A decode engine can read a prompt itself, which is called a local prefill here. It is
// slow, runs between the tokens of the engine's streams, and pauses them for about as
// long. When prompts queue for prefill engines while decode engines have room, local
// prefills serve requests that would otherwise be refused. They are used only where the
// streams of the engine can bear the pause.

const (
	// maxLocalPrefillPeakUse is the highest forecast peak use at which an engine still
	// gets a local prefill. The engine's streams pause meanwhile and hold memory longer.
	maxLocalPrefillPeakUse = 0.85
	// localPrefillMargin is how much of the longest bearable pause is left unused.
	localPrefillMargin = 40 * time.Millisecond
	// localPrefillGapEvents is the time between two local prefills on one engine, in
	// stream events. Without the gap both pauses would delay the same event.
	localPrefillGapEvents = 1.5
)

// planLocalPrefill plans a local prefill on the decode engine with the lowest forecast
// peak use. It returns nil if no engine can take the demand in time.
func (p *Placer) planLocalPrefill(now time.Time, w *waitingDemand) (*engine, prefillPlan) {
	if p.settings.LocalPrefillRatio <= 0 || w.isRetry && len(p.prefills) > 0 {
		return nil, prefillPlan{}
	}
	var best *engine
	var plan prefillPlan
	lowestPeak := math.Inf(1)
	for _, e := range p.decodes {
		if now.Before(e.noLocalPrefillUntil) || !e.accepts(now, &w.demand) {
			continue
		}
		prefillTime := timeAtRate(float64(w.demand.Prompt), float64(e.configuredPrefillRate())*p.settings.LocalPrefillRatio)
		ready := now.Add(prefillTime)
		if prefillTime > p.maxLocalPrefillTime(w, e) || ready.Add(p.firstTokenDelay()).After(w.deadline) {
			continue
		}
		peak := p.peakUse(now, w, e, ready)
		if peak > maxLocalPrefillPeakUse {
			continue
		}
		if peak -= e.probePreference(now, &w.demand).Seconds(); peak < lowestPeak {
			best, lowestPeak = e, peak
			plan = prefillPlan{begin: now, end: ready, ready: ready}
		}
	}
	return best, plan
}

// maxLocalPrefillTime returns how long the engine's streams can pause without missing the
// target between tokens.
func (p *Placer) maxLocalPrefillTime(w *waitingDemand, e *engine) time.Duration {
	if w.demand.MaxTokenInterval <= 0 {
		return 0
	}
	return w.demand.MaxTokenInterval - p.eventTime(e) - localPrefillMargin
}

// eventTime returns how long an engine takes to generate the tokens of one stream event.
func (p *Placer) eventTime(e *engine) time.Duration {
	return time.Duration(p.settings.TokensPerStreamEvent) * p.tokenTimeOf(e)
}

// grantLocalPrefill grants a demand as a local prefill if an engine can take it in time.
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
