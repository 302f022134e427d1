package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Advance expires leases, refuses demands that are too late, and places as many waiting
// demands as fit. Call it after each batch of events and at least once in each lease
// time.
func (p *Placer) Advance(now time.Time) {
	p.expireGrants(now)
	p.refuseExpired(now)
	p.limitByOutcomes(now)
	p.place(now)
}

func (p *Placer) refuseExpired(now time.Time) {
	for _, rank := range identifier.Ranks {
		queue := &p.queues[rank]
		for w := queue.firstExpired(now); w != nil; w = queue.firstExpired(now) {
			p.dequeue(w)
			w.blockedBy = cmp.Or(w.blockedBy, BlockerTurn)
			p.refuseWaiting(w, TooLate, p.retryAfter(now, &w.demand))
		}
	}
}

type placeResult uint8

const (
	placed placeResult = iota
	refused
	// noMemory means that no decode engine has the memory now.
	noMemory
	// noLongPrefillSlot means that too many prefill engines run long lesser prefills
	// already.
	noLongPrefillSlot
	// noPrefill means that no prefill engine can take the prompt soon enough.
	noPrefill
)

// blockersByResult maps the results that leave a demand in its queue to what blocks it.
var blockersByResult = map[placeResult]Blocker{noMemory: BlockerMemory, noLongPrefillSlot: BlockerTurn, noPrefill: BlockerPrefill}

// place tries the waiting demands. First attempts go before repeats of any rank, which have missed
// their target. The ranks below urgent that have less than their minimum share go first, then all
// ranks, the most urgent first. While a demand of one step waits for an engine, the later steps
// grant nothing.
func (p *Placer) place(now time.Time) {
	for _, rank := range slices.Backward(identifier.Ranks[identifier.Urgent+1:]) {
		if !p.placeFromQueue(now, rank, firstAttempts, func() bool { return p.isBelowShare(rank) }) {
			return
		}
	}
	for _, turns := range [...]turns{firstAttempts, repeats} {
		if !p.placeFromQueue(now, identifier.Urgent, turns, always) {
			return
		}
		for _, rank := range identifier.Ranks[identifier.Urgent+1:] {
			if !p.placeFromQueue(now, rank, turns, func() bool { return p.hasHeadroom(now, rank) }) {
				return
			}
		}
	}
}

func always() bool { return true }

// hasHeadroom reports whether the free memory covers what work of more urgent ranks is
// granted in HeadroomTime, so that its next burst finds memory without a preemption.
func (p *Placer) hasHeadroom(now time.Time, rank identifier.Rank) bool {
	if p.settings.UseForecast || !p.settings.enabled(Headroom) {
		// With UseForecast the forecast limits lesser work. Counted by reservations,
		// there would never be any headroom.
		return true
	}
	return float64(p.unreservedPieces()) >= p.moreUrgentRate(now, rank)*p.settings.HeadroomTime.Seconds()
}

// unreservedPieces returns the decode memory that no grant reserves.
func (p *Placer) unreservedPieces() identifier.Pieces {
	free := p.decodeCapacity
	for _, used := range p.usedByRank {
		free -= used
	}
	return free
}

// moreUrgentRate returns the memory, in pieces a second, that more urgent ranks are granted.
func (p *Placer) moreUrgentRate(now time.Time, rank identifier.Rank) float64 {
	rate := 0.0
	for _, above := range identifier.Ranks[:rank] {
		rate += p.grantedRates[above].perSecond(now)
	}
	return rate
}

// isBelowShare reports whether a rank below urgent has less than its minimum share.
func (p *Placer) isBelowShare(rank identifier.Rank) bool {
	return float64(p.usedByRank[rank]) < p.settings.LesserShare*float64(p.decodeCapacity)
}

// placeFromQueue tries one rank's demands of some turns in order while mayPlace returns true and
// fewer than Lookahead are blocked, up to the first noPrefill of a demand that may use all engines.
// It reports whether none was blocked.
func (p *Placer) placeFromQueue(now time.Time, rank identifier.Rank, turns turns, mayPlace func() bool) bool {
	queue := &p.queues[rank]
	blocked := p.blockedScratch[:0]
	for len(blocked) < p.settings.Lookahead && mayPlace() {
		w := queue.popNext(turns)
		if w == nil {
			break
		}
		result := p.tryPlace(now, w)
		if result == placed || result == refused {
			queue.removePopped(w)
			p.forgetQueued(w)
			continue
		}
		blocked = append(blocked, w)
		w.blockedBy = blockersByResult[result]
		if result == noPrefill && !w.demand.isChoosy() {
			break
		}
	}
	for _, w := range blocked {
		queue.putBack(w)
	}
	clear(blocked)
	p.blockedScratch = blocked[:0]
	return len(blocked) == 0
}

// isChoosy reports whether the demand may not use some engines. What blocks it doesn't block others.
func (d *Demand) isChoosy() bool {
	return len(d.Avoid) > 0 || d.Suspect
}

// tryPlace grants one demand its engines if they have the capacity, or refuses it if it
// is too late. It may preempt lesser streams for an urgent demand.
func (p *Placer) tryPlace(now time.Time, w *waitingDemand) placeResult {
	d := &w.demand
	plan := p.bestPrefill(now, w)
	prefillWaits := plan.engine == nil || plan.begin.Sub(now) > p.settings.MaxPrefillWait
	if prefillWaits && p.grantLocalPrefill(now, w) {
		return placed
	}
	if plan.engine == nil {
		return noPrefill
	}
	if plan.ready.Add(p.firstTokenDelay()).After(w.deadline) {
		w.blockedBy = BlockerPrefill
		p.refuseWaiting(w, TooLate, p.retryAfter(now, d))
		return refused
	}
	if plan.begin.Sub(now) > p.settings.MaxPrefillWait || plan.linkWait > p.settings.MaxLinkWait {
		return noPrefill
	}
	if p.isLongPrefill(d, plan) && !p.mayRunLongPrefill(now, plan.engine) {
		return noLongPrefillSlot
	}
	decode := p.chooseDecode(now, w, plan)
	if decode == nil {
		if d.Rank == identifier.Urgent && p.settings.enabled(Preemption) {
			p.preemptFor(now, w, plan)
		}
		return noMemory
	}
	p.grantDemand(now, w, plan, decode)
	return placed
}

// grantDeliveryTime is how long a grant takes to reach its node and then its engines.
const grantDeliveryTime = 3 * time.Millisecond

// firstTokenDelay returns the time from the arrival of the KV cache to the first token.
func (p *Placer) firstTokenDelay() time.Duration {
	return p.averageStepTime + grantDeliveryTime
}

// prefillPlan is a planned prefill; engine is nil if the decode engine reads the prompt.
type prefillPlan struct {
	engine *engine
	// begin and end are when the prefill runs. Its KV cache then waits linkWait for the
	// link, and ready is when the KV cache has arrived.
	begin    time.Time
	end      time.Time
	linkWait time.Duration
	ready    time.Time
}

// bestPrefill returns the plan with the earliest ready time; its engine is nil if no
// engine accepts the demand. CrossDataCentrePenalty is added for engines outside the
// submitting node's data centre. A limited engine that may get a probe is preferred if it can end
// the prefill in time.
func (p *Placer) bestPrefill(now time.Time, w *waitingDemand) prefillPlan {
	d := &w.demand
	var best prefillPlan
	var bestAt time.Time
	p.matchPrefixes(now, d)
	for _, e := range p.prefills {
		// An engine that is busy beyond the best ready time cannot beat it.
		if best.engine != nil && !e.prefillBusyUntil.Before(bestAt) || !e.accepts(now, d) {
			continue
		}
		plan := p.planPrefill(now, d, e)
		at := plan.ready
		if preference := e.probePreference(now, d); preference > 0 {
			if plan.begin.Sub(now) > p.settings.MaxPrefillWait || plan.linkWait > p.settings.MaxLinkWait {
				continue
			}
			if !plan.ready.Add(p.firstTokenDelay()).After(w.deadline) {
				at = at.Add(-preference)
			}
		}
		if e.DataCentre != d.DataCentre {
			at = at.Add(p.settings.CrossDataCentrePenalty)
		}
		if best.engine == nil || at.Before(bestAt) {
			best, bestAt = plan, at
		}
	}
	return best
}

// planPrefill returns when an engine would compute a prompt and send its KV cache, behind
// the work already granted to it.
func (p *Placer) planPrefill(now time.Time, d *Demand, e *engine) prefillPlan {
	begin := laterOf(now, e.prefillBusyUntil)
	end := begin.Add(timeAtRate(float64(p.uncachedTokens(d, e)), float64(e.prefillRate())))
	transferStart := end
	if p.settings.enabled(LinkBudget) {
		transferStart = laterOf(end, e.linkBusyUntil)
	}
	ready := transferStart.Add(p.transferTime(d, e))
	return prefillPlan{engine: e, begin: begin, end: end, linkWait: transferStart.Sub(end), ready: ready}
}

// transferTime returns how long a prompt's KV cache takes over an engine's link.
func (p *Placer) transferTime(d *Demand, e *engine) time.Duration {
	return timeAtRate(float64(d.Prompt)*float64(p.settings.KVBytesPerToken), float64(e.linkRate()))
}

func (p *Placer) chooseDecode(now time.Time, w *waitingDemand, plan prefillPlan) *engine {
	if p.settings.UseForecast {
		return p.decodeByForecast(now, w, plan)
	}
	return p.decodeByFreeMemory(now, &w.demand, w.pieces, plan)
}

// decodeByFreeMemory returns the engine that has the needed memory and the largest free
// share, with a bonus for the prefill engine's data centre and penalties for a busy link
// or slow steps. It returns nil if no engine has the memory.
func (p *Placer) decodeByFreeMemory(now time.Time, d *Demand, need identifier.Pieces, plan prefillPlan) *engine {
	rebuilding := p.isRebuilding(now)
	var best *engine
	bestScore := 0.0
	for _, e := range p.decodes {
		free := e.grantablePieces(rebuilding)
		if p.settings.enabled(JointGrant) && free < need || !e.accepts(now, d) {
			continue
		}
		score := float64(free)/float64(e.Pieces) + e.probePreference(now, d).Seconds()
		if e.DataCentre == plan.engine.DataCentre {
			score += sameDataCentreBonus
		}
		if p.settings.enabled(LinkBudget) && e.linkBusyUntil.After(plan.end) {
			score -= e.linkBusyUntil.Sub(plan.end).Seconds() * linkWaitPenaltyPerSecond
		}
		if d.MaxTokenInterval > 0 && e.load.StepTime > d.MaxTokenInterval {
			score -= slowStepPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

const (
	// sameDataCentreBonus is the share of free memory by which a decode engine in the
	// prefill engine's data centre is preferred.
	sameDataCentreBonus = 0.1
	// linkWaitPenaltyPerSecond is subtracted from a decode engine's score, its free share
	// of memory, for each second that the KV cache would wait for the engine's link.
	linkWaitPenaltyPerSecond = 1
	// slowStepPenalty puts engines whose steps take longer than MaxTokenInterval last.
	slowStepPenalty = 10
)

// grantDemand books a grant of a demand and adds the decision.
func (p *Placer) grantDemand(now time.Time, w *waitingDemand, plan prefillPlan, decode *engine) {
	p.grantedRates[w.demand.Rank].add(now, w.pieces)
	decode.grantedSinceReport += w.pieces
	decode.takeQuota()
	g := &grant{
		HeldGrant: HeldGrant{
			Grant:  p.nextGrant(),
			Demand: w.demand,
			Decode: decode.Member,
			Pieces: w.pieces,
			Stream: w.demand.Attempt,
		},
		decode:           decode,
		grantedAt:        now,
		plannedStart:     plan.ready,
		progressAt:       plan.ready,
		requestedAttempt: w.demand.Attempt,
		expiresAt:        now.Add(p.settings.Lease),
		process:          decode.Process,
	}
	p.countGrant(now, decode)
	if plan.engine != nil {
		p.bookPrefill(now, g, plan)
	}
	p.bookGrant(g)
	p.addDecision(&w.demand, Outcome{Placement: p.placementOf(g)})
}

// bookPrefill books the prefill of a grant on its engine and on both links.
func (p *Placer) bookPrefill(now time.Time, g *grant, plan prefillPlan) {
	e := plan.engine
	e.takeQuota()
	p.countGrant(now, e)
	g.Prefill, g.prefill, g.prefillProcess = e.Member, e, e.Process
	g.uncachedPrompt = p.uncachedTokens(&g.Demand, e)
	e.joinPrefillBatch(g)
	e.prefillBusyUntil = plan.end
	e.linkBusyUntil = plan.ready
	if p.isLongPrefill(&g.Demand, plan) {
		e.longPrefillUntil = plan.end
	}
	g.decode.linkBusyUntil = laterOf(g.decode.linkBusyUntil, plan.ready)
	for _, prefix := range g.Demand.Prefixes {
		p.prefixes.addGranted(now, e, prefix)
	}
}

func (p *Placer) placementOf(g *grant) *Placement {
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

func (p *Placer) addDecision(d *Demand, outcome Outcome) {
	p.decisions = append(p.decisions, Decision{
		Request: d.Request,
		Attempt: d.Attempt,
		Node:    d.Node,
		Outcome: outcome,
	})
}

func (p *Placer) refuse(d *Demand, reason Reason, retryAfter time.Duration) {
	p.refuseFor(d, reason, p.refusalCause(d), retryAfter)
}

// refuseWaiting refuses a demand that was queued, or would have been, and gives what blocked it
// as part of the cause.
func (p *Placer) refuseWaiting(w *waitingDemand, reason Reason, retryAfter time.Duration) {
	cause := p.refusalCause(&w.demand)
	cause.BlockedBy = w.blockedBy
	cause.BeyondShare = !w.withinShare
	p.refuseFor(&w.demand, reason, cause, retryAfter)
}

func (p *Placer) refuseFor(d *Demand, reason Reason, cause Cause, retryAfter time.Duration) {
	p.recordRefusedCaller(d)
	p.addDecision(d, Outcome{Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter, Cause: cause}})
}

func (p *Placer) refusalCause(d *Demand) Cause {
	cause := Cause{IsRetry: p.wasRefused(d)}
	for i := range p.queues {
		cause.Waiting += p.queues[i].length()
	}
	for _, e := range p.decodes {
		if e.Draining || e.removed {
			continue
		}
		cause.Engines++
		if peak := e.lastPeakUse; peak > 0 && (cause.LowestPeakUse == 0 || peak < cause.LowestPeakUse) {
			cause.LowestPeakUse = math.Round(peak*100) / 100
		}
	}
	return cause
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns after what time the caller of a refused demand should come back. Without
// UseForecast it is how long the queued demands of this rank and of more urgent ones wait for
// memory, at least minRetryAfter and at most maxRetryAfter. Call it once for each refusal.
func (p *Placer) retryAfter(now time.Time, d *Demand) time.Duration {
	if p.settings.UseForecast {
		return p.promiseReturn(now, d)
	}
	ahead := p.queuedPieces(identifier.Ranks[:d.Rank+1])
	rate := p.freedRate.perSecond(now)
	if rate <= 0 {
		return minRetryAfter
	}
	return min(max(timeAtRate(float64(ahead), rate), minRetryAfter), maxRetryAfter)
}
