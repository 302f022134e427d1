package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// shortPrefillShare is the fraction of the prefill engines that runs no long lesser
	// prefills; it is at least one engine if there are several.
	shortPrefillShare = 0.25
	// urgentActivityWindow is how long after an urgent demand long lesser prefills are
	// still kept off some prefill engines.
	urgentActivityWindow = 10 * time.Second
	// urgentSamples is the number of urgent demands in averageUrgentBudget.
	urgentSamples = 16
)

// isLongPrefill reports whether a planned prefill is not urgent and would make urgent demands
// wait too long, because prefills are not preempted.
func (p *Placer) isLongPrefill(d *Demand, plan prefillPlan) bool {
	return d.Rank != identifier.Urgent && plan.end.Sub(plan.begin).Seconds() > p.averageUrgentBudget.Seconds()*p.settings.LongPrefillRatio
}

func (p *Placer) mayRunLongPrefill(now time.Time, chosen *engine) bool {
	if !p.settings.enabled(LongPrefillLimit) || len(p.prefills) < 2 || now.Sub(p.lastUrgentAt) > urgentActivityWindow {
		return true
	}
	longPrefills := 1
	for _, e := range p.prefills {
		if e != chosen && e.longPrefillUntil.After(now) {
			longPrefills++
		}
	}
	reserved := max(1, int(float64(len(p.prefills))*shortPrefillShare))
	return longPrefills <= len(p.prefills)-reserved
}

func (p *Placer) recordUrgentArrival(now time.Time, d *Demand) {
	if p.lastUrgentAt.IsZero() {
		p.averageUrgentBudget = d.FirstTokenBudget
	}
	p.lastUrgentAt = now
	p.averageUrgentBudget += (d.FirstTokenBudget - p.averageUrgentBudget) / urgentSamples
}
