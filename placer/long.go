package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// shortPrefillShare is the part of the prefill engines, but at least one of
	// several, that long lesser prefills leave to shorter work.
	shortPrefillShare = 0.25
	// urgentMemory is how long after the last urgent demand they do so.
	urgentMemory = 10 * time.Second
	// urgentSamples is over how many urgent demands their time left is averaged.
	urgentSamples = 16
)

// isLong tells whether a planned prefill is lesser work that urgent demands
// would wait for too long: prefills are not preempted.
func (p *Placer) isLong(d *Demand, planned run) bool {
	return d.Rank == identifier.Lesser && planned.end.Sub(planned.begin).Seconds() > p.urgentWait.Seconds()*p.settings.LongPrefill
}

// mayRunLong tells whether an engine may take a long lesser prefill.
func (p *Placer) mayRunLong(now time.Time, chosen *engine) bool {
	if !p.settings.has(ShortPrefill) || len(p.prefills) < 2 || now.Sub(p.urgent) > urgentMemory {
		return true
	}
	busy := 1
	for _, e := range p.prefills {
		if e != chosen && e.longUntil.After(now) {
			busy++
		}
	}
	kept := max(1, int(float64(len(p.prefills))*shortPrefillShare))
	return busy <= len(p.prefills)-kept
}

// noteUrgent remembers when urgent work came in and how long it can wait.
func (p *Placer) noteUrgent(now time.Time, d *Demand) {
	if p.urgent.IsZero() {
		p.urgentWait = d.Wait
	}
	p.urgent = now
	p.urgentWait += (d.Wait - p.urgentWait) / urgentSamples
}
