package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// shortPrefillShare is the part of the prefill engines, but at least one of
	// several, that long lesser prefills leave to shorter work.
	shortPrefillShare = 0.25
	// urgentActivityWindow is how long after the last urgent demand they do so.
	urgentActivityWindow = 10 * time.Second
	// urgentSamples is over how many urgent demands their time left is averaged.
	urgentSamples = 16
)

// isLongPrefill tells whether a planned prefill is lesser work that urgent demands
// would wait for too long: prefills are not preempted.
func (p *Placer) isLongPrefill(d *Demand, plan prefillPlan) bool {
	return d.Rank == identifier.Lesser && plan.end.Sub(plan.begin).Seconds() > p.averageUrgentWait.Seconds()*p.settings.LongPrefill
}

// mayRunLongPrefill tells whether an engine may take a long lesser prefill.
func (p *Placer) mayRunLongPrefill(now time.Time, chosen *engine) bool {
	if !p.settings.enabled(ShortPrefill) || len(p.prefills) < 2 || now.Sub(p.lastUrgentAt) > urgentActivityWindow {
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

// recordUrgent remembers when urgent work came in and how long it can wait.
func (p *Placer) recordUrgent(now time.Time, d *Demand) {
	if p.lastUrgentAt.IsZero() {
		p.averageUrgentWait = d.Wait
	}
	p.lastUrgentAt = now
	p.averageUrgentWait += (d.Wait - p.averageUrgentWait) / urgentSamples
}
