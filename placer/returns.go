package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// With UseForecast, a refusal names the earliest time at which the memory that the running
// requests leave exceeds what new callers ask for by then, what waits, and what earlier refusals
// were promised. Each refusal is a promise itself, so that the callers of a burst come back one
// after the other as memory comes free, not together.

const (
	// minForecastRetryAfter is the shortest time that a refusal names. A demand has waited for
	// up to some tenths of a second before its refusal; what it lacked is not there much sooner
	// than a second later, and a second refusal costs its caller more than the wait.
	minForecastRetryAfter = time.Second
	// maxForecastRetryAfter is the longest time that a refusal names. By then all that runs now
	// has ended, and the forecast rests on the usual arrivals alone.
	maxForecastRetryAfter = 10 * time.Second
	// returnSlot is the time that one entry of a promise ring covers. Callers that are told the
	// same slot come back within it, and a decode engine frees a request about as often.
	returnSlot = 250 * time.Millisecond
	// returnSlots is the number of entries of a ring, more than maxForecastRetryAfter needs.
	returnSlots = 48
	// promisableShare is the part of the memory that promises may fill. Demands are admitted
	// with a margin for the uncertainty of the forecast, and repeats use engines up to
	// maxRetryPeakUse only.
	promisableShare = 0.85
	// recentLoadWindow and usualLoadWindow are the times over which the recent and the usual
	// arrivals are averaged. Arrivals are expected to go from the one to the other within
	// burstDecay: most bursts last a few seconds.
	recentLoadWindow = time.Second
	usualLoadWindow  = time.Minute
	burstDecay       = 2 * time.Second
)

// arrivalLoad is the rate of memory, in tokens, that first attempts ask for, averaged over a short and over a long time.
type arrivalLoad struct {
	recent, usual decayingRate
}

func newArrivalLoad() arrivalLoad {
	return arrivalLoad{recent: decayingRate{window: recentLoadWindow}, usual: decayingRate{window: usualLoadWindow}}
}

func (l *arrivalLoad) add(now time.Time, tokens float64) {
	l.recent.add(now, identifier.Pieces(tokens))
	l.usual.add(now, identifier.Pieces(tokens))
}

// expected returns the memory that is expected to be asked for between two times from now.
func (l *arrivalLoad) expected(now time.Time, from, until time.Duration) float64 {
	usual := l.usual.perSecond(now)
	excess := l.recent.perSecond(now) - usual
	decayed := math.Exp(-float64(from)/float64(burstDecay)) - math.Exp(-float64(until)/float64(burstDecay))
	return usual*(until-from).Seconds() + excess*burstDecay.Seconds()*decayed
}

// promiseRing has the memory, in tokens, that refused callers were told to come back for, by the
// slot of their return. Entries of the past count as empty.
type promiseRing struct {
	// origin is when slots are counted from, an hour before the first promise; zero without one.
	origin time.Time
	slots  [returnSlots]promiseSlot
}

// promiseSlot is the sum of the promises for one slot.
type promiseSlot struct {
	slot   int64
	tokens float64
}

// slotOf returns the slot of a time. It follows the steady clock: with the time of day, a step of
// that would drop the promises or move them.
func (r *promiseRing) slotOf(at time.Time) int64 {
	return int64(at.Sub(r.origin) / returnSlot)
}

func (r *promiseRing) add(at time.Time, tokens float64) {
	if r.origin.IsZero() {
		r.origin = at.Add(-time.Hour)
	}
	slot := r.slotOf(at)
	entry := &r.slots[slot%returnSlots]
	if entry.slot != slot {
		*entry = promiseSlot{slot: slot}
	}
	entry.tokens += tokens
}

// between returns what was promised for the slots after from, up to and with that of until.
func (r *promiseRing) between(from, until time.Time) float64 {
	if r.origin.IsZero() {
		return 0
	}
	first, last := r.slotOf(from)+1, r.slotOf(until)
	sum := 0.0
	for i := range r.slots {
		if entry := &r.slots[i]; entry.slot >= first && entry.slot <= last {
			sum += entry.tokens
		}
	}
	return sum
}

// poolForecast is the forecast use of all decode engines that take work.
type poolForecast struct {
	at time.Time
	// use is the mean memory, in tokens, that what runs now holds at each of forecastOffsets.
	use      [len(forecastOffsets)]float64
	capacity float64
}

// poolForecastOf returns the forecast of the pool, which is computed again if it is older than
// forecastLifetime.
func (p *Placer) poolForecastOf(now time.Time) *poolForecast {
	f := &p.poolForecast
	if !f.at.IsZero() && now.Sub(f.at) < forecastLifetime {
		return f
	}
	*f = poolForecast{at: now}
	for _, e := range p.decodes {
		if !e.takesWork(now) {
			continue
		}
		f.capacity += float64(e.Pieces) * float64(p.settings.PieceTokens)
		for i, point := range p.forecastOf(now, e).points {
			f.use[i] += point.mean
		}
	}
	return f
}

// takesWork reports whether an engine takes new work of any demand.
func (e *engine) takesWork(now time.Time) bool {
	return !e.Draining && !e.removed && !now.Before(e.cooldownUntil) && !now.Before(e.roleChangeUntil)
}

// useAt returns the memory that what runs now still holds after some time. Beyond the last
// offset it falls as it does between the last two.
func (f *poolForecast) useAt(after time.Duration) float64 {
	const last = len(forecastOffsets) - 1
	for i, offset := range forecastOffsets {
		if after > offset {
			continue
		}
		if i == 0 {
			return f.use[0]
		}
		part := float64(after-forecastOffsets[i-1]) / float64(offset-forecastOffsets[i-1])
		return f.use[i-1] + (f.use[i]-f.use[i-1])*part
	}
	if f.use[last-1] <= 0 || f.use[last] >= f.use[last-1] {
		return f.use[last]
	}
	steps := float64(after-forecastOffsets[last]) / float64(forecastOffsets[last]-forecastOffsets[last-1])
	return f.use[last] * math.Pow(f.use[last]/f.use[last-1], steps)
}

// heldMemory returns the memory, in tokens, that a demand holds on average while it runs, and how
// long it runs.
func (p *Placer) heldMemory(d *Demand) (tokens float64, held time.Duration) {
	output := p.outputDistributionOf(d).median()
	return float64(d.Prompt) + output/2, time.Duration(output * float64(p.averageTokenTime))
}

// recordLoad counts a first attempt in the load of its rank.
func (p *Placer) recordLoad(now time.Time, d *Demand) {
	tokens, held := p.heldMemory(d)
	p.loads[d.Rank].add(now, tokens)
	p.averageHeld.add(held.Seconds())
}

// returnPart divides the time that a caller has left: up to one part of it, callers wait as they
// are told.
const returnPart = 3

// promiseReturn returns after what time the caller of a refused demand should come back, and
// counts it as promised. A caller with a known time left comes back after returnPart of it at the
// latest, whatever it is told.
func (p *Placer) promiseReturn(now time.Time, d *Demand) time.Duration {
	tokens, _ := p.heldMemory(d)
	after := minForecastRetryAfter
	for after < maxForecastRetryAfter && !p.hasRoomAt(now, d.Rank, after, tokens) {
		after += returnSlot
	}
	returns := after
	if d.TimeLeft > 0 {
		returns = min(after, d.TimeLeft/returnPart)
	}
	p.promises[d.Rank].add(now.Add(returns), tokens)
	return after
}

// hasRoomAt reports whether the pool is expected to have the memory for one more request of a rank
// that comes after some time, also near its end: what others were promised for later may take the
// memory while the request runs. A slot is promised no more than what comes free within it, so
// that callers don't come in a crowd to engines that have just become empty.
func (p *Placer) hasRoomAt(now time.Time, rank identifier.Rank, after time.Duration, tokens float64) bool {
	held := max(returnSlot, time.Duration(p.averageHeld.average*float64(time.Second)))
	at := now.Add(after)
	inSlot := p.promises[rank].between(at.Add(-returnSlot), at)
	if freed := promisableShare * p.poolForecastOf(now).capacity * returnSlot.Seconds() / held.Seconds(); inSlot > 0 && inSlot+tokens > freed {
		return false
	}
	return p.spareMemoryAt(now, rank, after, held) >= tokens && p.spareMemoryAt(now, rank, after+held*3/4, held) >= tokens
}

// spareMemoryAt returns the memory, in tokens, that is expected to be free for more requests of a
// rank after some time, if each request holds its memory for held.
func (p *Placer) spareMemoryAt(now time.Time, rank identifier.Rank, after, held time.Duration) float64 {
	pool := p.poolForecastOf(now)
	spare := promisableShare*pool.capacity - pool.useAt(after)
	// What waits now is placed within about the time of a run and held as long.
	waits := min(1, max(0, 2-after.Seconds()/held.Seconds()))
	// Of what comes from now on, only what comes after from still holds memory.
	from := max(0, after-held)
	for _, r := range identifier.Ranks[:rank+1] {
		spare -= waits * float64(p.queues[r].pieces) * float64(p.settings.PieceTokens)
		spare -= p.loads[r].expected(now, from, after)
		spare -= p.promises[r].between(now.Add(from), now.Add(after))
	}
	return spare
}
