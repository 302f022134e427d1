package measurer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// pickPolicy is how a node that decides alone picks a decode engine.
type pickPolicy uint8

const (
	// leastLoaded takes the engine that reported the most free memory.
	leastLoaded pickPolicy = iota
	// powerOfTwo takes the better of two engines picked at random.
	powerOfTwo
	// staticSlices takes the engine with the most free memory in the node's
	// own part of it, which the node knows exactly.
	staticSlices
)

// localStrategy is every node deciding by itself. A node queues what it can't place,
// urgent work and early deadlines first, and drops what is late. It counts its
// own placements since the reports that it knows.
type localStrategy struct {
	run    *run
	policy pickPolicy
	nodes  []*localNode
	// outputSum over finished is the average output, for reservations.
	outputSum   float64
	outputCount float64
}

// view is what a node knows about an engine.
type view struct {
	reportedFree identifier.Pieces
	backlog      identifier.Tokens
	// ownPieces and ownBacklog are this node's placements since the report.
	ownPieces  identifier.Pieces
	ownBacklog identifier.Tokens
	// sliceUsed is what this node uses of its part, for static slices.
	sliceUsed identifier.Pieces
}

type localNode struct {
	queue    []*request
	decodes  []view
	prefills []view
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
			decodes:  make([]view, len(r.decodes)),
			prefills: make([]view, len(r.prefills)),
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

// report sends all engines' loads to all nodes, which see them late.
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
				node.prefills[i].backlog = backlog[i]
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

// placeQueued launches what fits and drops what is late. A request that fits nowhere
// lets smaller ones of its rank pass.
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
		case q.first == 0 && s.run.now > q.deadline():
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
		if node.prefills[i].backlog+node.prefills[i].ownBacklog < node.prefills[prefill].backlog+node.prefills[prefill].ownBacklog {
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

// pickDecode returns a decode engine with room, or -1.
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

func (s *localStrategy) jobEnded(j *job, how jobOutcome) {
	node := s.nodes[j.request.node]
	node.decodes[node.placed[j].decode].sliceUsed -= node.placed[j].pieces
	delete(node.placed, j)
	if how == finished {
		s.outputSum += float64(j.request.output)
		s.outputCount++
	} else {
		s.run.placeAgain(j.request)
	}
	s.placeQueued(j.request.node)
}

func (s *localStrategy) nodeKilled(int) {}
