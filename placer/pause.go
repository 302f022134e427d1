package placer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// pauseFor stops the lesser streams of one engine that are the cheapest to
// compute again, so that an urgent demand about to be late gets its memory. The
// nodes of the stopped streams ask for memory once more.
func (p *Placer) pauseFor(now time.Time, w *waiting, start run) {
	last := w.deadline.Add(-start.ready.Sub(now) - p.afterReady())
	if w.pausing || now.Before(last.Add(-p.settings.PauseLead)) || now.After(last) {
		return
	}
	var victims []*grant
	cheapest := p.settings.PauseTokens + 1
	for _, e := range p.decodes {
		if !e.takes(now, &w.demand) {
			continue
		}
		chosen, cost, ok := p.victims(e, w.pieces-e.free(p.rebuilding(now)))
		if ok && cost < cheapest {
			victims, cheapest = chosen, cost
		}
	}
	for _, g := range victims {
		p.cancel(now, g)
	}
	w.pausing = len(victims) > 0
}

// victims picks the lesser streams of an engine to stop for some memory, those
// with the least to compute first.
func (p *Placer) victims(e *engine, need identifier.Pieces) (chosen []*grant, cost identifier.Tokens, ok bool) {
	spare := p.used[identifier.Lesser] - identifier.Pieces(p.settings.LesserShare*float64(p.capacity))
	var streams []*grant
	for _, g := range e.held {
		if g.Demand.Rank == identifier.Lesser && g.phase == held && g.Decoding {
			streams = append(streams, g)
		}
	}
	sort.Slice(streams, func(i, j int) bool { return streams[i].resumeCost() < streams[j].resumeCost() })
	for _, g := range streams {
		if need <= 0 || spare < g.Pieces {
			break
		}
		chosen = append(chosen, g)
		cost += g.resumeCost()
		need -= g.Pieces
		spare -= g.Pieces
	}
	chosen, cost = spareVictims(chosen, cost, -need)
	return chosen, cost, need <= 0
}

// spareVictims lets those streams go on, the dearest first, whose memory is more
// than what is needed.
func spareVictims(chosen []*grant, cost identifier.Tokens, surplus identifier.Pieces) ([]*grant, identifier.Tokens) {
	for i := len(chosen) - 1; i >= 0; i-- {
		if g := chosen[i]; g.Pieces <= surplus {
			surplus -= g.Pieces
			cost -= g.resumeCost()
			chosen = append(chosen[:i], chosen[i+1:]...)
		}
	}
	return chosen, cost
}

// resumeCost is the tokens to compute when a stream goes on later.
func (g *grant) resumeCost() identifier.Tokens {
	return g.Demand.Prompt + g.Output
}
