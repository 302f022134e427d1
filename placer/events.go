package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Submit queues or refuses a demand. It is idempotent: an attempt that is sent again gets
// the answer it got before. A demand whose request already has a grant renews the grant,
// takes it over, or is refused as superseded.
func (p *Placer) Submit(now time.Time, d Demand) {
	if g := p.latestGrants[d.Request]; g != nil && (g.phase != cancelling || d.Attempt <= g.Demand.Attempt) {
		p.resubmit(now, d, g)
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

func (p *Placer) resubmit(now time.Time, d Demand, g *grant) {
	switch {
	case d.Attempt == g.requestedAttempt && d.Node == g.Demand.Node && g.phase == leased:
		p.extendLease(now, g)
		p.addDecision(&d, Outcome{Placement: p.placementOf(g)})
	case d.Attempt <= g.Demand.Attempt && g.phase != orphaned:
		p.refuse(&d, Superseded, 0)
	default:
		p.takeOver(now, d, g)
	}
}

// takeOver gives the memory and engines of an earlier attempt to a later one, so that the
// stream can be resumed. An attempt that asks for an orphaned grant is later even with a
// smaller number, because the failed node's clock may have been ahead; its number is
// raised. The grant keeps the prompt length of the stream, because the stream's output is
// counted from there.
func (p *Placer) takeOver(now time.Time, d Demand, old *grant) {
	if !old.canResumeFor(&d) {
		p.cancelGrant(now, old)
		p.enqueue(now, d)
		return
	}
	p.freeGrant(now, old)
	successor := *old
	successor.Grant = p.nextGrant()
	successor.Demand = d
	successor.Demand.Prompt = old.Demand.Prompt
	successor.Demand.Attempt = max(d.Attempt, old.Demand.Attempt+1)
	successor.requestedAttempt = d.Attempt
	successor.phase = leased
	successor.expiresAt = now.Add(p.settings.Lease)
	p.bookGrant(&successor)
	p.addDecision(&d, Outcome{Placement: p.placementOf(&successor)})
}

// canResumeFor reports whether a later attempt can resume the stream in place. Until the
// KV cache has reached the decode engine, the stream is lost if its prefill engine fails.
func (g *grant) canResumeFor(d *Demand) bool {
	if d.NoResume || g.decode.Draining || g.decode.removed || avoids(d, g.decode) {
		return false
	}
	if !g.Decoding && g.prefill != nil && avoids(d, g.prefill) {
		return false
	}
	addsNoSuspect := !d.Suspect || g.Demand.Suspect
	return addsNoSuspect || g.decode.suspects == 0 && (g.prefill == nil || g.prefill.suspects == 0)
}

func avoids(d *Demand, e *engine) bool {
	for _, avoided := range d.Avoid {
		if avoided == e.Member {
			return true
		}
	}
	return false
}

func (p *Placer) enqueue(now time.Time, d Demand) {
	if d.Rank == identifier.Urgent {
		p.recordUrgentArrival(now, &d)
	}
	p.recordPrompt(&d)
	need := p.piecesToReserve(&d)
	if !d.TargetMissed && !p.wasRefused(&d) {
		p.arrivalRate.add(now, need)
		p.recordLoad(now, &d)
	}
	if reason, ok := p.checkAdmissible(&d, need); !ok {
		p.refuse(&d, reason, p.settings.Lease)
		return
	}
	deadline := now.Add(d.FirstTokenBudget)
	w := &waitingDemand{demand: d, deadline: deadline, latestStart: deadline.Add(-p.minReadyTime(now, &d) - p.firstTokenDelay())}
	if d.TimeLeft > 0 {
		w.answerBy = now.Add(d.TimeLeft)
	}
	p.limitQueueTime(now, w)
	w.withinShare = p.isWithinShare(&d, need)
	if p.settings.enabled(EarlyRefusal) && p.waitsTooLong(now, w) {
		p.refuseWaiting(w, TooLate, p.retryAfter(now, &d))
		return
	}
	queue := &p.queues[d.Rank]
	if queue.length() >= p.settings.QueueLimit {
		victim := queue.evictionCandidate(w)
		if victim == nil {
			p.refuseWaiting(w, QueueFull, p.retryAfter(now, &d))
			return
		}
		p.dequeue(victim)
		p.refuseWaiting(victim, QueueFull, p.retryAfter(now, &victim.demand))
	}
	w.pieces = need
	w.priority = deadline.Add(time.Duration(need) * p.settings.DelayPerPiece)
	queue.add(w)
	p.queued[d.Request] = w
	p.addAccountUse(&d, 0, need)
}

// minReadyTime returns how long the fastest engine, if idle, takes to compute a prompt
// and send its KV cache; zero without prefill engines.
func (p *Placer) minReadyTime(now time.Time, d *Demand) time.Duration {
	best := time.Duration(math.MaxInt64)
	p.matchPrefixes(now, d)
	for _, e := range p.prefills {
		if e.removed || e.Draining {
			continue
		}
		prefill := timeAtRate(float64(p.uncachedTokens(d, e)), float64(e.prefillRate()))
		best = min(best, prefill+p.transferTime(d, e))
	}
	if best == math.MaxInt64 {
		return 0
	}
	return best
}

// limitQueueTime applies QueueTimeout to a demand that sets it. A retry gets its own,
// longer limit: it has missed its target anyway, and another refusal would be worse for
// its caller than a late answer.
func (p *Placer) limitQueueTime(now time.Time, w *waitingDemand) {
	if w.demand.QueueTimeout <= 0 {
		return
	}
	if w.demand.TargetMissed || p.wasRefused(&w.demand) {
		w.isRetry = true
		p.limitRetryWait(now, w)
		return
	}
	if until := now.Add(w.demand.QueueTimeout); until.Before(w.latestStart) {
		w.latestStart = until
	}
}

const (
	// maxRefusedCallers limits refusedCallers, which is cleared when it is full.
	maxRefusedCallers = 4096
)

func (p *Placer) recordRefusedCaller(d *Demand) {
	if d.RetryKey == 0 {
		return
	}
	if len(p.refusedCallers) >= maxRefusedCallers {
		clear(p.refusedCallers)
	}
	p.refusedCallers[d.RetryKey] = struct{}{}
}

func (p *Placer) wasRefused(d *Demand) bool {
	_, refused := p.refusedCallers[d.RetryKey]
	return refused && d.RetryKey != 0
}

// checkAdmissible reports whether any engines could ever run the demand, or why not.
func (p *Placer) checkAdmissible(d *Demand, need identifier.Pieces) (Reason, bool) {
	prefillFound, fitsOne, decodeFound := false, false, false
	for _, e := range p.prefills {
		prefillFound = prefillFound || (!e.Draining && !e.removed && !avoids(d, e))
	}
	for _, e := range p.decodes {
		if e.Draining || e.removed || avoids(d, e) {
			continue
		}
		decodeFound = true
		fitsOne = fitsOne || e.Pieces >= need
	}
	switch {
	case !prefillFound && p.settings.LocalPrefillRatio <= 0 || !decodeFound:
		return NoMember, false
	case !fitsOne:
		return TooLarge, false
	default:
		return "", true
	}
}

func (p *Placer) dequeue(w *waitingDemand) {
	p.queues[w.demand.Rank].remove(w)
	p.forgetQueued(w)
}

// forgetQueued removes the records of a demand that has left its queue.
func (p *Placer) forgetQueued(w *waitingDemand) {
	delete(p.queued, w.demand.Request)
	p.addAccountUse(&w.demand, 0, -w.pieces)
}

// Withdraw drops a waiting demand whose caller has gone, or cancels its grant. Attempts
// later than the given one are kept.
func (p *Placer) Withdraw(now time.Time, request identifier.Request, attempt uint64) {
	if w := p.queued[request]; w != nil && w.demand.Attempt <= attempt {
		p.dequeue(w)
	}
	if g := p.latestGrants[request]; g != nil && g.Demand.Attempt <= attempt {
		p.cancelGrant(now, g)
	}
}

// Release frees a grant's memory when its node gives it back, and learns from the result.
func (p *Placer) Release(now time.Time, id identifier.Grant, result Result) {
	g := p.grants[id]
	if g == nil {
		return
	}
	g.learnPrefillRate(result.PrefillTime)
	p.learnPrefillEnding(now, g, result.PrefillEnding)
	p.learnEnding(now, g, g.decode, g.process, result.DecodeEnding)
	if result.FailedMember == "" && result.Prefilled {
		p.learnHandOver(now, g.prefill, result.Decoded)
	}
	if result.FailedMember != "" {
		p.startCooldown(now, result.FailedMember)
	} else if result.Decoded && result.Output > 0 && !result.DecodeEnding.Failed() {
		p.estimatorOf(&g.Demand).addToSketch(result.Output, p.settings.OutputQuantile)
		p.estimatorOf(&g.Demand).addToDistribution(result.Output, g.Demand.OutputHint)
		p.learnTokenTime(g, result.Output-g.Output, now.Sub(g.progressAt))
		p.recordFinished(g, result.Output)
	}
	p.freeGrant(now, g)
}

// startCooldown stops new grants on a failed engine for FailureCooldown.
func (p *Placer) startCooldown(now time.Time, member identifier.Member) {
	if e := p.engines[member]; e != nil {
		e.cooldownUntil = now.Add(p.settings.FailureCooldown)
	}
}

// RenewResult is the result of Renew.
type RenewResult uint8

const (
	// Renewed means that the grant is valid.
	Renewed RenewResult = iota
	// Unknown means that the grant is not known here; renew it again with its demand.
	Unknown
	// Revoked means that the grant is lost for good.
	Revoked
)

// Renew extends the lease of a grant and takes over its progress. A grant that is not
// known here was given by an earlier owner, or by a node that could reach no owner. It is
// adopted if it comes with its demand and the request has no grant of that or a later attempt.
func (p *Placer) Renew(now time.Time, h HeldGrant, withDemand bool) RenewResult {
	if g := p.grants[h.Grant]; g != nil {
		p.updateProgress(now, g, h)
		if g.phase == cancelling {
			return Revoked
		}
		p.extendLease(now, g)
		return Renewed
	}
	if !withDemand {
		return Unknown
	}
	if known := p.latestGrants[h.Demand.Request]; known != nil && known.Demand.Attempt >= h.Demand.Attempt {
		return Revoked
	}
	return p.adoptGrant(now, h)
}

func (p *Placer) extendLease(now time.Time, g *grant) {
	g.phase = leased
	g.expiresAt = now.Add(p.settings.Lease)
}

func (p *Placer) updateProgress(now time.Time, g *grant, h HeldGrant) {
	advanced := h.Output > g.Output
	if h.Output != g.Output || h.Decoding != g.Decoding {
		if g.Decoding {
			p.learnTokenTime(g, h.Output-g.Output, now.Sub(g.progressAt))
		}
		g.progressAt = now
		g.decode.forecast.at = time.Time{}
	}
	g.learnPrefillRate(h.PrefillTime)
	g.Output = h.Output
	g.Decoding = h.Decoding
	p.avoidSilent(now, g)
	if h.PrefillTime > 0 {
		p.learnPrefillEnding(now, g, Answered)
	}
	if advanced {
		p.learnRunning(now, g)
	}
	if needed := p.piecesFor(g.Demand.Prompt + h.Output); needed > g.Pieces {
		p.resizeGrant(g, needed)
	}
}

// adoptGrant books a grant that was given elsewhere. A grant on an engine of another
// shard is renewed but not booked.
func (p *Placer) adoptGrant(now time.Time, h HeldGrant) RenewResult {
	decode, prefill := p.engines[h.Decode], p.engines[h.Prefill]
	if decode == nil || decode.Role != identifier.Decode || h.Pieces <= 0 {
		return Renewed
	}
	g := &grant{HeldGrant: h, prefill: prefill, decode: decode, grantedAt: now, plannedStart: now, progressAt: now, requestedAttempt: h.Demand.Attempt, process: decode.Process, adopted: true}
	if prefill != nil {
		g.prefillProcess = prefill.Process
	}
	p.extendLease(now, g)
	p.bookGrant(g)
	return Renewed
}

// EngineUnreachable stops new grants on an unresponsive engine for FailureCooldown.
func (p *Placer) EngineUnreachable(now time.Time, member identifier.Member) {
	p.startCooldown(now, member)
}

// NodeFailed orphans all grants of a failed node and drops its waiting demands.
func (p *Placer) NodeFailed(now time.Time, node identifier.Node) {
	for _, e := range p.sortedEngines {
		for _, g := range e.grants {
			if g.Demand.Node == node && g.phase == leased {
				p.orphanGrant(now, g)
			}
		}
	}
	for _, w := range p.queued {
		if w.demand.Node == node {
			p.dequeue(w)
		}
	}
}

func (p *Placer) orphanGrant(now time.Time, g *grant) {
	g.phase = orphaned
	g.expiresAt = now.Add(p.settings.OrphanGrace)
	p.checkExpiryBy(g.expiresAt)
}

// cancelGrant orders the engines to drop a request. Until they confirm, its memory stays
// booked.
func (p *Placer) cancelGrant(now time.Time, g *grant) {
	g.phase = cancelling
	g.expiresAt = now.Add(p.settings.CancelRetry)
	p.checkExpiryBy(g.expiresAt)
	order := Cancellation{Grant: g.Grant, Request: g.Demand.Request, Stream: g.Stream, Attempt: g.Demand.Attempt}
	if !g.Decoding && g.prefill != nil {
		order.Members = append(order.Members, g.prefill.Member)
	}
	order.Members = append(order.Members, g.decode.Member)
	p.orders = append(p.orders, order)
}

// ConfirmCancel frees the memory of a cancelled grant. Call it after all Members of
// its Cancellation have confirmed that they no longer hold the request.
func (p *Placer) ConfirmCancel(now time.Time, id identifier.Grant) {
	if g := p.grants[id]; g != nil && g.phase == cancelling {
		p.freeGrant(now, g)
	}
}

// expireGrants moves expired grants from leased to orphaned and from orphaned to
// cancelling, and repeats cancel orders that are not confirmed.
func (p *Placer) expireGrants(now time.Time) {
	if p.nextExpiry.IsZero() || now.Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = time.Time{}
	for _, e := range p.sortedEngines {
		for _, g := range e.grants {
			p.expireGrant(now, g)
		}
	}
}

func (p *Placer) expireGrant(now time.Time, g *grant) {
	switch {
	case now.Before(g.expiresAt):
		p.checkExpiryBy(g.expiresAt)
	case g.phase == leased:
		p.orphanGrant(now, g)
	default:
		p.cancelGrant(now, g)
	}
}

// ReportLoad records an engine's own report.
func (p *Placer) ReportLoad(now time.Time, member identifier.Member, load Load) {
	e := p.engines[member]
	if e == nil {
		return
	}
	e.load = load
	e.grantedSinceReport = 0
	for _, g := range e.grants {
		if g.grantedAt.After(load.TakenAt) {
			e.grantedSinceReport += g.Pieces
		}
	}
	if load.Backlog > 0 {
		backlog := timeAtRate(float64(load.Backlog), float64(e.prefillRate()))
		e.prefillBusyUntil = laterOf(e.prefillBusyUntil, load.TakenAt.Add(backlog))
	}
	p.updateAverageStepTime()
	p.prefixes.applyReport(now, e, load)
	p.updateUnclaimed(now, e)
}

// unclaimedStream is a stream that an engine holds memory for without a known grant.
type unclaimedStream struct {
	member  identifier.Member
	request identifier.Request
	stream  uint64
}

func (p *Placer) updateAverageStepTime() {
	var sum time.Duration
	known := 0
	for _, e := range p.decodes {
		if e.load.StepTime > 0 {
			sum += e.load.StepTime
			known++
		}
	}
	p.averageStepTime = sum / time.Duration(max(1, known))
}

// updateUnclaimed sums the memory held by streams without a known grant, and cancels the
// streams that no node has claimed for long enough.
func (p *Placer) updateUnclaimed(now time.Time, e *engine) {
	e.unclaimed = 0
	if e.load.Holding == nil {
		e.unclaimed = e.unexplainedPieces()
		return
	}
	seen := map[unclaimedStream]bool{}
	for _, h := range e.load.Holding {
		if g := p.latestGrants[h.Request]; g != nil && g.decode == e && g.Stream == h.Stream {
			continue
		}
		e.unclaimed += h.Pieces
		s := unclaimedStream{e.Member, h.Request, h.Stream}
		seen[s] = true
		p.cancelUnclaimed(now, s)
	}
	for s := range p.unclaimedStreams {
		if s.member == e.Member && !seen[s] {
			delete(p.unclaimedStreams, s)
		}
	}
}

// cancelUnclaimed orders the cancel of a stream once it has been unclaimed for Lease plus
// OrphanGrace. Within that time a live node would have renewed or taken over its grant.
func (p *Placer) cancelUnclaimed(now time.Time, s unclaimedStream) {
	due, known := p.unclaimedStreams[s]
	if !known {
		p.unclaimedStreams[s] = now.Add(p.settings.Lease + p.settings.OrphanGrace)
		return
	}
	if now.Before(due) {
		return
	}
	p.unclaimedStreams[s] = now.Add(p.settings.CancelRetry)
	p.orders = append(p.orders, Cancellation{
		Request: s.request,
		Stream:  s.stream,
		Attempt: s.stream,
		Members: []identifier.Member{s.member},
	})
}

// unexplainedPieces returns the memory that was in use at the last report, without the
// grants that are valid now or were freed since that report.
func (e *engine) unexplainedPieces() identifier.Pieces {
	known := e.used
	for len(e.recentlyFreed) > 0 && e.recentlyFreed[0].at.Before(e.load.TakenAt) {
		e.recentlyFreed = e.recentlyFreed[1:]
	}
	for _, f := range e.recentlyFreed {
		known += f.pieces
	}
	return max(0, e.Pieces-e.load.Free-known)
}
