package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// drainWindow is the time over which the rate of freed memory is averaged.
const drainWindow = 5 * time.Second

// drain averages how much memory comes free, with exponential decay.
type drain struct {
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
	d.amount *= math.Exp(-float64(now.Sub(d.last)) / float64(drainWindow))
	d.last = now
}

// rate is in pieces a second; zero is unknown.
func (d *drain) rate(now time.Time) float64 {
	if d.first.IsZero() || now.Sub(d.first) < time.Second {
		return 0
	}
	d.decay(now)
	seen := 1 - math.Exp(-float64(now.Sub(d.first))/float64(drainWindow))
	return d.amount / drainWindow.Seconds() / seen
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
