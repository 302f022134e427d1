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
	// arrivalRateWindow is that of arriving demands: short, so that the end of a burst is
	// seen while those that it refused come back.
	arrivalRateWindow = time.Second
)

// decayingRate averages how much memory comes free or is asked for, with exponential decay.
type decayingRate struct {
	// window is the time to average over; zero takes drainWindow.
	window time.Duration
	// decayedSum is the decayed sum of freed pieces at last.
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

// perSecond is in pieces a second; zero is unknown.
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

// expectedRetryWait is how long a caller who came back will wait: behind all who wait, for
// what comes free beyond what new callers ask for.
func (p *Placer) expectedRetryWait(now time.Time, rank identifier.Rank) time.Duration {
	freed := p.freedRate.perSecond(now)
	if freed <= 0 {
		return 0
	}
	const minSpareShare = 0.05
	spare := max(freed-p.arrivalRate.perSecond(now), minSpareShare*freed)
	return timeAtRate(float64(p.queues[rank].pieces), spare)
}

// expectedWait is how long the demands before a new one take to get their
// memory. Urgent work gets all that comes free, lesser work what it leaves or
// its minimum share.
func (p *Placer) expectedWait(now time.Time, w *waitingDemand) time.Duration {
	rank := w.demand.Rank
	ahead := p.queues[rank].piecesAhead(w.withinShare)
	rate := p.freedRate.perSecond(now)
	if rank == identifier.Lesser {
		rate = max(rate-p.grantedRates[identifier.Urgent].perSecond(now), rate*p.settings.LesserShare)
	}
	if ahead == 0 || rate <= 0 {
		return 0
	}
	return timeAtRate(float64(ahead), rate)
}
