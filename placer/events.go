package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Submit takes in a demand. It is idempotent: the same attempt sent again gets
// the answer it got before.
func (p *Placer) Submit(now time.Time, d Demand) {
	if g := p.latest[d.Request]; g != nil && (g.phase != cancelling || d.Attempt <= g.Demand.Attempt) {
		p.submitAgain(now, d, g)
		return
	}
	if w := p.queued[d.Request]; w != nil {
		if d.Attempt <= w.demand.Attempt {
			return
		}
		p.dequeue(w)
		p.refuse(&w.demand, Superseded, 0)
	}
	p.enqueue(now, d)
}

// submitAgain handles a demand whose request holds a grant already.
func (p *Placer) submitAgain(now time.Time, d Demand, g *grant) {
	switch {
	case d.Attempt == g.asked && d.Node == g.Demand.Node && g.phase == held:
		p.renew(now, g)
		p.answer(&d, Outcome{Placement: p.placement(g)})
	case d.Attempt <= g.Demand.Attempt && g.phase != orphaned:
		p.refuse(&d, Superseded, 0)
	default:
		p.takeOver(now, d, g)
	}
}

// takeOver gives the memory of an earlier attempt to a later one, on the same
// engines, so that the stream there can go on. Whoever asks for an orphan comes
// later than its dead node, so its attempt number is raised if that node's clock
// ran ahead. Its prompt stays that of the stream, whose output counts from there.
func (p *Placer) takeOver(now time.Time, d Demand, old *grant) {
	if !old.mayGoOn(&d) {
		p.cancel(now, old)
		p.enqueue(now, d)
		return
	}
	p.free(now, old)
	successor := *old
	successor.Grant = p.nextGrant()
	successor.Demand = d
	successor.Demand.Prompt = old.Demand.Prompt
	successor.Demand.Attempt = max(d.Attempt, old.Demand.Attempt+1)
	successor.asked = d.Attempt
	successor.phase = held
	successor.expires = now.Add(p.settings.Lease)
	p.hold(&successor)
	p.answer(&d, Outcome{Placement: p.placement(&successor)})
}

// mayGoOn tells whether a stream may stay where it is for a later attempt. One
// whose KV cache has not reached its decode engine is lost with its prefill engine.
func (g *grant) mayGoOn(d *Demand) bool {
	if d.Fresh || g.decode.Leaving || g.decode.removed || avoids(d, g.decode) {
		return false
	}
	if !g.Decoding && g.prefill != nil && avoids(d, g.prefill) {
		return false
	}
	apart := !d.Suspect || g.Demand.Suspect
	return apart || g.decode.suspects == 0 && (g.prefill == nil || g.prefill.suspects == 0)
}

func avoids(d *Demand, e *engine) bool {
	for _, avoided := range d.Avoid {
		if avoided == e.Member {
			return true
		}
	}
	return false
}

// enqueue puts a demand into the queue of its rank or refuses it.
func (p *Placer) enqueue(now time.Time, d Demand) {
	if d.Rank == identifier.Urgent {
		p.noteUrgent(now, &d)
	}
	p.noteDemand(&d)
	need := p.pieces(&d)
	if !d.Late && !p.returned(&d) {
		p.arriving.add(now, need)
	}
	if reason, ok := p.admissible(&d, need); !ok {
		p.refuse(&d, reason, p.settings.Lease)
		return
	}
	deadline := now.Add(d.Wait)
	w := &waiting{demand: d, deadline: deadline, latest: deadline.Add(-p.leastTime(now, &d) - p.afterReady())}
	p.boundHold(now, w)
	w.within = d.Account == "" || !p.settings.has(Fairness) || p.withinShare(&d, need)
	if p.settings.has(EarlyRefusal) && p.hopeless(now, w) {
		p.refuse(&d, TooLate, p.retryAfter(now, d.Rank))
		return
	}
	queue := &p.queues[d.Rank]
	if queue.length() >= p.settings.QueueLimit {
		victim := queue.sacrifice()
		if victim == nil || !w.within {
			p.refuse(&d, QueueFull, p.retryAfter(now, d.Rank))
			return
		}
		p.dequeue(victim)
		p.refuse(&victim.demand, QueueFull, p.retryAfter(now, d.Rank))
	}
	w.pieces = need
	w.order = deadline.Add(time.Duration(need) * p.settings.SizeDelay)
	if w.returned {
		w.order = w.order.Add(returnedBehind)
	}
	queue.add(w)
	p.queued[d.Request] = w
	p.account(&d, 0, need)
}

// leastTime is how long the fastest idle engines take to have a prompt ready.
func (p *Placer) leastTime(now time.Time, d *Demand) time.Duration {
	best := time.Duration(math.MaxInt64)
	p.matchPrefixes(now, d)
	for _, e := range p.prefills {
		if e.removed || e.Leaving {
			continue
		}
		prefill := seconds(float64(p.uncached(d, e)), float64(e.prefillRate()))
		best = min(best, prefill+p.transfer(d, e))
	}
	if best == math.MaxInt64 {
		return 0
	}
	return best
}

// boundHold sets the last moment of a demand that may not be held until its
// target. One whose caller was refused before is held for longer: it has missed its
// target anyway, and refusing it again would be worse than a late answer.
func (p *Placer) boundHold(now time.Time, w *waiting) {
	if w.demand.Hold <= 0 {
		return
	}
	if w.demand.Late || p.returned(&w.demand) {
		w.returned = true
		w.deadline = now.Add(returnedHold)
		w.latest = w.deadline
		return
	}
	if until := now.Add(w.demand.Hold); until.Before(w.latest) {
		w.latest = until
	}
}

const (
	// returnedBehind sets demands of callers that came back behind all that can
	// still be on time.
	returnedBehind = time.Hour
	// returnedHold is how long a caller that came back is held for room: about as
	// long as most of what an engine runs takes to end.
	returnedHold = 3 * time.Second
	// returnLimit bounds how many refused callers are remembered.
	returnLimit = 4096
)

// expectReturn remembers that a demand's caller was refused.
func (p *Placer) expectReturn(d *Demand) {
	if d.Returning == 0 {
		return
	}
	if len(p.returning) >= returnLimit {
		clear(p.returning)
	}
	p.returning[d.Returning] = struct{}{}
}

// returned tells whether a demand's caller was refused before.
func (p *Placer) returned(d *Demand) bool {
	_, refused := p.returning[d.Returning]
	return refused && d.Returning != 0
}

// hopeless tells whether a demand's queue will not drain in time.
func (p *Placer) hopeless(now time.Time, w *waiting) bool {
	if w.returned {
		return p.returnWait(now, w.demand.Rank) > returnedHold
	}
	return p.expectedWait(now, w).Seconds() > w.demand.Wait.Seconds()*p.settings.RefuseBeyond
}

// admissible tells whether any engine could ever take the demand.
func (p *Placer) admissible(d *Demand, need identifier.Pieces) (Reason, bool) {
	prefill, fits, decode := false, false, false
	for _, e := range p.prefills {
		prefill = prefill || (!e.Leaving && !e.removed && !avoids(d, e))
	}
	for _, e := range p.decodes {
		if e.Leaving || e.removed || avoids(d, e) {
			continue
		}
		decode = true
		fits = fits || e.Pieces >= need
	}
	switch {
	case !prefill && p.settings.DirectRate <= 0 || !decode:
		return NoMember, false
	case !fits:
		return TooLarge, false
	default:
		return "", true
	}
}

// withinShare tells whether an account, with one more demand, stays within its
// fair part of the memory that its rank's active accounts share.
func (p *Placer) withinShare(d *Demand, need identifier.Pieces) bool {
	var use accountUse
	if known := p.accounts[accountKey{d.Account, d.Rank}]; known != nil {
		use = *known
	}
	share := p.capacity / identifier.Pieces(max(1, len(p.accounts)))
	return use.held+use.queued+need <= max(share, need)
}

// dequeue takes a waiting demand out of its queue.
func (p *Placer) dequeue(w *waiting) {
	p.queues[w.demand.Rank].remove(w)
	p.forget(w)
}

// forget drops a demand that is in no queue any more.
func (p *Placer) forget(w *waiting) {
	delete(p.queued, w.demand.Request)
	p.account(&w.demand, 0, -w.pieces)
}

// Withdraw forgets a demand whose caller is gone, or cancels its grant.
func (p *Placer) Withdraw(now time.Time, request identifier.Request, attempt uint64) {
	if w := p.queued[request]; w != nil && w.demand.Attempt <= attempt {
		p.dequeue(w)
	}
	if g := p.latest[request]; g != nil && g.Demand.Attempt <= attempt {
		p.cancel(now, g)
	}
}

// Release frees the memory of a grant that its node has given back.
func (p *Placer) Release(now time.Time, id identifier.Grant, result Result) {
	g := p.grants[id]
	if g == nil {
		return
	}
	g.notePrefill(result.PrefillTook)
	if result.Failed != "" {
		p.fail(now, result.Failed)
	} else if result.Decoded && result.Output > 0 {
		p.outputs(&g.Demand).add(result.Output, p.settings.OutputQuantile)
		p.outputs(&g.Demand).learn(result.Output, g.Demand.Hint)
		p.noteOutput(g, result.Output-g.Output, now.Sub(g.told))
		p.noteFinished(g, result.Output)
	}
	p.free(now, g)
}

// fail keeps an engine that failed a request out of new grants for a while.
func (p *Placer) fail(now time.Time, member identifier.Member) {
	if e := p.engines[member]; e != nil {
		e.avoidUntil = now.Add(p.settings.FailureHold)
	}
}

// Renewal says what became of a renewal.
type Renewal uint8

const (
	// Renewed means that the grant stands.
	Renewed Renewal = iota
	// Unknown means that the grant is not known here: renew it with its demand.
	Unknown
	// Revoked means that the grant is gone for good.
	Revoked
)

// Renew extends the lease of a grant. One that is not known here is adopted if
// the renewal carries its demand: an earlier owner or the fall-back gave it.
func (p *Placer) Renew(now time.Time, h Held, withDemand bool) Renewal {
	if g := p.grants[h.Grant]; g != nil {
		p.progress(now, g, h)
		if g.phase == cancelling {
			return Revoked
		}
		p.renew(now, g)
		return Renewed
	}
	if !withDemand {
		return Unknown
	}
	if known := p.latest[h.Demand.Request]; known != nil && known.Demand.Attempt >= h.Demand.Attempt {
		return Revoked
	}
	return p.adopt(now, h)
}

func (p *Placer) renew(now time.Time, g *grant) {
	g.phase = held
	g.expires = now.Add(p.settings.Lease)
}

// progress takes over how far a stream has come.
func (p *Placer) progress(now time.Time, g *grant, h Held) {
	if h.Output != g.Output || h.Decoding != g.Decoding {
		if g.Decoding {
			p.noteOutput(g, h.Output-g.Output, now.Sub(g.told))
		}
		g.told = now
		g.decode.forecast.at = time.Time{}
	}
	g.notePrefill(h.PrefillTook)
	g.Output = h.Output
	g.Decoding = h.Decoding
	if needed := p.piecesFor(g.Demand.Prompt + h.Output); needed > g.Pieces {
		p.resize(g, needed)
	}
}

// adopt books a grant that was given elsewhere. One on an engine of another
// shard stands without being booked.
func (p *Placer) adopt(now time.Time, h Held) Renewal {
	decode, prefill := p.engines[h.Decode], p.engines[h.Prefill]
	if decode == nil || decode.Role != identifier.Decode || h.Pieces <= 0 {
		return Renewed
	}
	g := &grant{Held: h, prefill: prefill, decode: decode, granted: now, ready: now, told: now, asked: h.Demand.Attempt}
	p.renew(now, g)
	p.hold(g)
	return Renewed
}

// Unreachable keeps an engine that does not report out of new grants.
func (p *Placer) Unreachable(now time.Time, member identifier.Member) {
	p.fail(now, member)
}

// Gone lapses all grants of a dead node and forgets its waiting demands.
func (p *Placer) Gone(now time.Time, node identifier.Node) {
	for _, e := range p.all {
		for _, g := range e.held {
			if g.Demand.Node == node && g.phase == held {
				p.orphan(now, g)
			}
		}
	}
	for _, w := range p.queued {
		if w.demand.Node == node {
			p.dequeue(w)
		}
	}
}

func (p *Placer) orphan(now time.Time, g *grant) {
	g.phase = orphaned
	g.expires = now.Add(p.settings.OrphanGrace)
	p.expireBy(g.expires)
}

// cancel orders the engines to drop a request and keeps its memory booked
// until they confirm.
func (p *Placer) cancel(now time.Time, g *grant) {
	g.phase = cancelling
	g.expires = now.Add(p.settings.CancelRetry)
	p.expireBy(g.expires)
	order := Order{Grant: g.Grant, Request: g.Demand.Request, Stream: g.Stream, Attempt: g.Demand.Attempt}
	if !g.Decoding && g.prefill != nil {
		order.Members = append(order.Members, g.prefill.Member)
	}
	order.Members = append(order.Members, g.decode.Member)
	p.orders = append(p.orders, order)
}

// Confirm frees the memory of a cancelled grant: every engine of its order has
// said that it no longer holds the request.
func (p *Placer) Confirm(now time.Time, id identifier.Grant) {
	if g := p.grants[id]; g != nil && g.phase == cancelling {
		p.free(now, g)
	}
}

// expire moves lapsed grants on: from held to orphaned, from orphaned to
// cancelling, and orders a cancel that was not confirmed once more.
func (p *Placer) expire(now time.Time) {
	if p.lapse.IsZero() || now.Before(p.lapse) {
		return
	}
	p.lapse = time.Time{}
	for _, e := range p.all {
		for _, g := range e.held {
			p.expireGrant(now, g)
		}
	}
}

func (p *Placer) expireGrant(now time.Time, g *grant) {
	switch {
	case now.Before(g.expires):
		p.expireBy(g.expires)
	case g.phase == held:
		p.orphan(now, g)
	default:
		p.cancel(now, g)
	}
}

// Report takes in an engine's own report.
func (p *Placer) Report(now time.Time, member identifier.Member, load Load) {
	e := p.engines[member]
	if e == nil {
		return
	}
	e.load = load
	e.granted = 0
	for _, g := range e.held {
		if g.granted.After(load.At) {
			e.granted += g.Pieces
		}
	}
	if load.Backlog > 0 {
		backlog := seconds(float64(load.Backlog), float64(e.prefillRate()))
		e.prefillUntil = later(e.prefillUntil, load.At.Add(backlog))
	}
	p.averageStep()
	p.index.take(now, e, load)
	p.countForeign(now, e)
}

// stranger is an attempt that an engine holds memory for without a grant here.
type stranger struct {
	member  identifier.Member
	request identifier.Request
	stream  uint64
}

// averageStep notes the time that a stream's first token takes on average.
func (p *Placer) averageStep() {
	var sum time.Duration
	known := 0
	for _, e := range p.decodes {
		if e.load.Step > 0 {
			sum += e.load.Step
			known++
		}
	}
	p.step = sum / time.Duration(max(1, known))
}

// countForeign finds memory held by requests that have no grant here. Those
// that no node claims for long enough are cancelled.
func (p *Placer) countForeign(now time.Time, e *engine) {
	e.foreign = 0
	if e.load.Holding == nil {
		e.foreign = e.unexplained()
		return
	}
	seen := map[stranger]bool{}
	for _, h := range e.load.Holding {
		if g := p.latest[h.Request]; g != nil && g.decode == e && g.Stream == h.Stream {
			continue
		}
		e.foreign += h.Pieces
		s := stranger{e.Member, h.Request, h.Stream}
		seen[s] = true
		p.meet(now, s)
	}
	for s := range p.strangers {
		if s.member == e.Member && !seen[s] {
			delete(p.strangers, s)
		}
	}
}

// meet orders a stranger's cancel once it has stayed unclaimed for a lease and
// a grace, in which a living node would have renewed or taken over its grant.
func (p *Placer) meet(now time.Time, s stranger) {
	due, known := p.strangers[s]
	if !known {
		p.strangers[s] = now.Add(p.settings.Lease + p.settings.OrphanGrace)
		return
	}
	if now.Before(due) {
		return
	}
	p.strangers[s] = now.Add(p.settings.CancelRetry)
	p.orders = append(p.orders, Order{
		Request: s.request,
		Stream:  s.stream,
		Attempt: s.stream,
		Members: []identifier.Member{s.member},
	})
}

// unexplained is the memory that the last report showed in use beyond all grants
// that stand now or stood when the engine was asked.
func (e *engine) unexplained() identifier.Pieces {
	known := e.used
	for len(e.freed) > 0 && e.freed[0].at.Before(e.load.At) {
		e.freed = e.freed[1:]
	}
	for _, f := range e.freed {
		known += f.pieces
	}
	return max(0, e.Pieces-e.load.Free-known)
}
