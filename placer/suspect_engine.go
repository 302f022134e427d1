package placer

import (
	"time"
)

// Some engines accept work and don't do it while their health checks succeed: a prefill
// engine whose prompts are gone before a decode engine fetches them, or a decode engine that
// never begins a stream. Each node sees one such request now and then; the owner sees all,
// and stops granting the engine for FailureCooldown. It never does so for more than a part of
// a role's engines, because a fault that all share, such as a slow network, is not theirs.

const (
	// maxAvoidedShare is the largest part of a role's engines in cooldown for which another
	// one is avoided.
	maxAvoidedShare = 0.25
	// handOverWindow is how many prompts the share of unused ones of an engine covers.
	handOverWindow = 8
	// minHandOvers is how many prompts an engine's share needs, and handOverMargin how far it
	// must exceed the share of all engines.
	minHandOvers   = 3
	handOverMargin = 0.3
	// firstTokenPatience is how long after its planned start a stream may not have begun.
	firstTokenPatience = time.Second
)

// learnHandOver records whether a decode engine used a prompt that e had read.
func (p *Placer) learnHandOver(now time.Time, e *engine, used bool) {
	if e == nil {
		return
	}
	failed := 1.0
	if used {
		failed = 0
	}
	p.handOverFailures.add(failed)
	e.handOverFailures.add(failed)
	e.handOverFailures.samples = min(e.handOverFailures.samples, handOverWindow)
	if !used && e.handOverFailures.samples >= minHandOvers && e.handOverFailures.average > p.handOverFailures.average+handOverMargin {
		p.avoid(now, e, p.prefills)
	}
}

// avoidSilent stops new grants on a decode engine of which a renewal says that it has not
// begun a stream long after it could have.
func (p *Placer) avoidSilent(now time.Time, g *grant) {
	if !g.Decoding && p.settings.UseForecast && now.Sub(g.plannedStart) >= firstTokenPatience {
		p.avoid(now, g.decode, p.decodes)
	}
}

// avoid starts an engine's cooldown unless too many of its role are in one already.
func (p *Placer) avoid(now time.Time, e *engine, role []*engine) {
	cooling := 0
	for _, other := range role {
		if other != e && now.Before(other.cooldownUntil) {
			cooling++
		}
	}
	if float64(cooling+1) <= max(1, maxAvoidedShare*float64(len(role))) {
		p.startCooldown(now, e.Member)
	}
}
