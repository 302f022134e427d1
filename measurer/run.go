package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// strategy is a placement policy. It calls run.launch or run.refuse for each
// request, at once or later.
type strategy interface {
	// arrive accepts a new request, or one that needs another placement, at its node.
	arrive(r *request)
	// jobEnded is called when a launched job ends.
	jobEnded(j *job, outcome jobOutcome)
	// nodeKilled is called when a node dies.
	nodeKilled(node int)
}

// prefillCounts sums up prefill work in tokens.
type prefillCounts struct {
	prefilledTokens float64
	wastedTokens    float64
	// wastedByOutcome splits wastedTokens by the outcome of the jobs.
	wastedByOutcome [jobOutcomeCount]float64
}

func (c *prefillCounts) add(other prefillCounts) {
	c.prefilledTokens += other.prefilledTokens
	c.wastedTokens += other.wastedTokens
	for outcome, tokens := range other.wastedByOutcome {
		c.wastedByOutcome[outcome] += tokens
	}
}

// memoryUsage integrates the use of decode memory over time.
type memoryUsage struct {
	updated time.Duration
	held    [len(identifier.Ranks)]identifier.Pieces
	// waiting counts the requests that have waited for minCountedWait or longer.
	waiting int
	// idleWhileWaiting and totalWhileWaiting are the piece-seconds of free memory
	// and of all memory while counted requests wait.
	idleWhileWaiting  float64
	totalWhileWaiting float64
	// lesserInFlood is the piece-seconds held by lesser work during the flood.
	lesserInFlood float64
}

// update integrates up to now. Call it before held or waiting changes.
func (m *memoryUsage) update(r *run) {
	from, now := m.updated, r.now
	m.updated = now
	if m.waiting > 0 && from >= warmUp && now <= runLength {
		elapsed := (now - from).Seconds()
		total := float64(r.capacity)
		m.totalWhileWaiting += elapsed * total
		m.idleWhileWaiting += elapsed * (total - float64(m.held[identifier.Urgent]+m.held[identifier.Lesser]))
	}
	from, now = max(from, floodStart), min(now, floodEnd)
	if from < now {
		m.lesserInFlood += (now - from).Seconds() * float64(m.held[identifier.Lesser])
	}
}

// run is the simulation of one scenario in one setting under one strategy.
type run struct {
	loop
	setting  *Setting
	scenario Scenario
	linkRate identifier.BytesPerSecond
	// arrivalRandom draws the requests, identically for all strategies of a seed;
	// strategyRandom is for the strategy's decisions.
	arrivalRandom  *rand.Rand
	strategyRandom *rand.Rand
	strategy       strategy
	prefills       []*prefillEngine
	decodes        []*decodeEngine
	// capacity is the total memory of the decode engines.
	capacity  identifier.Pieces
	deadNodes map[int]bool
	counts    prefillCounts
	memory    memoryUsage
	requests  []*request
	// decisionTimes holds the waiting time before each placement or refusal.
	decisionTimes []time.Duration
}

// newRun returns a run with idle engines and no strategy yet.
func newRun(setting *Setting, scenario Scenario, seed uint64) *run {
	scenario = scenario.withDefaults()
	if scenario.prefillEngines > 0 {
		fewer := *setting
		fewer.prefillEngines = scenario.prefillEngines
		setting = &fewer
	}
	r := &run{
		setting:        setting,
		scenario:       scenario,
		linkRate:       linkRate / identifier.BytesPerSecond(scenario.linkDivisor),
		arrivalRandom:  rand.New(rand.NewPCG(seed, 7)),
		strategyRandom: rand.New(rand.NewPCG(seed, 11)),
		deadNodes:      map[int]bool{},
	}
	centre := func(i int) identifier.DataCentre { return setting.dataCentres[i%len(setting.dataCentres)] }
	for i := range setting.prefillEngines {
		r.prefills = append(r.prefills, newPrefillEngine(r, identifier.Member(fmt.Sprint("p", i)), centre(i)))
	}
	for i := range setting.decodeEngines {
		e := newDecodeEngine(r, identifier.Member(fmt.Sprint("d", i)), centre(i), setting.decodePieces)
		r.decodes = append(r.decodes, e)
		r.capacity += e.pieces
	}
	r.decodes[0].slowFactor = r.scenario.slowFactor
	return r
}

// execute runs the scenario to its end.
func (r *run) execute() {
	for _, rank := range identifier.Ranks {
		r.scheduleArrivals(rank)
	}
	if r.scenario.killAt > 0 {
		r.after(r.scenario.killAt, func() { r.killNode(0) })
	}
	r.runUntil(runLength + drainTime)
}

// killNode fails a node's requests and directs later arrivals to other nodes.
func (r *run) killNode(node int) {
	r.deadNodes[node] = true
	for _, q := range r.requests {
		if q.node == node && q.state == pending {
			r.setWaiting(q, false)
			q.state = failed
		}
	}
	r.strategy.nodeKilled(node)
}

// scheduleArrivals starts the random, bursty arrivals of a rank, which last until runLength.
func (r *run) scheduleArrivals(rank identifier.Rank) {
	mean := r.setting.capacity() * r.scenario.load * r.setting.traffic[rank].fraction
	if mean == 0 {
		return
	}
	bursting := false
	toggle := func() {}
	toggle = func() {
		bursting = !bursting
		duration := calmDuration
		if bursting {
			duration = burstDuration
		}
		r.after(time.Duration(r.arrivalRandom.ExpFloat64()*float64(duration)), toggle)
	}
	toggle()
	factor := [...]float64{identifier.Urgent: r.scenario.urgentFactor, identifier.Lesser: r.scenario.lesserFactor}[rank]
	next := func() {}
	next = func() {
		if r.now > runLength {
			return
		}
		rate := mean * calmFactor
		if bursting {
			rate = mean * burstFactor
		}
		flooded := r.now >= floodStart && r.now < floodEnd && factor > 1
		if flooded {
			rate *= factor
		}
		r.after(time.Duration(r.arrivalRandom.ExpFloat64()/rate*float64(time.Second)), next)
		q := r.setting.drawRequest(r.arrivalRandom, len(r.requests), rank)
		if flooded && r.scenario.oneAccount && r.arrivalRandom.Float64() < 1-1/factor {
			q.account = accounts
		}
		r.arrive(q)
	}
	r.after(0, next)
}

func (r *run) arrive(q *request) {
	q.node = r.setting.nodeFor(q.account, r.now)
	for r.deadNodes[q.node] {
		q.node = (q.node + 1) % r.setting.nodes
	}
	q.arrivedAt = r.now
	q.waitingSince = r.now
	r.requests = append(r.requests, q)
	r.setWaiting(q, true)
	r.strategy.arrive(q)
}

// minCountedWait is how long a request waits before memoryUsage counts it.
const minCountedWait = 100 * time.Millisecond

func (r *run) setWaiting(q *request, waiting bool) {
	if q.waiting == waiting {
		return
	}
	q.waiting = waiting
	if !waiting {
		r.countWaiting(q, false)
		return
	}
	q.waitingSince = r.now
	since := r.now
	r.after(minCountedWait, func() {
		if q.waiting && q.waitingSince == since {
			r.countWaiting(q, true)
		}
	})
}

func (r *run) countWaiting(q *request, counted bool) {
	if q.countedWaiting == counted {
		return
	}
	r.memory.update(r)
	q.countedWaiting = counted
	if counted {
		r.memory.waiting++
	} else {
		r.memory.waiting--
	}
}

// placeAgain hands a pending request to the strategy for another placement.
func (r *run) placeAgain(q *request) {
	if q.state != pending {
		return
	}
	r.setWaiting(q, true)
	r.strategy.arrive(q)
}

// launch starts a job for a request on the given engines.
func (r *run) launch(q *request, prefill *prefillEngine, decode *decodeEngine) *job {
	r.decisionTimes = append(r.decisionTimes, r.now-q.waitingSince)
	r.setWaiting(q, false)
	j := &job{request: q, attempt: q.attempt, prefill: prefill, decode: decode, tokens: q.prompt + q.generated}
	j.onEnd = func(outcome jobOutcome) { r.endJob(j, outcome) }
	r.after(messageDelay, func() { prefill.submit(j) })
	return j
}

// endJob records a finished request and notifies the strategy.
func (r *run) endJob(j *job, outcome jobOutcome) {
	if outcome == finished && j.request.state == pending {
		j.request.state = answered
		j.request.endedAt = r.now
	}
	r.after(messageDelay, func() { r.strategy.jobEnded(j, outcome) })
}

// refuse ends a request as not run and records the cause.
func (r *run) refuse(q *request) {
	r.decisionTimes = append(r.decisionTimes, r.now-q.waitingSince)
	r.setWaiting(q, false)
	if q.state == pending {
		q.cause = r.refusalCause(q)
		q.state = notRun
	}
}
