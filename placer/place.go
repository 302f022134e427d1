package placer

import (
	"cmp"
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Advance lapses leases and places as many waiting demands as fit. Call it
// after each batch of events and at least every lease.
func (p *Placer) Advance(now time.Time) {
	p.expire(now)
	p.refuseLate(now)
	p.place(now)
}

// refuseLate refuses the demands that can no longer meet their target.
func (p *Placer) refuseLate(now time.Time) {
	for _, rank := range identifier.Ranks {
		queue := &p.queues[rank]
		for w := queue.expired(now); w != nil; w = queue.expired(now) {
			p.dequeue(w)
			p.refuseFor(&w.demand, TooLate, cmp.Or(w.lacking, LackTurn), p.retryAfter(now, rank))
		}
	}
}

// verdict says what became of one try to place a demand.
type verdict uint8

const (
	// placed: the demand got its grant.
	placed verdict = iota
	// refused: the demand is answered otherwise.
	refused
	// noMemory: no decode engine has the memory now.
	noMemory
	// noTurn: as many prefill engines as may run long lesser prefills do.
	noTurn
	// noPrefill: every prefill engine has enough work ahead.
	noPrefill
)

// lacks names what a demand that was not placed waits for.
var lacks = map[verdict]Lack{noMemory: LackMemory, noTurn: LackTurn, noPrefill: LackPrefill}

// place tries the waiting demands in order of rank. Urgent work goes first,
// but for lesser work below its minimum share. Once urgent work waits for
// memory, lesser work beyond its share gets none.
func (p *Placer) place(now time.Time) {
	if !p.drainQueue(now, identifier.Lesser, p.lesserBelowShare) {
		return
	}
	if !p.drainQueue(now, identifier.Urgent, always) {
		return
	}
	p.drainQueue(now, identifier.Lesser, func() bool { return p.hasHeadroom(now) })
}

func always() bool { return true }

// hasHeadroom tells whether the free memory is more than urgent work is granted in
// the time of the setting, so that its next burst finds memory without a pause.
func (p *Placer) hasHeadroom(now time.Time) bool {
	if p.settings.Foresight || !p.settings.has(Headroom) {
		// What is foreseen decides; reservations would never leave any.
		return true
	}
	free := p.capacity - p.used[identifier.Urgent] - p.used[identifier.Lesser]
	rate := p.served[identifier.Urgent].rate(now)
	return float64(free) >= rate*p.settings.Headroom.Seconds()
}

// lesserBelowShare tells whether lesser work holds less than its minimum share.
func (p *Placer) lesserBelowShare() bool {
	return float64(p.used[identifier.Lesser]) < p.settings.LesserShare*float64(p.capacity)
}

// drainQueue places demands of one rank while more is true. It reports false
// when the rank still waits for an engine.
func (p *Placer) drainQueue(now time.Time, rank identifier.Rank, more func() bool) bool {
	queue := &p.queues[rank]
	blocked := p.blocked[:0]
	for len(blocked) < p.settings.Lookahead && more() {
		w := queue.next()
		if w == nil {
			break
		}
		result := p.try(now, w)
		if result == placed || result == refused {
			queue.forget(w)
			p.forget(w)
			continue
		}
		blocked = append(blocked, w)
		w.lacking = lacks[result]
		if result == noPrefill {
			break
		}
	}
	for _, w := range blocked {
		queue.putBack(w)
	}
	clear(blocked)
	p.blocked = blocked[:0]
	return len(blocked) == 0
}

// try grants one demand its engines if they have room for it.
func (p *Placer) try(now time.Time, w *waiting) verdict {
	d := &w.demand
	start := p.bestPrefill(now, d)
	waits := start.engine == nil || start.begin.Sub(now) > p.settings.PrefillAhead
	if waits && p.grantDirect(now, w) {
		return placed
	}
	if start.engine == nil {
		return noPrefill
	}
	if start.ready.Add(p.afterReady()).After(w.deadline) {
		p.refuse(d, TooLate, p.retryAfter(now, d.Rank))
		return refused
	}
	if start.begin.Sub(now) > p.settings.PrefillAhead || start.linkWait > p.settings.LinkAhead {
		return noPrefill
	}
	if p.isLong(d, start) && !p.mayRunLong(now, start.engine) {
		return noTurn
	}
	decode := p.chooseDecode(now, w, start)
	if decode == nil {
		if d.Rank == identifier.Urgent && p.settings.has(Pause) {
			p.pauseFor(now, w, start)
		}
		return noMemory
	}
	p.grant(now, w, start, decode)
	return placed
}

// handOver is the time that a grant takes to its node and on to its engines.
const handOver = 3 * time.Millisecond

// afterReady is the time to the first token beyond prefill and transfer.
func (p *Placer) afterReady() time.Duration {
	return p.step + handOver
}

// run is a prefill as it is planned on one engine; the engine is nil where the decode
// engine reads the prompt itself.
type run struct {
	engine *engine
	// begin and end are when the prefill runs; its KV cache waits linkWait for
	// the link and has been transferred at ready.
	begin    time.Time
	end      time.Time
	linkWait time.Duration
	ready    time.Time
}

// bestPrefill returns the run whose KV cache is ready first. The entry node's
// data centre is preferred by CrossCost.
func (p *Placer) bestPrefill(now time.Time, d *Demand) run {
	var best run
	var bestAt time.Time
	p.matchPrefixes(now, d)
	for _, e := range p.prefills {
		// An engine that is busy until then is ready later.
		if best.engine != nil && !e.prefillUntil.Before(bestAt) || !e.takes(now, d) {
			continue
		}
		planned := p.plan(now, d, e)
		at := planned.ready
		if e.DataCentre != d.DataCentre {
			at = at.Add(p.settings.CrossCost)
		}
		if best.engine == nil || at.Before(bestAt) {
			best, bestAt = planned, at
		}
	}
	return best
}

// plan tells when an engine would have computed and sent a prompt.
func (p *Placer) plan(now time.Time, d *Demand, e *engine) run {
	begin := later(now, e.prefillUntil)
	end := begin.Add(seconds(float64(p.uncached(d, e)), float64(e.prefillRate())))
	sent := end
	if p.settings.has(LinkBudget) {
		sent = later(end, e.linkUntil)
	}
	ready := sent.Add(p.transfer(d, e))
	return run{engine: e, begin: begin, end: end, linkWait: sent.Sub(end), ready: ready}
}

// transfer is the time that a prompt's KV cache takes over an engine's link.
func (p *Placer) transfer(d *Demand, e *engine) time.Duration {
	return seconds(float64(d.Prompt)*float64(p.settings.KVBytesPerToken), float64(e.linkRate()))
}

// chooseDecode returns the decode engine for a demand, or nil while none has room.
func (p *Placer) chooseDecode(now time.Time, w *waiting, start run) *engine {
	if p.settings.Foresight {
		return p.foreseeDecode(now, w, start)
	}
	return p.bestDecode(now, &w.demand, w.pieces, start)
}

// bestDecode returns the engine that has the memory and the most room, nearest
// to the prefill engine among equals.
func (p *Placer) bestDecode(now time.Time, d *Demand, need identifier.Pieces, start run) *engine {
	rebuilding := p.rebuilding(now)
	var best *engine
	bestScore := 0.0
	for _, e := range p.decodes {
		free := e.free(rebuilding)
		if p.settings.has(JointGrant) && free < need || !e.takes(now, d) {
			continue
		}
		score := float64(free) / float64(e.Pieces)
		if e.DataCentre == start.engine.DataCentre {
			score += sameDataCentreBonus
		}
		if p.settings.has(LinkBudget) && e.linkUntil.After(start.end) {
			score -= e.linkUntil.Sub(start.end).Seconds() * linkMalus
		}
		if d.Between > 0 && e.load.Step > d.Between {
			score -= tooSlowMalus
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

const (
	// sameDataCentreBonus is the share of free memory that a decode engine in
	// the prefill engine's data centre is preferred by.
	sameDataCentreBonus = 0.1
	// linkMalus is the share of free memory that a second's wait for the decode
	// engine's link costs.
	linkMalus = 1
	// tooSlowMalus puts engines that miss the target between tokens last.
	tooSlowMalus = 10
)

// grant books a placed demand.
func (p *Placer) grant(now time.Time, w *waiting, start run, decode *engine) {
	p.served[w.demand.Rank].add(now, w.pieces)
	decode.granted += w.pieces
	g := &grant{
		Held: Held{
			Grant:  p.nextGrant(),
			Demand: w.demand,
			Decode: decode.Member,
			Pieces: w.pieces,
			Stream: w.demand.Attempt,
		},
		decode:  decode,
		granted: now,
		ready:   start.ready,
		told:    start.ready,
		asked:   w.demand.Attempt,
		expires: now.Add(p.settings.Lease),
	}
	if start.engine != nil {
		p.bookPrefill(now, g, start)
	}
	p.hold(g)
	p.answer(&w.demand, Outcome{Placement: p.placement(g)})
}

// bookPrefill books the prefill of a grant on its engine and on both links.
func (p *Placer) bookPrefill(now time.Time, g *grant, start run) {
	e := start.engine
	g.Prefill, g.prefill = e.Member, e
	g.computes = p.uncached(&g.Demand, e)
	g.apart = e.beginAlone(now)
	if g.apart {
		e.alone = g
	}
	e.prefillUntil = start.end
	e.linkUntil = start.ready
	if p.isLong(&g.Demand, start) {
		e.longUntil = start.end
	}
	g.decode.linkUntil = later(g.decode.linkUntil, start.ready)
	for _, prefix := range g.Demand.Prefixes {
		p.index.add(now, e, prefix)
	}
}

func (p *Placer) placement(g *grant) *Placement {
	return &Placement{
		Grant:   g.Grant,
		Prefill: g.Prefill,
		Decode:  g.Decode,
		Pieces:  g.Pieces,
		Attempt: g.Demand.Attempt,
		Stream:  g.Stream,
		Lease:   p.settings.Lease,
	}
}

func (p *Placer) answer(d *Demand, outcome Outcome) {
	p.decisions = append(p.decisions, Decision{
		Request: d.Request,
		Attempt: d.Attempt,
		Node:    d.Node,
		Outcome: outcome,
	})
}

func (p *Placer) refuse(d *Demand, reason Reason, retryAfter time.Duration) {
	p.refuseFor(d, reason, "", retryAfter)
}

// refuseFor refuses a demand that lacks something.
func (p *Placer) refuseFor(d *Demand, reason Reason, lacking Lack, retryAfter time.Duration) {
	cause := p.causeOf(d)
	cause.Lacking = lacking
	p.expectReturn(d)
	p.answer(d, Outcome{Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter, Cause: cause}})
}

// causeOf tells what a demand is refused by.
func (p *Placer) causeOf(d *Demand) Cause {
	cause := Cause{Returned: p.returned(d)}
	for i := range p.queues {
		cause.Waiting += p.queues[i].length()
	}
	for _, e := range p.decodes {
		if e.Leaving || e.removed {
			continue
		}
		cause.Engines++
		if peak := e.lastPeak; peak > 0 && (cause.Peak == 0 || peak < cause.Peak) {
			cause.Peak = math.Round(peak*100) / 100
		}
	}
	return cause
}

// The bounds of the time after which refused callers are asked to return.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// returnAfter is the least where use is foreseen: all that runs now has ended
	// by then, and so have most bursts. A caller that comes back into the same burst
	// is only refused once more.
	returnAfter = 4500 * time.Millisecond
)

// retryAfter is how long the demands queued at a rank and above take to drain.
func (p *Placer) retryAfter(now time.Time, rank identifier.Rank) time.Duration {
	var ahead identifier.Pieces
	for _, r := range identifier.Ranks[:rank+1] {
		ahead += p.queues[r].pieces
	}
	least := minRetryAfter
	if p.settings.Foresight {
		least = returnAfter
	}
	rate := p.drain.rate(now)
	if rate <= 0 {
		return least
	}
	return min(max(seconds(float64(ahead), rate), least), maxRetryAfter)
}
