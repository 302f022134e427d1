package measurer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// choice is how a node that decides alone picks a decode engine.
type choice uint8

const (
	// leastLoaded takes the engine that reported the most free memory.
	leastLoaded choice = iota
	// powerOfTwo takes the better of two engines picked at random.
	powerOfTwo
	// staticSlices takes the engine with the most free memory in the node's
	// own part of it, which the node knows exactly.
	staticSlices
)

// alone is every node deciding by itself. A node queues what it can't place,
// urgent work and early deadlines first, and drops what is late. It counts its
// own placements since the reports that it knows.
type alone struct {
	run    *run
	choice choice
	nodes  []*aloneNode
	// outputs over finished is the average output, for reservations.
	outputs  float64
	finished float64
}

// view is what a node knows about an engine.
type view struct {
	reported identifier.Pieces
	backlog  identifier.Tokens
	// own and ownBacklog are this node's placements since the report.
	own        identifier.Pieces
	ownBacklog identifier.Tokens
	// slice is what this node uses of its part, for static slices.
	slice identifier.Pieces
}

type aloneNode struct {
	queue    []*request
	decodes  []view
	prefills []view
	placed   map[*job]placement
}

type placement struct {
	decode int
	pieces identifier.Pieces
}

func newAlone(r *run, how choice) *alone {
	s := &alone{run: r, choice: how, outputs: 250, finished: 1}
	for range r.setting.nodes {
		node := &aloneNode{
			decodes:  make([]view, len(r.decodes)),
			prefills: make([]view, len(r.prefills)),
			placed:   map[*job]placement{},
		}
		for i, e := range r.decodes {
			node.decodes[i].reported = e.pieces
		}
		s.nodes = append(s.nodes, node)
	}
	r.every(reportInterval, s.report)
	r.every(50*time.Millisecond, func() {
		for i := range s.nodes {
			s.place(i)
		}
	})
	return s
}

// report sends all engines' loads to all nodes, which see them late.
func (s *alone) report() {
	free := make([]identifier.Pieces, len(s.run.decodes))
	for i, e := range s.run.decodes {
		free[i] = e.free
	}
	backlog := make([]identifier.Tokens, len(s.run.prefills))
	for i, e := range s.run.prefills {
		backlog[i] = e.backlog
	}
	s.run.after(s.run.scenario.lag, func() {
		for n, node := range s.nodes {
			for i := range free {
				node.decodes[i].reported = free[i]
				node.decodes[i].own = 0
			}
			for i := range backlog {
				node.prefills[i].backlog = backlog[i]
				node.prefills[i].ownBacklog = 0
			}
			s.place(n)
		}
	})
}

func (s *alone) arrive(q *request) {
	node := s.nodes[q.node]
	node.queue = append(node.queue, q)
	sort.SliceStable(node.queue, func(i, j int) bool {
		a, b := node.queue[i], node.queue[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.deadline() < b.deadline()
	})
	s.place(q.node)
}

// place launches what fits and drops what is late. A request that fits nowhere
// lets smaller ones of its rank pass.
func (s *alone) place(n int) {
	node := s.nodes[n]
	if s.run.dead[n] {
		return
	}
	var kept []*request
	blocked := false
	for _, q := range node.queue {
		switch {
		case q.state != open:
		case q.first == 0 && s.run.now > q.deadline():
			s.run.refuse(q)
		case blocked && q.rank == identifier.Lesser:
			kept = append(kept, q)
		case !s.try(node, q):
			kept = append(kept, q)
			blocked = blocked || q.rank == identifier.Urgent
		}
	}
	node.queue = kept
}

func (s *alone) try(node *aloneNode, q *request) bool {
	need := memoryOf(q.prompt + q.generated + identifier.Tokens(s.outputs/s.finished))
	decode := s.pick(node, need)
	if decode < 0 {
		return false
	}
	prefill := 0
	for i := range node.prefills {
		if node.prefills[i].backlog+node.prefills[i].ownBacklog < node.prefills[prefill].backlog+node.prefills[prefill].ownBacklog {
			prefill = i
		}
	}
	node.decodes[decode].own += need
	node.decodes[decode].slice += need
	node.prefills[prefill].ownBacklog += q.prompt
	q.attempt++
	j := s.run.launch(q, s.run.prefills[prefill], s.run.decodes[decode])
	node.placed[j] = placement{decode, need}
	return true
}

// pick returns a decode engine with room, or -1.
func (s *alone) pick(node *aloneNode, need identifier.Pieces) int {
	if s.choice == powerOfTwo {
		first, second := s.run.random.IntN(len(node.decodes)), s.run.random.IntN(len(node.decodes))
		if s.room(node, second) > s.room(node, first) {
			first = second
		}
		if s.room(node, first) >= need {
			return first
		}
		return -1
	}
	best := -1
	for i := range node.decodes {
		fits := s.room(node, i) >= need || s.choice == staticSlices && node.decodes[i].slice == 0
		if fits && (best < 0 || s.room(node, i) > s.room(node, best)) {
			best = i
		}
	}
	return best
}

func (s *alone) room(node *aloneNode, i int) identifier.Pieces {
	if s.choice == staticSlices {
		return s.run.decodes[i].pieces/identifier.Pieces(len(s.nodes)) - node.decodes[i].slice
	}
	return node.decodes[i].reported - node.decodes[i].own
}

func (s *alone) ended(j *job, how ending) {
	node := s.nodes[j.request.node]
	node.decodes[node.placed[j].decode].slice -= node.placed[j].pieces
	delete(node.placed, j)
	if how == finished {
		s.outputs += float64(j.request.output)
		s.finished++
	} else {
		s.run.again(j.request)
	}
	s.place(j.request.node)
}

func (s *alone) killed(int) {}
