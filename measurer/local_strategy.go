package measurer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// pickPolicy selects how a node picks a decode engine without coordination.
type pickPolicy uint8

const (
	// leastLoaded takes the engine that reported the most free memory.
	leastLoaded pickPolicy = iota
	// powerOfTwo takes the engine with more free memory of two random ones.
	powerOfTwo
	// staticSlices gives each node an equal slice of every engine and takes the
	// engine whose slice has the most free memory. A node knows its own slices exactly.
	staticSlices
)

// localStrategy lets every node place its requests without coordination. A node
// queues requests that it can't place, by rank and then deadline, and refuses late
// ones. It subtracts its own placements since the last load report.
type localStrategy struct {
	run    *run
	policy pickPolicy
	nodes  []*localNode
	// outputSum / outputCount is the average output in tokens, for reservations.
	outputSum   float64
	outputCount float64
}

// engineView is a node's possibly stale knowledge of an engine's load.
type engineView struct {
	reportedFree    identifier.Pieces
	reportedBacklog identifier.Tokens
	// ownPieces and ownBacklog count this node's placements since the report.
	ownPieces  identifier.Pieces
	ownBacklog identifier.Tokens
	// sliceUsed is the memory in use of this node's slice, for staticSlices.
	sliceUsed identifier.Pieces
}

type localNode struct {
	queue    []*request
	decodes  []engineView
	prefills []engineView
	placed   map[*job]placement
}

type placement struct {
	decode int
	pieces identifier.Pieces
}

func newLocalStrategy(r *run, policy pickPolicy) *localStrategy {
	s := &localStrategy{run: r, policy: policy, outputSum: 250, outputCount: 1}
	for range r.setting.nodes {
		node := &localNode{
			decodes:  make([]engineView, len(r.decodes)),
			prefills: make([]engineView, len(r.prefills)),
			placed:   map[*job]placement{},
		}
		for i, e := range r.decodes {
			node.decodes[i].reportedFree = e.pieces
		}
		s.nodes = append(s.nodes, node)
	}
	r.every(reportInterval, s.report)
	r.every(50*time.Millisecond, func() {
		for i := range s.nodes {
			s.placeQueued(i)
		}
	})
	return s
}

// report sends the loads of all engines to all nodes; they arrive after the report lag.
func (s *localStrategy) report() {
	free := make([]identifier.Pieces, len(s.run.decodes))
	for i, e := range s.run.decodes {
		free[i] = e.free
	}
	backlog := make([]identifier.Tokens, len(s.run.prefills))
	for i, e := range s.run.prefills {
		backlog[i] = e.backlog
	}
	s.run.after(s.run.scenario.reportLag, func() {
		for n, node := range s.nodes {
			for i := range free {
				node.decodes[i].reportedFree = free[i]
				node.decodes[i].ownPieces = 0
			}
			for i := range backlog {
				node.prefills[i].reportedBacklog = backlog[i]
				node.prefills[i].ownBacklog = 0
			}
			s.placeQueued(n)
		}
	})
}

func (s *localStrategy) arrive(q *request) {
	node := s.nodes[q.node]
	node.queue = append(node.queue, q)
	sort.SliceStable(node.queue, func(i, j int) bool {
		a, b := node.queue[i], node.queue[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.deadline() < b.deadline()
	})
	s.placeQueued(q.node)
}

// placeQueued launches the queued requests that fit and refuses the late ones. A
// request that fits nowhere doesn't block smaller ones of its rank, but a blocked
// urgent request blocks all lesser ones.
func (s *localStrategy) placeQueued(n int) {
	node := s.nodes[n]
	if s.run.deadNodes[n] {
		return
	}
	var kept []*request
	blocked := false
	for _, q := range node.queue {
		switch {
		case q.state != pending:
		case q.firstTokenAt == 0 && s.run.now > q.deadline():
			s.run.refuse(q)
		case blocked && q.rank == identifier.Lesser:
			kept = append(kept, q)
		case !s.tryPlace(node, q):
			kept = append(kept, q)
			blocked = blocked || q.rank == identifier.Urgent
		}
	}
	node.queue = kept
}

func (s *localStrategy) tryPlace(node *localNode, q *request) bool {
	need := piecesFor(q.prompt + q.generated + identifier.Tokens(s.outputSum/s.outputCount))
	decode := s.pickDecode(node, need)
	if decode < 0 {
		return false
	}
	prefill := 0
	for i := range node.prefills {
		if node.prefills[i].reportedBacklog+node.prefills[i].ownBacklog < node.prefills[prefill].reportedBacklog+node.prefills[prefill].ownBacklog {
			prefill = i
		}
	}
	node.decodes[decode].ownPieces += need
	node.decodes[decode].sliceUsed += need
	node.prefills[prefill].ownBacklog += q.prompt
	q.attempt++
	j := s.run.launch(q, s.run.prefills[prefill], s.run.decodes[decode])
	node.placed[j] = placement{decode, need}
	return true
}

// pickDecode returns the index of a decode engine with enough free memory, or -1.
func (s *localStrategy) pickDecode(node *localNode, need identifier.Pieces) int {
	if s.policy == powerOfTwo {
		first, second := s.run.strategyRandom.IntN(len(node.decodes)), s.run.strategyRandom.IntN(len(node.decodes))
		if s.freePieces(node, second) > s.freePieces(node, first) {
			first = second
		}
		if s.freePieces(node, first) >= need {
			return first
		}
		return -1
	}
	best := -1
	for i := range node.decodes {
		fits := s.freePieces(node, i) >= need || s.policy == staticSlices && node.decodes[i].sliceUsed == 0
		if fits && (best < 0 || s.freePieces(node, i) > s.freePieces(node, best)) {
			best = i
		}
	}
	return best
}

func (s *localStrategy) freePieces(node *localNode, i int) identifier.Pieces {
	if s.policy == staticSlices {
		return s.run.decodes[i].pieces/identifier.Pieces(len(s.nodes)) - node.decodes[i].sliceUsed
	}
	return node.decodes[i].reportedFree - node.decodes[i].ownPieces
}

func (s *localStrategy) jobEnded(j *job, outcome jobOutcome) {
	node := s.nodes[j.request.node]
	node.decodes[node.placed[j].decode].sliceUsed -= node.placed[j].pieces
	delete(node.placed, j)
	if outcome == finished {
		s.outputSum += float64(j.request.output)
		s.outputCount++
	} else {
		s.run.placeAgain(j.request)
	}
	s.placeQueued(j.request.node)
}

func (s *localStrategy) nodeKilled(int) {}
