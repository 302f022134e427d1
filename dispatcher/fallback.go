package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// fallback places requests while the owner cannot be reached: power of two
// choices on the last reports, up to this node's part of each engine.
type fallback struct {
	issued uint64
	// free is what each engine last reported, less what was placed and with
	// what was given back since. Reports came at taken.
	free  map[identifier.Member]identifier.Pieces
	taken time.Time
	// used is what this node placed alone on each engine; grants holds the same.
	used   map[identifier.Member]identifier.Pieces
	grants map[identifier.Grant]aloneGrant
}

type aloneGrant struct {
	decode identifier.Member
	pieces identifier.Pieces
}

func newFallback() fallback {
	return fallback{
		free:   map[identifier.Member]identifier.Pieces{},
		used:   map[identifier.Member]identifier.Pieces{},
		grants: map[identifier.Grant]aloneGrant{},
	}
}

// take remembers what the owner passed on.
func (f *fallback) take(now time.Time, reports []*dispatcherrpc.Report) {
	if len(reports) > 0 {
		f.taken = now
		clear(f.free)
	}
	for _, report := range reports {
		f.free[identifier.Member(report.GetMember())] = identifier.Pieces(report.GetFreePieces())
	}
}

// reportLife is how long reports count without news. After it a node's part of
// the engines is all that bounds it, or an engine that was full once would be
// left idle for as long as no owner can be reached.
const reportLife = 5 * time.Second

// expire forgets reports that are too old.
func (f *fallback) expire(now time.Time) {
	if now.Sub(f.taken) > reportLife {
		clear(f.free)
	}
}

// forget returns the memory of a grant that this node held.
func (f *fallback) forget(h *heldGrant) {
	if free, known := f.free[h.Decode]; known {
		f.free[h.Decode] = free + h.Pieces
	}
	if alone, ok := f.grants[h.Grant]; ok {
		f.used[alone.decode] -= alone.pieces
		delete(f.grants, h.Grant)
	}
}

// placeAlone decides the demands that have waited long enough for the owner.
func (l *link) placeAlone(now time.Time) {
	snapshot := l.options.Snapshot()
	if snapshot == nil || now.Sub(l.failing) < l.options.FallbackAfter {
		return
	}
	pool, ok := snapshot.Pool(l.id.pool)
	if !ok {
		return
	}
	l.fallback.expire(now)
	members := shardMembers(pool, l.id.index, l.options.ShardEngines)
	nodes := max(1, len(l.options.View().Members))
	for _, w := range l.waiting {
		if now.Sub(w.submitted) >= w.demand.FirstTokenBudget {
			l.settle(w, refusal(placer.TooLate, l.options.Lease), false)
			continue
		}
		if placed := l.alone(w, pool, members, nodes); placed != nil {
			l.metrics.count("placed-alone")
			l.options.Log.Log(eventFallback, logger.Fields{"request": w.demand.Request, "decode": placed.Decode})
			l.settle(w, placer.Outcome{Placement: placed}, false)
		}
	}
}

// alone places one demand, or returns nil when this node's part is used up.
func (l *link) alone(w *submission, pool tabulator.Pool, members []tabulator.Member, nodes int) *placer.Placement {
	pieces := identifier.Pieces(1)
	if pool.PieceTokens > 0 {
		pieces = identifier.Pieces((w.demand.Prompt + w.demand.MaxOutput + pool.PieceTokens - 1) / pool.PieceTokens)
	}
	var prefills, decodes []tabulator.Member
	for _, member := range members {
		switch {
		case member.Leaving || avoids(&w.demand, member.Name):
		case member.Role == identifier.Prefill:
			if l.fallback.mayPrefill(member) {
				prefills = append(prefills, member)
			}
		case l.fallback.fits(member, pieces, nodes):
			decodes = append(decodes, member)
		}
	}
	if len(prefills) == 0 || len(decodes) == 0 {
		return nil
	}
	decode := l.fallback.better(decodes, nodes)
	return l.fallback.book(l, w.demand.Attempt, prefills[rand.IntN(len(prefills))].Name, decode.Name, pieces)
}

func avoids(d *placer.Demand, name identifier.Member) bool {
	for _, avoided := range d.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}

// mayPrefill tells whether an engine was last reported to have memory for new work.
func (f *fallback) mayPrefill(member tabulator.Member) bool {
	free, known := f.free[member.Name]
	return !known || free > 0
}

// room is what this node may still place on an engine: no more than its part,
// and no more than was last reported free.
func (f *fallback) room(member tabulator.Member, nodes int) identifier.Pieces {
	part := max(1, member.Pieces/identifier.Pieces(nodes)) - f.used[member.Name]
	if free, known := f.free[member.Name]; known {
		return min(part, free)
	}
	return part
}

// fits tells whether a request may be placed on an engine. One that is larger
// than this node's part fits as the only one.
func (f *fallback) fits(member tabulator.Member, pieces identifier.Pieces, nodes int) bool {
	if f.room(member, nodes) >= pieces {
		return true
	}
	free, known := f.free[member.Name]
	return f.used[member.Name] == 0 && member.Pieces >= pieces && (!known || free >= pieces)
}

// better is the one with more room of two engines picked at random.
func (f *fallback) better(members []tabulator.Member, nodes int) tabulator.Member {
	first := members[rand.IntN(len(members))]
	second := members[rand.IntN(len(members))]
	if f.room(second, nodes) > f.room(first, nodes) {
		return second
	}
	return first
}

func (f *fallback) book(l *link, attempt uint64, prefill, decode identifier.Member, pieces identifier.Pieces) *placer.Placement {
	f.issued++
	incarnation := l.options.View().Self.Incarnation
	grant := identifier.Grant(fmt.Sprintf("%s.%d.%s.%d.alone-%d", l.options.Self, incarnation, l.id.pool, l.id.index, f.issued))
	f.grants[grant] = aloneGrant{decode: decode, pieces: pieces}
	f.used[decode] += pieces
	if free, known := f.free[decode]; known {
		f.free[decode] = free - pieces
	}
	return &placer.Placement{
		Grant:   grant,
		Prefill: prefill,
		Decode:  decode,
		Pieces:  pieces,
		Attempt: attempt,
		Stream:  attempt,
		Lease:   l.options.Lease,
	}
}
