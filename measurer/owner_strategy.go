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

// Intervals and delays of the dispatcher.
const (
	// DefaultBatchInterval is the default batch interval of a node.
	DefaultBatchInterval = 10 * time.Millisecond
	// leaseTime is how long a grant lasts without renewal.
	leaseTime = 3 * time.Second
	// renewInterval is the time between renewals of a grant.
	renewInterval = time.Second
	// ownerReplacementDelay is the time from an owner's death to its replacement.
	ownerReplacementDelay = 1500 * time.Millisecond
	// fallbackDelay is how long a node waits for a dead owner before it places a request.
	fallbackDelay = 300 * time.Millisecond
	// fallbackRetryInterval is the pause before a node tries again to place a request.
	fallbackRetryInterval = 50 * time.Millisecond
)

// Variant configures the dispatcher for a comparison.
type Variant struct {
	// Name is shown in the report.
	Name string
	// BatchInterval is the batch interval; zero means DefaultBatchInterval.
	BatchInterval time.Duration
	// ReleaseDelay is the minimum delay of a release; zero means the batch delay alone.
	ReleaseDelay time.Duration
	// Change modifies the placer's settings if not nil.
	Change func(*placer.Settings)
}

// ownerStrategy places the requests of all nodes on a set of engines through one owner.
type ownerStrategy struct {
	run      *run
	variant  Variant
	name     string
	placer   *placer.Placer
	prefills []*prefillEngine
	decodes  []*decodeEngine
	// retryElsewhere, if set, tries to resubmit a refused request to another owner
	// and reports whether it did.
	retryElsewhere func(*request) bool
	// down is set between the owner's death and its replacement.
	down bool
	// jobs maps grants to running jobs, as known to the nodes.
	jobs     map[identifier.Grant]*activeGrant
	requests map[identifier.Request]*request
	// latest is the most recently launched job of each request.
	latest map[identifier.Request]*job
	// generation counts the owners so far; fallbackGrants counts the grants that
	// nodes issued without an owner.
	generation     int
	fallbackGrants int
}

type activeGrant struct {
	job  *job
	held placer.HeldGrant
}

func newOwnerStrategy(r *run, variant Variant) *ownerStrategy {
	return newOwner(r, variant, "owner", r.prefills, r.decodes)
}

// newOwner starts an owner of some engines. Grant identifiers derive from its unique name.
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

// start creates a placer; if rebuild isn't zero, it first restores its state from renewals.
func (s *ownerStrategy) start(rebuild time.Duration) {
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

// ownerDelay returns a message's random wait for its batch plus its travel time.
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
	if q.firstTokenAt > 0 {
		wait = maxResumeWait
	}
	return placer.Demand{
		Request:          requestID(q),
		Attempt:          q.attempt,
		Route:            identifier.Route(q.rank.String()),
		Rank:             q.rank,
		Account:          identifier.Account(strconv.Itoa(q.account)),
		Node:             identifier.Node(strconv.Itoa(q.node)),
		DataCentre:       s.run.setting.dataCentres[q.node%len(s.run.setting.dataCentres)],
		Prompt:           q.prompt + q.generated,
		FirstTokenBudget: wait,
		MaxTokenInterval: q.traffic.betweenTokensTarget,
		Prefixes:         q.prefixes,
	}
}

// maxResumeWait limits how long an interrupted stream waits for a new placement.
const maxResumeWait = 10 * time.Second

// advance runs the placer up to now and delivers its decisions and cancel orders.
func (s *ownerStrategy) advance() {
	if s.down {
		return
	}
	s.placer.Advance(s.run.clock())
	decisions, orders := s.placer.TakeDecisions()
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
		if q.firstTokenAt == 0 || decision.Outcome.Refusal.Reason != placer.Superseded {
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
	s.jobs[placed.Grant] = &activeGrant{job: j, held: placer.HeldGrant{
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

// release returns a grant to the owner with a later batch.
func (s *ownerStrategy) release(id identifier.Grant, result placer.Result) {
	s.run.after(max(s.ownerDelay(), s.variant.ReleaseDelay), func() {
		if s.down {
			return
		}
		s.placer.Release(s.run.clock(), id, result)
		s.advance()
	})
}

func (s *ownerStrategy) jobEnded(j *job, outcome jobOutcome) {
	for id, g := range s.jobs {
		if g.job != j {
			continue
		}
		delete(s.jobs, id)
		if s.run.deadNodes[j.request.node] {
			return
		}
		s.release(id, placer.Result{Output: j.request.generated, Prefilled: true, Decoded: outcome == finished})
	}
	if outcome != finished {
		s.run.placeAgain(j.request)
	}
}

// cancel cancels the job that an order names and confirms the order to the owner.
func (s *ownerStrategy) cancel(order placer.Cancellation) {
	if j := s.latest[order.Request]; j != nil && j.attempt == order.Stream {
		j.decode.cancel(j)
	}
	s.run.after(messageDelay, func() {
		if !s.down {
			s.placer.ConfirmCancel(s.run.clock(), order.Grant)
		}
	})
}

// report sends the engines' loads to the owner; they arrive after the report lag.
func (s *ownerStrategy) report() {
	now := s.run.clock()
	loads := map[identifier.Member]placer.Load{}
	for _, e := range s.decodes {
		loads[e.name] = placer.Load{TakenAt: now, Free: e.free, Running: len(e.streams), StepTime: e.stepTime(), Holding: e.holdings()}
	}
	for _, e := range s.prefills {
		loads[e.name] = placer.Load{TakenAt: now, Backlog: e.queuedTokens(), Cached: e.newlyCached, Evicted: e.newlyEvicted}
		e.newlyCached, e.newlyEvicted = nil, nil
	}
	s.run.after(s.run.scenario.reportLag, func() {
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

// renew renews the grants of all live nodes.
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

// nodeKilled takes the owner down and later replaces it if its host, node 0, died.
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

// sortedGrants returns the grants in order of their identifiers.
func (s *ownerStrategy) sortedGrants() []*activeGrant {
	list := make([]*activeGrant, 0, len(s.jobs))
	for _, g := range s.jobs {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].held.Grant < list[j].held.Grant })
	return list
}

// placeFallback places a request while the owner is down: on the one of two random
// engines with more free memory, within the node's equal share of that engine.
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

// fallbackPieces returns the memory of an engine granted by a node's fallback.
func (s *ownerStrategy) fallbackPieces(node int, e *decodeEngine) identifier.Pieces {
	var placed identifier.Pieces
	for id, g := range s.jobs {
		if g.job.request.node == node && g.job.decode == e && strings.HasPrefix(string(id), "alone-") {
			placed += g.held.Pieces
		}
	}
	return placed
}
