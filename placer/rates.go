package placer

import (
	"cmp"
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// freedRateWindow is the time over which the rate of freed memory is averaged.
	freedRateWindow = 5 * time.Second
	// arrivalRateWindow is the time over which the rate of arriving demands is averaged.
	// It is short, so that the rate has fallen when callers retry after a burst.
	arrivalRateWindow = time.Second
)

// decayingRate is a rate of memory, averaged with exponential decay.
type decayingRate struct {
	// window is the averaging time; zero means freedRateWindow.
	window time.Duration
	// decayedSum is the decayed sum of pieces at updatedAt.
	decayedSum float64
	updatedAt  time.Time
	startedAt  time.Time
}

func (d *decayingRate) add(now time.Time, pieces identifier.Pieces) {
	d.decay(now)
	d.decayedSum += float64(pieces)
}

func (d *decayingRate) decay(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt, d.updatedAt = now, now
	}
	d.decayedSum *= math.Exp(-float64(now.Sub(d.updatedAt)) / float64(d.averagingWindow()))
	d.updatedAt = now
}

// perSecond returns the rate in pieces a second; zero means unknown.
func (d *decayingRate) perSecond(now time.Time) float64 {
	if d.startedAt.IsZero() || now.Sub(d.startedAt) < time.Second {
		return 0
	}
	d.decay(now)
	coveredShare := 1 - math.Exp(-float64(now.Sub(d.startedAt))/float64(d.averagingWindow()))
	return d.decayedSum / d.averagingWindow().Seconds() / coveredShare
}

func (d *decayingRate) averagingWindow() time.Duration {
	return cmp.Or(d.window, freedRateWindow)
}

// expectedRetryWait returns how long a retry is expected to wait. It waits behind all
// queued demands of its rank, for the freed memory that new demands leave.
func (p *Placer) expectedRetryWait(now time.Time, rank identifier.Rank) time.Duration {
	freed := p.freedRate.perSecond(now)
	if freed <= 0 {
		return 0
	}
	const minSpareShare = 0.05
	spare := max(freed-p.arrivalRate.perSecond(now), minSpareShare*freed)
	return timeAtRate(float64(p.queues[rank].pieces), spare)
}

// expectedWait returns how long the demands ahead of a new one are expected to wait for
// their memory. Urgent work gets all memory that is freed; any other rank gets what more
// urgent ones leave, or its minimum share if that is more.
func (p *Placer) expectedWait(now time.Time, w *waitingDemand) time.Duration {
	rank := w.demand.Rank
	ahead := p.queues[rank].piecesAhead(w.withinShare)
	rate := p.freedRate.perSecond(now)
	if rank != identifier.Urgent {
		rate = max(rate-p.moreUrgentRate(now, rank), rate*p.settings.LesserShare)
	}
	if ahead == 0 || rate <= 0 {
		return 0
	}
	return timeAtRate(float64(ahead), rate)
}
