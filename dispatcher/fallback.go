package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// fallback places requests while the owner is unreachable. It picks engines by
// power of two choices, using the last reports and this node's share of each
// engine, which is the engine's memory divided by the number of nodes. Where that is
// less than a request needs, each engine serves only as many nodes as it has room for
// requests. It is guarded by the mutex of its shardClient.
type fallback struct {
	issuedGrants uint64
	// freePieces is the free memory that each engine last reported, adjusted for
	// the grants placed locally and the grants released since.
	freePieces map[identifier.Member]identifier.Pieces
	reportedAt time.Time
	// placedPieces is the memory of the grants issued locally, by decode engine.
	placedPieces map[identifier.Member]identifier.Pieces
	grants       map[identifier.Grant]localGrant
}

// localGrant is a grant that this node issued without the owner.
type localGrant struct {
	decode identifier.Member
	pieces identifier.Pieces
}

func newFallback() fallback {
	return fallback{
		freePieces:   map[identifier.Member]identifier.Pieces{},
		placedPieces: map[identifier.Member]identifier.Pieces{},
		grants:       map[identifier.Grant]localGrant{},
	}
}

// setReports replaces the engine reports with those from the owner, if it sent any.
func (f *fallback) setReports(now time.Time, reports []*dispatcherrpc.Report) {
	if len(reports) > 0 {
		f.reportedAt = now
		clear(f.freePieces)
	}
	for _, report := range reports {
		f.freePieces[identifier.Member(report.GetMember())] = identifier.BoundedPieces(report.GetFreePieces())
	}
}

// reportLifetime is how long the last reports are used. Without a limit, an engine
// that was full at the last report would stay idle until an owner is reachable.
// Without reports, only this node's share of each engine limits placement.
const reportLifetime = 5 * time.Second

func (f *fallback) expireReports(now time.Time) {
	if now.Sub(f.reportedAt) > reportLifetime {
		clear(f.freePieces)
	}
}

// releaseMemory adds the memory of a grant that is no longer held to the free memory.
func (f *fallback) releaseMemory(h *heldGrant) {
	if free, known := f.freePieces[h.Decode]; known {
		f.freePieces[h.Decode] = free + h.Pieces
	}
	if local, ok := f.grants[h.Grant]; ok {
		f.placedPieces[local.decode] -= local.pieces
		delete(f.grants, h.Grant)
	}
}

// placeWaitingLocally places waiting demands without the owner, once exchanges
// have failed for FallbackAfter. The caller must hold the mutex.
func (c *shardClient) placeWaitingLocally(now time.Time) {
	snapshot := c.options.Snapshot()
	if snapshot == nil || now.Sub(c.failingSince) < c.options.FallbackAfter {
		return
	}
	pool, ok := snapshot.Pool(c.id.pool)
	if !ok {
		return
	}
	c.fallback.expireReports(now)
	members := shardMembers(pool, c.id.index, c.options.ShardEngines)
	nodeCount := max(1, len(c.options.View().Members))
	for _, w := range c.waiting {
		if now.Sub(w.submittedAt) >= w.demand.FirstTokenBudget {
			c.resolve(w, refusal(placer.TooLate, c.options.Lease), false)
			continue
		}
		if placed := c.placeLocally(w, pool, members, nodeCount); placed != nil {
			c.metrics.increment("placed-alone")
			c.options.Log.Log(eventFallback, logger.Fields{"request": w.demand.Request, "decode": placed.Decode})
			c.resolve(w, placer.Outcome{Placement: placed}, false)
		}
	}
}

// placeLocally places one demand without the owner. It returns nil if no prefill
// or no decode engine can take it. The caller must hold the mutex.
func (c *shardClient) placeLocally(w *submission, pool tabulator.Pool, members []tabulator.Member, nodeCount int) *placer.Placement {
	pieces := identifier.Pieces(1)
	if pool.PieceTokens > 0 {
		pieces = identifier.Pieces((w.demand.Prompt + w.demand.MaxOutput + pool.PieceTokens - 1) / pool.PieceTokens)
	}
	var prefills, decodes []tabulator.Member
	limited := c.outcomes.limited(time.Now(), members)
	for _, member := range members {
		if limited[member.Name] {
			continue
		}
		switch {
		case member.Leaving || avoids(&w.demand, member.Name):
		case member.Role == identifier.Prefill:
			if c.fallback.canPrefill(member) {
				prefills = append(prefills, member)
			}
		case c.fallback.canDecode(c.options.Self, member, pieces, nodeCount):
			decodes = append(decodes, member)
		}
	}
	if len(prefills) == 0 || len(decodes) == 0 {
		return nil
	}
	decode := c.fallback.pickDecode(decodes, nodeCount)
	return c.fallback.issueGrant(c, w.demand.Attempt, prefills[rand.IntN(len(prefills))].Name, decode.Name, pieces)
}

func avoids(d *placer.Demand, name identifier.Member) bool {
	for _, avoided := range d.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}

// canPrefill reports whether an engine's last report, if any, had free memory.
func (f *fallback) canPrefill(member tabulator.Member) bool {
	free, known := f.freePieces[member.Name]
	return !known || free > 0
}

// headroom returns the memory that this node can still use on an engine: the unused
// part of its share, limited to the free memory according to the last report.
func (f *fallback) headroom(member tabulator.Member, nodeCount int) identifier.Pieces {
	share := max(1, member.Pieces/identifier.Pieces(nodeCount)) - f.placedPieces[member.Name]
	if free, known := f.freePieces[member.Name]; known {
		return min(share, free)
	}
	return share
}

// canDecode reports whether a request fits into an engine's headroom. A request
// larger than this node's share also fits if the engine is one of those that serve the node,
// and the node has no other request there.
func (f *fallback) canDecode(node identifier.Node, member tabulator.Member, pieces identifier.Pieces, nodeCount int) bool {
	if f.headroom(member, nodeCount) >= pieces {
		return true
	}
	free, known := f.freePieces[member.Name]
	fits := f.placedPieces[member.Name] == 0 && member.Pieces >= pieces && (!known || free >= pieces)
	return fits && servesAlone(member, node, pieces, nodeCount)
}

// servesAlone reports whether a node may place a request on an engine without the owner
// although its share of the engine is smaller. On average it holds for as many nodes as the
// engine has room for requests, so that nodes that all lose the owner don't fill the engines
// many times over.
func servesAlone(member tabulator.Member, node identifier.Node, pieces identifier.Pieces, nodeCount int) bool {
	room := uint64(member.Pieces / pieces)
	return xxhash.Sum64String(string(member.Name)+"/"+string(node))%uint64(nodeCount) < room
}

// pickDecode picks two engines at random and returns the one with more headroom.
func (f *fallback) pickDecode(members []tabulator.Member, nodeCount int) tabulator.Member {
	first := members[rand.IntN(len(members))]
	second := members[rand.IntN(len(members))]
	if f.headroom(second, nodeCount) > f.headroom(first, nodeCount) {
		return second
	}
	return first
}

func (f *fallback) issueGrant(c *shardClient, attempt uint64, prefill, decode identifier.Member, pieces identifier.Pieces) *placer.Placement {
	f.issuedGrants++
	incarnation := c.options.View().Self.Incarnation
	grant := identifier.Grant(fmt.Sprintf("%s.%d.%s.%d.alone-%d", c.options.Self, incarnation, c.id.pool, c.id.index, f.issuedGrants))
	f.grants[grant] = localGrant{decode: decode, pieces: pieces}
	f.placedPieces[decode] += pieces
	if free, known := f.freePieces[decode]; known {
		f.freePieces[decode] = free - pieces
	}
	return &placer.Placement{
		Grant:   grant,
		Prefill: prefill,
		Decode:  decode,
		Pieces:  pieces,
		Attempt: attempt,
		Stream:  attempt,
		Lease:   c.options.Lease,
		Alone:   true,
	}
}
