package placer

import (
	"cmp"
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// drainWindow is the time over which the rate of freed memory is averaged.
	drainWindow = 5 * time.Second
	// arrivalWindow is that of arriving demands: short, so that the end of a burst is
	// seen while those that it refused come back.
	arrivalWindow = time.Second
)

// drain averages how much memory comes free or is asked for, with exponential decay.
type drain struct {
	// window is the time to average over; zero takes drainWindow.
	window time.Duration
	// amount is the decayed sum of freed pieces at last.
	amount float64
	last   time.Time
	first  time.Time
}

func (d *drain) add(now time.Time, pieces identifier.Pieces) {
	d.decay(now)
	d.amount += float64(pieces)
}

func (d *drain) decay(now time.Time) {
	if d.first.IsZero() {
		d.first, d.last = now, now
	}
	d.amount *= math.Exp(-float64(now.Sub(d.last)) / float64(d.span()))
	d.last = now
}

// rate is in pieces a second; zero is unknown.
func (d *drain) rate(now time.Time) float64 {
	if d.first.IsZero() || now.Sub(d.first) < time.Second {
		return 0
	}
	d.decay(now)
	seen := 1 - math.Exp(-float64(now.Sub(d.first))/float64(d.span()))
	return d.amount / d.span().Seconds() / seen
}

func (d *drain) span() time.Duration {
	return cmp.Or(d.window, drainWindow)
}

// returnWait is how long a caller who came back will wait: behind all who wait, for
// what comes free beyond what new callers ask for.
func (p *Placer) returnWait(now time.Time, rank identifier.Rank) time.Duration {
	freed := p.drain.rate(now)
	if freed <= 0 {
		return 0
	}
	const leastPart = 0.05
	spare := max(freed-p.arriving.rate(now), leastPart*freed)
	return seconds(float64(p.queues[rank].pieces), spare)
}

// expectedWait is how long the demands before a new one take to get their
// memory. Urgent work gets all that comes free, lesser work what it leaves or
// its minimum share.
func (p *Placer) expectedWait(now time.Time, w *waiting) time.Duration {
	rank := w.demand.Rank
	ahead := p.queues[rank].ahead(w.within)
	rate := p.drain.rate(now)
	if rank == identifier.Lesser {
		rate = max(rate-p.served[identifier.Urgent].rate(now), rate*p.settings.LesserShare)
	}
	if ahead == 0 || rate <= 0 {
		return 0
	}
	return seconds(float64(ahead), rate)
}
