package measurer

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// The times of the dispatcher's messages.
const (
	// Tick is the default batch interval of a node.
	Tick = 10 * time.Millisecond
	// leaseTime and renewInterval are those of grants.
	leaseTime     = 3 * time.Second
	renewInterval = time.Second
	// takeOver is how long after its death an owner is replaced.
	takeOver = 1500 * time.Millisecond
	// fallbackAfter and failingPause are those of a node without its owner.
	fallbackAfter = 300 * time.Millisecond
	failingPause  = 50 * time.Millisecond
)

// Variant is one way to run the dispatcher, for ablations.
type Variant struct {
	// Name is shown in the report.
	Name string
	// Tick is the batch interval; zero takes the default.
	Tick time.Duration
	// ReleaseDelay is how long a release may wait for its batch; zero takes Tick.
	ReleaseDelay time.Duration
	// Change alters the placer's settings, and may be nil.
	Change func(*placer.Settings)
}

// dispatched is one owner that decides for all nodes about some engines.
type dispatched struct {
	run      *run
	variant  Variant
	name     string
	placer   *placer.Placer
	prefills []*prefillEngine
	decodes  []*decodeEngine
	// elsewhere, if set, is offered each refused request, and tells whether it
	// took it.
	elsewhere func(*request) bool
	// down is set between the owner's death and its replacement.
	down bool
	// jobs are the launched jobs by grant, as their nodes know them.
	jobs map[identifier.Grant]*granted
	asks map[identifier.Request]*request
	// latest is the last launched job of each request.
	latest map[identifier.Request]*job
	// generation counts the owners, issued the grants that nodes gave alone.
	generation int
	issued     int
}

type granted struct {
	job  *job
	held placer.HeldGrant
}

func newDispatched(r *run, variant Variant) *dispatched {
	return newOwner(r, variant, "owner", r.prefills, r.decodes)
}

// newOwner starts an owner of some engines, whose name makes its grants unique.
func newOwner(r *run, variant Variant, name string, prefills []*prefillEngine, decodes []*decodeEngine) *dispatched {
	if variant.Tick == 0 {
		variant.Tick = Tick
	}
	s := &dispatched{
		run:      r,
		variant:  variant,
		name:     name,
		prefills: prefills,
		decodes:  decodes,
		jobs:     map[identifier.Grant]*granted{},
		asks:     map[identifier.Request]*request{},
		latest:   map[identifier.Request]*job{},
	}
	s.start(0)
	r.every(variant.Tick, func() { s.advance() })
	r.every(reportInterval, s.report)
	r.every(renewInterval, s.renew)
	return s
}

// start makes a placer; a later owner rebuilds its state from renewals.
func (s *dispatched) start(rebuild time.Duration) {
	s.generation++
	settings := placer.Settings{
		Issuer:          fmt.Sprintf("%s-%d", s.name, s.generation),
		PieceTokens:     pieceTokens,
		KVBytesPerToken: kvBytesPerToken,
		LesserShare:     s.run.setting.lesserShare,
		Lease:           leaseTime,
		RebuildTime:     rebuild,
	}
	if s.variant.Change != nil {
		s.variant.Change(&settings)
	}
	s.placer = placer.New(s.run.clock(), settings)
	var engines []placer.Engine
	for _, e := range s.prefills {
		engines = append(engines, placer.Engine{
			Member: e.name, Role: identifier.Prefill, DataCentre: e.place,
			Pieces: 1, PrefillRate: prefillRate, LinkRate: s.run.linkRate,
		})
	}
	for _, e := range s.decodes {
		engines = append(engines, placer.Engine{
			Member: e.name, Role: identifier.Decode, DataCentre: e.place, Pieces: e.pieces, LinkRate: s.run.linkRate,
		})
	}
	s.placer.Configure(settings, engines)
}

// toOwner is how long a message waits for its batch and travels.
func (s *dispatched) toOwner() time.Duration {
	return hop + time.Duration(s.run.random.Int64N(int64(s.variant.Tick)))
}

func (s *dispatched) arrive(q *request) {
	s.asks[requestID(q)] = q
	s.run.after(s.toOwner(), func() { s.submit(q) })
}

func requestID(q *request) identifier.Request {
	return identifier.Request(strconv.Itoa(q.id))
}

func (s *dispatched) submit(q *request) {
	if q.state != open || !q.waiting {
		return
	}
	if s.down {
		s.run.after(fallbackAfter, func() { s.alone(q) })
		return
	}
	q.attempt++
	s.placer.Submit(s.run.clock(), s.demand(q))
	s.advance()
}

func (s *dispatched) demand(q *request) placer.Demand {
	wait := q.deadline() - s.run.now
	if q.first > 0 {
		wait = resumeWait
	}
	return placer.Demand{
		Request:          requestID(q),
		Attempt:          q.attempt,
		Route:            identifier.Route(q.rank.String()),
		Rank:             q.rank,
		Account:          identifier.Account(strconv.Itoa(q.account)),
		Node:             identifier.Node(strconv.Itoa(q.node)),
		DataCentre:       s.run.setting.centres[q.node%len(s.run.setting.centres)],
		Prompt:           q.prompt + q.generated,
		FirstTokenBudget: wait,
		MaxTokenInterval: q.traffic.betweenTokens,
		Prefixes:         q.prefixes,
	}
}

// resumeWait is how long a stream that was stopped may wait to go on.
const resumeWait = 10 * time.Second

// advance lets the placer decide and carries its outcomes out.
func (s *dispatched) advance() {
	if s.down {
		return
	}
	s.placer.Advance(s.run.clock())
	decisions, orders := s.placer.TakeDecisions()
	for _, decision := range decisions {
		s.run.after(hop, func() { s.outcome(decision) })
	}
	for _, order := range orders {
		s.run.after(hop, func() { s.cancel(order) })
	}
}

func (s *dispatched) outcome(decision placer.Decision) {
	q := s.asks[decision.Request]
	placed := decision.Outcome.Placement
	if q.state != open || q.attempt != decision.Attempt {
		if placed != nil {
			s.release(placed.Grant, placer.Result{})
		}
		return
	}
	if placed == nil {
		if s.elsewhere != nil && s.elsewhere(q) {
			return
		}
		if q.first == 0 || decision.Outcome.Refusal.Reason != placer.Superseded {
			s.run.refuse(q)
		}
		return
	}
	s.launch(q, placed)
}

func (s *dispatched) launch(q *request, placed *placer.Placement) {
	demand := s.demand(q)
	j := s.run.launch(q, s.prefill(placed.Prefill), s.decode(placed.Decode))
	s.latest[demand.Request] = j
	s.jobs[placed.Grant] = &granted{job: j, held: placer.HeldGrant{
		Grant: placed.Grant, Demand: demand, Prefill: placed.Prefill, Decode: placed.Decode, Pieces: placed.Pieces,
		Stream: j.attempt,
	}}
}

func (s *dispatched) prefill(name identifier.Member) *prefillEngine {
	for _, e := range s.prefills {
		if e.name == name {
			return e
		}
	}
	panic(fmt.Sprintf("placed on unknown prefill engine %q", name))
}

func (s *dispatched) decode(name identifier.Member) *decodeEngine {
	for _, e := range s.decodes {
		if e.name == name {
			return e
		}
	}
	panic(fmt.Sprintf("placed on unknown decode engine %q", name))
}

// release gives a grant back with the next batch.
func (s *dispatched) release(id identifier.Grant, result placer.Result) {
	s.run.after(max(s.toOwner(), s.variant.ReleaseDelay), func() {
		if s.down {
			return
		}
		s.placer.Release(s.run.clock(), id, result)
		s.advance()
	})
}

func (s *dispatched) ended(j *job, how ending) {
	for id, g := range s.jobs {
		if g.job != j {
			continue
		}
		delete(s.jobs, id)
		if s.run.dead[j.request.node] {
			return
		}
		s.release(id, placer.Result{Output: j.request.generated, Prefilled: true, Decoded: how == finished})
	}
	if how != finished {
		s.run.again(j.request)
	}
}

// cancel drops a job at its engines and confirms it.
func (s *dispatched) cancel(order placer.Cancellation) {
	if j := s.latest[order.Request]; j != nil && j.attempt == order.Stream {
		j.decode.cancel(j)
	}
	s.run.after(hop, func() {
		if !s.down {
			s.placer.ConfirmCancel(s.run.clock(), order.Grant)
		}
	})
}

// report sends the engines' loads to the owner, which sees them late.
func (s *dispatched) report() {
	now := s.run.clock()
	loads := map[identifier.Member]placer.Load{}
	for _, e := range s.decodes {
		loads[e.name] = placer.Load{TakenAt: now, Free: e.free, Running: len(e.streams), StepTime: e.step(), Holding: e.holding()}
	}
	for _, e := range s.prefills {
		loads[e.name] = placer.Load{TakenAt: now, Backlog: e.queued(), Cached: e.cached, Evicted: e.evicted}
		e.cached, e.evicted = nil, nil
	}
	s.run.after(s.run.scenario.lag, func() {
		if s.down {
			return
		}
		for _, e := range s.decodes {
			s.placer.ReportLoad(s.run.clock(), e.name, loads[e.name])
		}
		for _, e := range s.prefills {
			s.placer.ReportLoad(s.run.clock(), e.name, loads[e.name])
		}
		s.advance()
	})
}

// renew keeps the grants of the living nodes.
func (s *dispatched) renew() {
	if s.down {
		return
	}
	for _, g := range s.sorted() {
		if s.run.dead[g.job.request.node] {
			continue
		}
		g.held.Decoding = g.job.claimed
		g.held.Output = g.job.progress()
		s.placer.Renew(s.run.clock(), g.held, true)
	}
	s.advance()
}

// killed replaces the owner when it was on the dead node, the first.
func (s *dispatched) killed(node int) {
	if node != 0 {
		return
	}
	s.down = true
	s.run.after(takeOver, func() {
		s.down = false
		s.start(leaseTime)
		s.renew()
		for _, q := range s.run.requests {
			if q.state == open && q.waiting {
				s.submit(q)
			}
		}
	})
}

// sorted lists the grants in a fixed order.
func (s *dispatched) sorted() []*granted {
	list := make([]*granted, 0, len(s.jobs))
	for _, g := range s.jobs {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].held.Grant < list[j].held.Grant })
	return list
}

// alone is the fall-back of a node that cannot reach the owner: the better of
// two engines, up to the node's part of it.
func (s *dispatched) alone(q *request) {
	if !s.down {
		s.submit(q)
		return
	}
	if q.state != open {
		return
	}
	if s.run.now > q.deadline() {
		s.run.refuse(q)
		return
	}
	need := memoryOf(q.prompt + q.generated)
	first, second := s.random(), s.random()
	if second.free > first.free {
		first = second
	}
	if first.free < need || s.placedAlone(q.node, first)+need > first.pieces/identifier.Pieces(s.run.setting.nodes) {
		s.run.after(failingPause, func() { s.alone(q) })
		return
	}
	s.issued++
	q.attempt++
	s.launch(q, &placer.Placement{
		Grant:   identifier.Grant(fmt.Sprint("alone-", s.issued)),
		Prefill: s.prefills[s.run.random.IntN(len(s.prefills))].name,
		Decode:  first.name,
		Pieces:  need,
	})
}

func (s *dispatched) random() *decodeEngine {
	return s.decodes[s.run.random.IntN(len(s.decodes))]
}

// placedAlone is what a node placed alone on an engine.
func (s *dispatched) placedAlone(node int, e *decodeEngine) identifier.Pieces {
	var placed identifier.Pieces
	for id, g := range s.jobs {
		if g.job.request.node == node && g.job.decode == e && strings.HasPrefix(string(id), "alone-") {
			placed += g.held.Pieces
		}
	}
	return placed
}
