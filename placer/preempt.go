package placer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// preemptFor cancels the lesser streams of one engine that cost the least to recompute,
// to free memory for an urgent demand that is about to be late. The nodes of these
// streams submit new demands to resume them.
func (p *Placer) preemptFor(now time.Time, w *waitingDemand, plan prefillPlan) {
	latestStart := w.deadline.Add(-plan.ready.Sub(now) - p.firstTokenDelay())
	if w.hasPreempted || now.Before(latestStart.Add(-p.settings.PreemptionLead)) || now.After(latestStart) {
		return
	}
	var victims []*grant
	cheapest := p.settings.MaxRecomputedTokens + 1
	for _, e := range p.decodes {
		if !e.accepts(now, &w.demand) {
			continue
		}
		chosen, cost, ok := p.chooseVictims(e, w.pieces-e.grantablePieces(p.isRebuilding(now)))
		if ok && cost < cheapest {
			victims, cheapest = chosen, cost
		}
	}
	for _, g := range victims {
		p.cancelGrant(now, g)
	}
	w.hasPreempted = len(victims) > 0
}

// chooseVictims picks lesser streams of an engine to preempt until need is covered, the
// cheapest streams to recompute first, and keeps lesser work at its minimum share. It
// reports false if that does not free enough.
func (p *Placer) chooseVictims(e *engine, need identifier.Pieces) (chosen []*grant, cost identifier.Tokens, ok bool) {
	aboveShare := p.usedByRank[identifier.Lesser] - identifier.Pieces(p.settings.LesserShare*float64(p.decodeCapacity))
	var streams []*grant
	for _, g := range e.grants {
		if g.Demand.Rank == identifier.Lesser && g.phase == leased && g.Decoding {
			streams = append(streams, g)
		}
	}
	sort.Slice(streams, func(i, j int) bool { return streams[i].recomputeTokens() < streams[j].recomputeTokens() })
	for _, g := range streams {
		if need <= 0 || aboveShare < g.Pieces {
			break
		}
		chosen = append(chosen, g)
		cost += g.recomputeTokens()
		need -= g.Pieces
		aboveShare -= g.Pieces
	}
	chosen, cost = dropSurplusVictims(chosen, cost, -need)
	return chosen, cost, need <= 0
}

// dropSurplusVictims drops victims, the most expensive first, whose memory is not needed.
func dropSurplusVictims(chosen []*grant, cost identifier.Tokens, surplus identifier.Pieces) ([]*grant, identifier.Tokens) {
	for i := len(chosen) - 1; i >= 0; i-- {
		if g := chosen[i]; g.Pieces <= surplus {
			surplus -= g.Pieces
			cost -= g.recomputeTokens()
			chosen = append(chosen[:i], chosen[i+1:]...)
		}
	}
	return chosen, cost
}

// recomputeTokens returns the tokens to compute again when a stream is resumed.
func (g *grant) recomputeTokens() identifier.Tokens {
	return g.Demand.Prompt + g.Output
}
