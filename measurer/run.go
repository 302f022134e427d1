package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// strategy is a way to place requests. It answers each request by run.launch
// or run.refuse, at once or later.
type strategy interface {
	// arrive takes in a request at its node, also one to place once more.
	arrive(r *request)
	// ended tells that a launched job of a request ended.
	ended(j *job, how ending)
	// killed tells that a node died.
	killed(node int)
}

// counts sums up prefill work in tokens.
type counts struct {
	prefilled float64
	wasted    float64
	// ended is the wasted work by how its jobs ended.
	ended [endingCount]float64
}

func (c *counts) add(other counts) {
	c.prefilled += other.prefilled
	c.wasted += other.wasted
	for how, tokens := range other.ended {
		c.ended[how] += tokens
	}
}

// memory integrates the use of decode memory over time.
type memory struct {
	updated time.Duration
	held    [len(identifier.Ranks)]identifier.Pieces
	// waiting is how many requests have waited long for their placement.
	waiting int
	// idle and waited are piece-seconds while requests wait: the free ones,
	// and all.
	idle   float64
	waited float64
	// flooded is the piece-seconds of lesser work in the flood.
	flooded float64
}

// update integrates up to now. Call it before each change.
func (m *memory) update(r *run) {
	from, now := m.updated, r.now
	m.updated = now
	if m.waiting > 0 && from >= warmUp && now <= runLength {
		elapsed := (now - from).Seconds()
		total := float64(r.capacity)
		m.waited += elapsed * total
		m.idle += elapsed * (total - float64(m.held[identifier.Urgent]+m.held[identifier.Lesser]))
	}
	from, now = max(from, floodFrom), min(now, floodUntil)
	if from < now {
		m.flooded += (now - from).Seconds() * float64(m.held[identifier.Lesser])
	}
}

// run is one scenario at one site under one strategy.
type run struct {
	loop
	setting  *Setting
	scenario Scenario
	linkRate identifier.BytesPerSecond
	// arriving draws the requests, alike for all strategies of a seed; random
	// is the strategy's own.
	arriving *rand.Rand
	random   *rand.Rand
	strategy strategy
	prefills []*prefillEngine
	decodes  []*decodeEngine
	// capacity is the memory of all decode engines.
	capacity identifier.Pieces
	dead     map[int]bool
	counts   counts
	memory   memory
	requests []*request
	// decided is how long each placement or refusal took.
	decided []time.Duration
}

// newRun builds the engines of a setting.
func newRun(setting *Setting, scenario Scenario, seed uint64) *run {
	scenario = scenario.withDefaults()
	if scenario.prefill > 0 {
		fewer := *setting
		fewer.prefill = scenario.prefill
		setting = &fewer
	}
	r := &run{
		setting:  setting,
		scenario: scenario,
		linkRate: linkRate / identifier.BytesPerSecond(scenario.links),
		arriving: rand.New(rand.NewPCG(seed, 7)),
		random:   rand.New(rand.NewPCG(seed, 11)),
		dead:     map[int]bool{},
	}
	centre := func(i int) identifier.DataCentre { return setting.centres[i%len(setting.centres)] }
	for i := range setting.prefill {
		r.prefills = append(r.prefills, newPrefillEngine(r, identifier.Member(fmt.Sprint("p", i)), centre(i)))
	}
	for i := range setting.decode {
		e := newDecodeEngine(r, identifier.Member(fmt.Sprint("d", i)), centre(i), setting.pieces)
		r.decodes = append(r.decodes, e)
		r.capacity += e.pieces
	}
	r.decodes[0].slow = r.scenario.slow
	return r
}

// execute runs the scenario to its end.
func (r *run) execute() {
	for _, rank := range identifier.Ranks {
		r.arrivals(rank)
	}
	if r.scenario.kill > 0 {
		r.after(r.scenario.kill, func() { r.kill(0) })
	}
	r.runUntil(runLength + drainTime)
}

// kill ends a node: its requests fail, and its callers go elsewhere.
func (r *run) kill(node int) {
	r.dead[node] = true
	for _, q := range r.requests {
		if q.node == node && q.state == open {
			r.setWaiting(q, false)
			q.state = failed
		}
	}
	r.strategy.killed(node)
}

// arrivals keeps requests of a rank coming, in bursts.
func (r *run) arrivals(rank identifier.Rank) {
	mean := r.setting.capacity() * r.scenario.load * r.setting.traffic[rank].part
	bursting := false
	toggle := func() {}
	toggle = func() {
		bursting = !bursting
		duration := calmDuration
		if bursting {
			duration = burstDuration
		}
		r.after(time.Duration(r.arriving.ExpFloat64()*float64(duration)), toggle)
	}
	toggle()
	factor := [...]float64{identifier.Urgent: r.scenario.urgent, identifier.Lesser: r.scenario.lesser}[rank]
	next := func() {}
	next = func() {
		if r.now > runLength {
			return
		}
		rate := mean * calmFactor
		if bursting {
			rate = mean * burstFactor
		}
		flooded := r.now >= floodFrom && r.now < floodUntil && factor > 1
		if flooded {
			rate *= factor
		}
		r.after(time.Duration(r.arriving.ExpFloat64()/rate*float64(time.Second)), next)
		q := r.setting.draw(r.arriving, len(r.requests), rank)
		if flooded && r.scenario.oneAccount && r.arriving.Float64() < 1-1/factor {
			q.account = accounts
		}
		r.arrive(q)
	}
	r.after(0, next)
}

func (r *run) arrive(q *request) {
	q.node = r.setting.address(q.account, r.now)
	for r.dead[q.node] {
		q.node = (q.node + 1) % r.setting.nodes
	}
	q.arrived = r.now
	q.asked = r.now
	r.requests = append(r.requests, q)
	r.setWaiting(q, true)
	r.strategy.arrive(q)
}

// longWait is from when on a request counts as waiting.
const longWait = 100 * time.Millisecond

func (r *run) setWaiting(q *request, waiting bool) {
	if q.waiting == waiting {
		return
	}
	q.waiting = waiting
	if !waiting {
		r.countWaiting(q, false)
		return
	}
	q.asked = r.now
	asked := r.now
	r.after(longWait, func() {
		if q.waiting && q.asked == asked {
			r.countWaiting(q, true)
		}
	})
}

func (r *run) countWaiting(q *request, counted bool) {
	if q.counted == counted {
		return
	}
	r.memory.update(r)
	q.counted = counted
	if counted {
		r.memory.waiting++
	} else {
		r.memory.waiting--
	}
}

// again asks the strategy for another placement of a request.
func (r *run) again(q *request) {
	if q.state != open {
		return
	}
	r.setWaiting(q, true)
	r.strategy.arrive(q)
}

// launch sends a request to its engines.
func (r *run) launch(q *request, prefill *prefillEngine, decode *decodeEngine) *job {
	r.decided = append(r.decided, r.now-q.asked)
	r.setWaiting(q, false)
	j := &job{request: q, attempt: q.attempt, prefill: prefill, decode: decode, tokens: q.prompt + q.generated}
	j.done = func(how ending) { r.ended(j, how) }
	r.after(hop, func() { prefill.submit(j) })
	return j
}

// ended passes the end of a job on to its node.
func (r *run) ended(j *job, how ending) {
	if how == finished && j.request.state == open {
		j.request.state = answered
		j.request.ended = r.now
	}
	r.after(hop, func() { r.strategy.ended(j, how) })
}

// refuse answers a request as not run.
func (r *run) refuse(q *request) {
	r.decided = append(r.decided, r.now-q.asked)
	r.setWaiting(q, false)
	if q.state == open {
		q.cause = r.refusedFor(q)
		q.state = notRun
	}
}
