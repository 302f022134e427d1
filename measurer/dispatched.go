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
	// DefaultBatchInterval is the default batch interval of a node.
	DefaultBatchInterval = 10 * time.Millisecond
	// leaseTime and renewInterval are those of grants.
	leaseTime     = 3 * time.Second
	renewInterval = time.Second
	// ownerReplacementDelay is how long after its death an owner is replaced.
	ownerReplacementDelay = 1500 * time.Millisecond
	// fallbackDelay and failingPause are those of a node without its owner.
	fallbackDelay         = 300 * time.Millisecond
	fallbackRetryInterval = 50 * time.Millisecond
)

// Variant is one way to run the dispatcher, for ablations.
type Variant struct {
	// Name is shown in the report.
	Name string
	// BatchInterval is the batch interval; zero takes the default.
	BatchInterval time.Duration
	// ReleaseDelay is how long a release may wait for its batch; zero takes Tick.
	ReleaseDelay time.Duration
	// Change alters the placer's settings, and may be nil.
	Change func(*placer.Settings)
}

// ownerStrategy is one owner that decides for all nodes about some engines.
type ownerStrategy struct {
	run      *run
	variant  Variant
	name     string
	placer   *placer.Placer
	prefills []*prefillEngine
	decodes  []*decodeEngine
	// retryElsewhere, if set, is offered each refused request, and tells whether it
	// took it.
	retryElsewhere func(*request) bool
	// down is set between the owner's death and its replacement.
	down bool
	// jobs are the launched jobs by grant, as their nodes know them.
	jobs     map[identifier.Grant]*activeGrant
	requests map[identifier.Request]*request
	// latest is the last launched job of each request.
	latest map[identifier.Request]*job
	// generation counts the owners, issued the grants that nodes gave alone.
	generation     int
	fallbackGrants int
}

type activeGrant struct {
	job  *job
	held placer.Held
}

func newOwnerStrategy(r *run, variant Variant) *ownerStrategy {
	return newOwner(r, variant, "owner", r.prefills, r.decodes)
}

// newOwner starts an owner of some engines, whose name makes its grants unique.
func newOwner(r *run, variant Variant, name string, prefills []*prefillEngine, decodes []*decodeEngine) *ownerStrategy {
	if variant.BatchInterval == 0 {
		variant.BatchInterval = DefaultBatchInterval
	}
	s := &ownerStrategy{
		run:      r,
		variant:  variant,
		name:     name,
		prefills: prefills,
		decodes:  decodes,
		jobs:     map[identifier.Grant]*activeGrant{},
		requests: map[identifier.Request]*request{},
		latest:   map[identifier.Request]*job{},
	}
	s.start(0)
	r.every(variant.BatchInterval, func() { s.advance() })
	r.every(reportInterval, s.report)
	r.every(renewInterval, s.renew)
	return s
}

// start makes a placer; a later owner rebuilds its state from renewals.
func (s *ownerStrategy) start(rebuild time.Duration) {
	s.generation++
	settings := placer.Settings{
		Issuer:          fmt.Sprintf("%s-%d", s.name, s.generation),
		PieceTokens:     pieceTokens,
		KVBytesPerToken: kvBytesPerToken,
		LesserShare:     s.run.setting.lesserShare,
		Lease:           leaseTime,
		Rebuild:         rebuild,
	}
	if s.variant.Change != nil {
		s.variant.Change(&settings)
	}
	s.placer = placer.New(s.run.clock(), settings)
	var engines []placer.Engine
	for _, e := range s.prefills {
		engines = append(engines, placer.Engine{
			Member: e.name, Role: identifier.Prefill, DataCentre: e.dataCentre,
			Pieces: 1, PrefillRate: prefillRate, LinkRate: s.run.linkRate,
		})
	}
	for _, e := range s.decodes {
		engines = append(engines, placer.Engine{
			Member: e.name, Role: identifier.Decode, DataCentre: e.dataCentre, Pieces: e.pieces, LinkRate: s.run.linkRate,
		})
	}
	s.placer.Configure(settings, engines)
}

// ownerDelay is how long a message waits for its batch and travels.
func (s *ownerStrategy) ownerDelay() time.Duration {
	return messageDelay + time.Duration(s.run.strategyRandom.Int64N(int64(s.variant.BatchInterval)))
}

func (s *ownerStrategy) arrive(q *request) {
	s.requests[requestID(q)] = q
	s.run.after(s.ownerDelay(), func() { s.submit(q) })
}

func requestID(q *request) identifier.Request {
	return identifier.Request(strconv.Itoa(q.id))
}

func (s *ownerStrategy) submit(q *request) {
	if q.state != pending || !q.waiting {
		return
	}
	if s.down {
		s.run.after(fallbackDelay, func() { s.placeFallback(q) })
		return
	}
	q.attempt++
	s.placer.Submit(s.run.clock(), s.demandFor(q))
	s.advance()
}

func (s *ownerStrategy) demandFor(q *request) placer.Demand {
	wait := q.deadline() - s.run.now
	if q.first > 0 {
		wait = maxResumeWait
	}
	return placer.Demand{
		Request:    requestID(q),
		Attempt:    q.attempt,
		Route:      identifier.Route(q.rank.String()),
		Rank:       q.rank,
		Account:    identifier.Account(strconv.Itoa(q.account)),
		Node:       identifier.Node(strconv.Itoa(q.node)),
		DataCentre: s.run.setting.dataCentres[q.node%len(s.run.setting.dataCentres)],
		Prompt:     q.prompt + q.generated,
		Wait:       wait,
		Between:    q.traffic.betweenTokens,
		Prefixes:   q.prefixes,
	}
}

// maxResumeWait is how long a stream that was stopped may wait to go on.
const maxResumeWait = 10 * time.Second

// advance lets the placer decide and carries its outcomes out.
func (s *ownerStrategy) advance() {
	if s.down {
		return
	}
	s.placer.Advance(s.run.clock())
	decisions, orders := s.placer.Take()
	for _, decision := range decisions {
		s.run.after(messageDelay, func() { s.handleDecision(decision) })
	}
	for _, order := range orders {
		s.run.after(messageDelay, func() { s.cancel(order) })
	}
}

func (s *ownerStrategy) handleDecision(decision placer.Decision) {
	q := s.requests[decision.Request]
	placed := decision.Outcome.Placement
	if q.state != pending || q.attempt != decision.Attempt {
		if placed != nil {
			s.release(placed.Grant, placer.Result{})
		}
		return
	}
	if placed == nil {
		if s.retryElsewhere != nil && s.retryElsewhere(q) {
			return
		}
		if q.first == 0 || decision.Outcome.Refusal.Reason != placer.Superseded {
			s.run.refuse(q)
		}
		return
	}
	s.launch(q, placed)
}

func (s *ownerStrategy) launch(q *request, placed *placer.Placement) {
	demand := s.demandFor(q)
	j := s.run.launch(q, s.prefillByName(placed.Prefill), s.decodeByName(placed.Decode))
	s.latest[demand.Request] = j
	s.jobs[placed.Grant] = &activeGrant{job: j, held: placer.Held{
		Grant: placed.Grant, Demand: demand, Prefill: placed.Prefill, Decode: placed.Decode, Pieces: placed.Pieces,
		Stream: j.attempt,
	}}
}

func (s *ownerStrategy) prefillByName(name identifier.Member) *prefillEngine {
	for _, e := range s.prefills {
		if e.name == name {
			return e
		}
	}
	panic(fmt.Sprintf("placed on unknown prefill engine %q", name))
}

func (s *ownerStrategy) decodeByName(name identifier.Member) *decodeEngine {
	for _, e := range s.decodes {
		if e.name == name {
			return e
		}
	}
	panic(fmt.Sprintf("placed on unknown decode engine %q", name))
}

// release gives a grant back with the next batch.
func (s *ownerStrategy) release(id identifier.Grant, result placer.Result) {
	s.run.after(max(s.ownerDelay(), s.variant.ReleaseDelay), func() {
		if s.down {
			return
		}
		s.placer.Release(s.run.clock(), id, result)
		s.advance()
	})
}

func (s *ownerStrategy) jobEnded(j *job, how jobOutcome) {
	for id, g := range s.jobs {
		if g.job != j {
			continue
		}
		delete(s.jobs, id)
		if s.run.deadNodes[j.request.node] {
			return
		}
		s.release(id, placer.Result{Output: j.request.generated, Prefilled: true, Decoded: how == finished})
	}
	if how != finished {
		s.run.placeAgain(j.request)
	}
}

// cancel drops a job at its engines and confirms it.
func (s *ownerStrategy) cancel(order placer.Order) {
	if j := s.latest[order.Request]; j != nil && j.attempt == order.Stream {
		j.decode.cancel(j)
	}
	s.run.after(messageDelay, func() {
		if !s.down {
			s.placer.Confirm(s.run.clock(), order.Grant)
		}
	})
}

// report sends the engines' loads to the owner, which sees them late.
func (s *ownerStrategy) report() {
	now := s.run.clock()
	loads := map[identifier.Member]placer.Load{}
	for _, e := range s.decodes {
		loads[e.name] = placer.Load{At: now, Free: e.free, Running: len(e.streams), Step: e.stepTime(), Holding: e.holdings()}
	}
	for _, e := range s.prefills {
		loads[e.name] = placer.Load{At: now, Backlog: e.queuedTokens(), Cached: e.newlyCached, Evicted: e.newlyEvicted}
		e.newlyCached, e.newlyEvicted = nil, nil
	}
	s.run.after(s.run.scenario.reportLag, func() {
		if s.down {
			return
		}
		for _, e := range s.decodes {
			s.placer.Report(s.run.clock(), e.name, loads[e.name])
		}
		for _, e := range s.prefills {
			s.placer.Report(s.run.clock(), e.name, loads[e.name])
		}
		s.advance()
	})
}

// renew keeps the grants of the living nodes.
func (s *ownerStrategy) renew() {
	if s.down {
		return
	}
	for _, g := range s.sortedGrants() {
		if s.run.deadNodes[g.job.request.node] {
			continue
		}
		g.held.Decoding = g.job.claimed
		g.held.Output = g.job.generatedTokens()
		s.placer.Renew(s.run.clock(), g.held, true)
	}
	s.advance()
}

// nodeKilled replaces the owner when it was on the dead node, the first.
func (s *ownerStrategy) nodeKilled(node int) {
	if node != 0 {
		return
	}
	s.down = true
	s.run.after(ownerReplacementDelay, func() {
		s.down = false
		s.start(leaseTime)
		s.renew()
		for _, q := range s.run.requests {
			if q.state == pending && q.waiting {
				s.submit(q)
			}
		}
	})
}

// sortedGrants lists the grants in a fixed order.
func (s *ownerStrategy) sortedGrants() []*activeGrant {
	list := make([]*activeGrant, 0, len(s.jobs))
	for _, g := range s.jobs {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].held.Grant < list[j].held.Grant })
	return list
}

// placeFallback is the fall-back of a node that cannot reach the owner: the better of
// two engines, up to the node's part of it.
func (s *ownerStrategy) placeFallback(q *request) {
	if !s.down {
		s.submit(q)
		return
	}
	if q.state != pending {
		return
	}
	if s.run.now > q.deadline() {
		s.run.refuse(q)
		return
	}
	need := piecesFor(q.prompt + q.generated)
	first, second := s.randomDecode(), s.randomDecode()
	if second.free > first.free {
		first = second
	}
	if first.free < need || s.fallbackPieces(q.node, first)+need > first.pieces/identifier.Pieces(s.run.setting.nodes) {
		s.run.after(fallbackRetryInterval, func() { s.placeFallback(q) })
		return
	}
	s.fallbackGrants++
	q.attempt++
	s.launch(q, &placer.Placement{
		Grant:   identifier.Grant(fmt.Sprint("alone-", s.fallbackGrants)),
		Prefill: s.prefills[s.run.strategyRandom.IntN(len(s.prefills))].name,
		Decode:  first.name,
		Pieces:  need,
	})
}

func (s *ownerStrategy) randomDecode() *decodeEngine {
	return s.decodes[s.run.strategyRandom.IntN(len(s.decodes))]
}

// fallbackPieces is what a node placed alone on an engine.
func (s *ownerStrategy) fallbackPieces(node int, e *decodeEngine) identifier.Pieces {
	var placed identifier.Pieces
	for id, g := range s.jobs {
		if g.job.request.node == node && g.job.decode == e && strings.HasPrefix(string(id), "alone-") {
			placed += g.held.Pieces
		}
	}
	return placed
}
