package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// shortPrefillShare is the part of the prefill engines that runs no long lesser
	// prefills; it is at least one engine if there are several.
	shortPrefillShare = 0.25
	// urgentActivityWindow is how long after an urgent demand long lesser prefills are
	// still kept off some prefill engines.
	urgentActivityWindow = 10 * time.Second
	// urgentSamples is the number of urgent demands in averageUrgentWait.
	urgentSamples = 16
)

// isLongPrefill reports whether a planned prefill is lesser work that would make urgent
// demands wait too long, because prefills are not preempted.
func (p *Placer) isLongPrefill(d *Demand, plan prefillPlan) bool {
	return d.Rank == identifier.Lesser && plan.end.Sub(plan.begin).Seconds() > p.averageUrgentWait.Seconds()*p.settings.LongPrefillRatio
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

func (p *Placer) recordUrgent(now time.Time, d *Demand) {
	if p.lastUrgentAt.IsZero() {
		p.averageUrgentWait = d.FirstTokenBudget
	}
	p.lastUrgentAt = now
	p.averageUrgentWait += (d.FirstTokenBudget - p.averageUrgentWait) / urgentSamples
}
