package placer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// The load that the tests below play: prompts and outputs about as long as those
// of the users' model routes, against six decode engines behind three prefill
// engines.
const (
	simMeanPrompt       = 5000
	simMeanOutput       = 4500
	simLogSpread        = 0.5
	simEngineTokens     = 105_000
	simTokenTime        = 700 * time.Microsecond
	simFirstTokenTarget = 650 * time.Millisecond
	simQueueTimeout     = 320 * time.Millisecond
	simStep             = 10 * time.Millisecond
	simPieceTokens      = 250
	simDecodeEngines    = 6
)

// simulation plays requests against a placer and counts what becomes of them. What the
// engines really hold follows from the requests' true outputs.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	placer    *Placer
	engines   []Engine
	now       time.Time
	submitted int
	waiting   map[identifier.Request]simRequest
	running   map[identifier.Grant]*simStream
	slowdown  map[identifier.Member]float64
	// readingUntil is when the prefill engines have read what they were given.
	readingUntil   map[identifier.Member]time.Time
	rate           float64
	lesserShare    float64
	outputFactor   float64
	retryRefused   bool
	pendingRetries []pendingRetry
	counts         counts
}

type simRequest struct {
	rank        identifier.Rank
	prompt      float64
	output      float64
	retryKey    uint64
	isRetry     bool
	submittedAt time.Time
}

type simStream struct {
	simRequest
	decode    identifier.Member
	startsAt  time.Time
	generated float64
	// prefillTime is how long the prefill takes; it is told once it has ended.
	prefillTime time.Duration
}

type pendingRetry struct {
	at      time.Time
	request simRequest
}

// counts are requests by what became of them, and the moments at which an engine
// held more than its memory, of all moments.
type counts struct {
	urgent, lesser, placed, placedLesser, refused, servedRetries int
	// localPrefills counts the prompts that decode engines read themselves; longestPause is
	// how long streams waited for one, leastRest the time between two at an engine.
	localPrefills             int
	longestPause, shortestGap time.Duration
	// retries counts the callers who were refused before.
	retries int
	// missedTarget counts the placed requests whose prompt was read after their target.
	missedTarget       int
	overflows, samples int
}

func newSimulation(t *testing.T, foresight bool) *simulation {
	return newSimulationWith(t, foresight, 3, simDecodeEngines)
}

func newSimulationWith(t *testing.T, foresight bool, prefills, decodes int) *simulation {
	s := &simulation{
		t:            t,
		random:       rand.New(rand.NewPCG(1, 2)),
		now:          time.Unix(1000, 0),
		waiting:      map[identifier.Request]simRequest{},
		running:      map[identifier.Grant]*simStream{},
		slowdown:     map[identifier.Member]float64{},
		readingUntil: map[identifier.Member]time.Time{},
		outputFactor: 1,
	}
	for n := range prefills {
		s.engines = append(s.engines, Engine{Member: identifier.Member(fmt.Sprintf("p%d", n)), Role: identifier.Prefill, Pieces: simEngineTokens / simPieceTokens, PrefillRate: 55_000, LinkRate: 1e12})
	}
	for n := range decodes {
		s.engines = append(s.engines, Engine{Member: identifier.Member(fmt.Sprintf("d%d", n)), Role: identifier.Decode, Pieces: simEngineTokens / simPieceTokens, PrefillRate: 50_000, LinkRate: 1e12, Slots: 32})
	}
	settings := Settings{Issuer: "t", PieceTokens: simPieceTokens, Foresight: foresight, LesserShare: 0.02, Lease: time.Hour, Rebuild: time.Nanosecond, RoleChange: 6 * time.Second}
	s.placer = New(s.now, settings)
	s.placer.Configure(settings, s.engines)
	s.now = s.now.Add(time.Second)
	return s
}

// run sends requests at a rate for some time and returns what became of those.
func (s *simulation) run(rate float64, span time.Duration) counts {
	s.rate = rate
	s.counts = counts{shortestGap: time.Hour}
	for until := s.now.Add(span); s.now.Before(until); s.now = s.now.Add(simStep) {
		if s.random.Float64() < s.rate*simStep.Seconds() {
			s.submit(s.drawRequest())
		}
		s.submitDueRetries()
		s.generateTokens()
		s.placer.Advance(s.now)
		s.applyDecisions()
	}
	return s.counts
}

func (s *simulation) drawRequest() simRequest {
	r := simRequest{prompt: s.drawLength(simMeanPrompt), output: min(9000, s.drawLength(simMeanOutput)*s.outputFactor), retryKey: s.random.Uint64() | 1}
	if s.random.Float64() < s.lesserShare {
		r.rank = identifier.Lesser
	}
	return r
}

func (s *simulation) drawLength(mean float64) float64 {
	return mean * math.Exp(s.random.NormFloat64()*simLogSpread-simLogSpread*simLogSpread/2)
}

func (s *simulation) submit(r simRequest) {
	s.submitted++
	r.submittedAt = s.now
	id := identifier.Request(fmt.Sprint(s.submitted))
	if r.rank == identifier.Urgent {
		s.counts.urgent++
	} else {
		s.counts.lesser++
	}
	if r.isRetry {
		s.counts.retries++
	}
	s.waiting[id] = r
	demand := Demand{
		Request: id, Attempt: 1, Rank: r.rank, Node: "n", Prompt: identifier.Tokens(r.prompt), Limit: 9000,
		Hint: identifier.Tokens(s.drawLength(r.output)), Wait: simFirstTokenTarget, Hold: simQueueTimeout, Between: 300 * time.Millisecond, Fresh: true,
	}
	if s.retryRefused {
		demand.Returning = r.retryKey
	}
	s.placer.Submit(s.now, demand)
}

func (s *simulation) submitDueRetries() {
	for len(s.pendingRetries) > 0 && !s.now.Before(s.pendingRetries[0].at) {
		back := s.pendingRetries[0]
		s.pendingRetries = s.pendingRetries[1:]
		back.request.isRetry = true
		s.submit(back.request)
	}
}

// generateTokens lets the streams make tokens, and notes engines that hold too much.
func (s *simulation) generateTokens() {
	held := map[identifier.Member]float64{}
	for _, grant := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[grant]
		if s.now.Before(r.startsAt) || s.now.Before(s.readingUntil[r.decode]) {
			continue
		}
		slow := max(1, s.slowdown[r.decode])
		r.generated += simStep.Seconds() / simTokenTime.Seconds() / slow
		if r.generated >= r.output {
			delete(s.running, grant)
			s.placer.Release(s.now, grant, Result{Output: identifier.Tokens(r.output), Prefilled: true, Decoded: true, PrefillTook: r.prefillTime})
			continue
		}
		held[r.decode] += r.prompt + r.generated
	}
	for _, e := range s.engines {
		s.counts.samples++
		if held[e.Member] > simEngineTokens {
			s.counts.overflows++
		}
	}
	if s.now.UnixMilli()%1000 == 0 {
		s.renewGrants()
	}
}

// renewGrants tells the placer how far the streams are, as nodes do each second.
func (s *simulation) renewGrants() {
	for _, h := range s.placer.Held() {
		if r := s.running[h.Grant]; r != nil && r.generated > 0 {
			s.placer.Renew(s.now, Held{Grant: h.Grant, Output: identifier.Tokens(r.generated), Decoding: true, PrefillTook: r.prefillTime}, false)
		}
	}
}

func (s *simulation) applyDecisions() {
	decisions, _ := s.placer.Take()
	for _, d := range decisions {
		r := s.waiting[d.Request]
		delete(s.waiting, d.Request)
		placed := d.Outcome.Placement
		if placed == nil {
			s.counts.refused++
			if s.retryRefused && !r.isRetry {
				at := s.now.Add(d.Outcome.Refusal.RetryAfter)
				s.pendingRetries = append(s.pendingRetries, pendingRetry{at, r})
				slices.SortFunc(s.pendingRetries, func(a, b pendingRetry) int { return a.at.Compare(b.at) })
			}
			continue
		}
		started := s.startStream(r, placed)
		s.running[placed.Grant] = started
		if started.startsAt.Sub(r.submittedAt) > simFirstTokenTarget {
			s.counts.missedTarget++
		}
		switch {
		case r.isRetry:
			s.counts.servedRetries++
		case r.rank == identifier.Lesser:
			s.counts.placedLesser++
		default:
			s.counts.placed++
		}
	}
}

// startStream has a prefill engine startStream a prompt, after those that it was given before.
func (s *simulation) startStream(r simRequest, placed *Placement) *simStream {
	if placed.Prefill == "" {
		return s.startLocalPrefill(r, placed)
	}
	begins := laterOf(s.now, s.readingUntil[placed.Prefill])
	ends := begins.Add(timeAtRate(r.prompt*max(1, s.slowdown[placed.Prefill]), simPrefillRate))
	s.readingUntil[placed.Prefill] = ends
	return &simStream{simRequest: r, decode: placed.Decode, startsAt: ends.Add(simPrefillOverhead), prefillTime: ends.Sub(s.now)}
}

// startLocalPrefill has a decode engine read a prompt itself at half the rate, while its
// streams pause.
func (s *simulation) startLocalPrefill(r simRequest, placed *Placement) *simStream {
	s.counts.localPrefills++
	pause := timeAtRate(2*r.prompt, simPrefillRate)
	s.counts.longestPause = max(s.counts.longestPause, pause)
	s.counts.shortestGap = min(s.counts.shortestGap, s.now.Sub(s.readingUntil[placed.Decode]))
	s.readingUntil[placed.Decode] = s.now.Add(pause)
	return &simStream{simRequest: r, decode: placed.Decode, startsAt: s.now.Add(pause)}
}

const (
	// simPrefillRate is what a prefill engine reads in a second, loadWay the way to the
	// first token beside it.
	simPrefillRate     = 55_000
	simPrefillOverhead = 20 * time.Millisecond
)

const (
	// normalRate fills about half of the engines' memory, burstRate over all of it.
	normalRate = 11
	burstRate  = 30
)

// TestForecastServesMoreOfBurst holds what foresight is for: in a burst it places
// clearly more than reservations do, and the engines hold no more than they have.
func TestForecastServesMoreOfBurst(t *testing.T) {
	forecasting, reserving := newSimulation(t, true), newSimulation(t, false)
	var withForecast, withReservation counts
	for _, c := range []struct {
		sim    *simulation
		counts *counts
	}{{forecasting, &withForecast}, {reserving, &withReservation}} {
		if quiet := c.sim.run(normalRate, 20*time.Second); quiet.refused > quiet.urgent/50 {
			t.Errorf("refused in quiet times: %+v", quiet)
		}
		*c.counts = c.sim.run(burstRate, 10*time.Second)
	}
	if float64(withForecast.placed) < 1.15*float64(withReservation.placed) {
		t.Errorf("foreseen %+v, reserved %+v", withForecast, withReservation)
	}
	if float64(withForecast.overflows) > 0.02*float64(withForecast.samples) {
		t.Errorf("engines held too much: %+v", withForecast)
	}
}

// TestLesserBurstWhileEnginesDrain has lesser work flood the pool while a third of
// its decode engines leave: urgent work is served as before, and lesser work too
// where there is room.
func TestLesserBurstWhileEnginesDrain(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 10*time.Second)
	for n := 3; n < 5; n++ {
		s.engines[n].Leaving = true
	}
	s.placer.Configure(s.placer.settings, s.engines)
	s.lesserShare = 0.6
	got := s.run(2*normalRate, 10*time.Second)
	if float64(got.placed) < 0.9*float64(got.urgent) {
		t.Errorf("urgent work was refused: %+v", got)
	}
	if float64(got.placedLesser) < 0.25*float64(got.lesser) {
		t.Errorf("lesser work starves: %+v", got)
	}
}

// TestUrgentFloodLeavesLesserWork has more urgent work than the engines hold for as
// long as a burst lasts: a little lesser work still gets through.
func TestUrgentFloodLeavesLesserWork(t *testing.T) {
	s := newSimulation(t, true)
	s.lesserShare = 0.03
	s.run(normalRate, 10*time.Second)
	got := s.run(2*burstRate, 20*time.Second)
	if got.lesser < 10 || float64(got.placedLesser) < 0.25*float64(got.lesser) {
		t.Errorf("lesser work starves: %+v", got)
	}
}

// TestUrgentBurstWithSlowEngine has one engine make tokens at a third of the
// others' speed: it is given fewer requests, and none of the engines overflows.
func TestUrgentBurstWithSlowEngine(t *testing.T) {
	s := newSimulation(t, true)
	s.slowdown["d0"] = 3
	s.run(normalRate, 30*time.Second)
	got := s.run(burstRate, 10*time.Second)
	if float64(got.overflows) > 0.03*float64(got.samples) {
		t.Errorf("engines held too much: %+v", got)
	}
}

// TestForecastFollowsLongerOutputs has the outputs double between two bursts: what is
// learned follows, so that the engines do not overflow for long.
func TestForecastFollowsLongerOutputs(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 20*time.Second)
	s.outputFactor = 2
	s.run(normalRate/2, 20*time.Second)
	got := s.run(burstRate, 10*time.Second)
	if float64(got.overflows) > 0.05*float64(got.samples) {
		t.Errorf("engines held too much: %+v", got)
	}
}

// TestRetriesDoNotDisplaceNewRequests has every refused caller come back as
// it is told: in the burst no fewer requests are on time than without them, and
// most of those who return are served in the end.
func TestRetriesDoNotDisplaceNewRequests(t *testing.T) {
	withoutRetries, withRetries := newSimulation(t, true), newSimulation(t, true)
	withRetries.retryRefused = true
	var burst [2]counts
	for i, s := range []*simulation{withoutRetries, withRetries} {
		s.run(normalRate, 20*time.Second)
		burst[i] = s.run(burstRate, 8*time.Second)
	}
	if float64(burst[1].placed) < 0.93*float64(burst[0].placed) {
		t.Errorf("with callers who return %+v, without %+v", burst[1], burst[0])
	}
	after := withRetries.run(normalRate/2, 12*time.Second)
	if after.servedRetries == 0 || after.refused > after.servedRetries/5 {
		t.Errorf("callers who returned were refused again: %+v", after)
	}
}

// TestFailoverInBurst has a new owner take over in a burst with what the nodes
// renew: the engines hold too much for no longer than a moment.
func TestFailoverInBurst(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 10*time.Second)
	s.run(burstRate, 4*time.Second)
	held := s.placer.Held()
	settings := s.placer.settings
	settings.Issuer = "u"
	s.placer = New(s.now, settings)
	s.placer.Configure(settings, s.engines)
	for _, h := range held {
		if r := s.running[h.Grant]; r != nil {
			h.Output, h.Decoding = identifier.Tokens(r.generated), r.generated > 0
			s.placer.Renew(s.now, h, true)
		}
	}
	got := s.run(burstRate, 4*time.Second)
	if float64(got.overflows) > 0.05*float64(got.samples) {
		t.Errorf("engines held too much: %+v", got)
	}
}

func TestRefusalCause(t *testing.T) {
	s := newSimulation(t, true)
	s.run(2*burstRate, 5*time.Second)
	s.placer.Submit(s.now, Demand{Request: "x", Attempt: 1, Node: "n", Prompt: 6000, Wait: simFirstTokenTarget, Hold: time.Millisecond, Fresh: true})
	s.placer.Advance(s.now.Add(time.Second))
	decisions, _ := s.placer.Take()
	last := decisions[len(decisions)-1].Outcome.Refusal
	if last == nil || last.Cause.Engines != simDecodeEngines || last.Cause.Peak < 0.9 || last.RetryAfter < minForecastRetryAfter {
		t.Errorf("%+v", last)
	}
}

// TestQueuedRetriesDoNotBlockNewRequests has the callers who were refused in a burst
// come back when it is over: those who wait then go behind new callers, and must not
// count as ahead of them.
func TestQueuedRetriesDoNotBlockNewRequests(t *testing.T) {
	s := newSimulation(t, true)
	s.retryRefused = true
	s.run(normalRate, 20*time.Second)
	s.run(3*burstRate, 5*time.Second)
	after := s.run(normalRate, 6*time.Second)
	if after.servedRetries == 0 || float64(after.placed) < 0.9*float64(after.urgent-after.retries) {
		t.Errorf("%+v", after)
	}
}

// TestSlowPrefillEngineInBurst has one prefill engine read at half the rate that the
// table gives: the others get more of a burst's prompts, and few are read too late.
func TestSlowPrefillEngineInBurst(t *testing.T) {
	s := newSimulation(t, true)
	s.slowdown["p0"] = 2
	s.run(normalRate, 30*time.Second)
	got := s.run(1.6*normalRate, 10*time.Second)
	if float64(got.missedTarget) > 0.05*float64(got.placed) {
		t.Errorf("prompts were read too late: %+v", got)
	}
}

// TestRetriesDuringBurstAreRefusedEarly has a burst go on while those whom it
// refused come back: they cannot be served, and must not be held until they give up.
func TestRetriesDuringBurstAreRefusedEarly(t *testing.T) {
	s := newSimulation(t, true)
	s.retryRefused = true
	s.run(normalRate, 10*time.Second)
	s.run(2*burstRate, 12*time.Second)
	w := &waitingDemand{demand: Demand{Rank: identifier.Urgent, Wait: retryQueueTime}, isRetry: true}
	if !s.placer.waitsTooLong(s.now, w) {
		t.Error("a caller who came back is held in the middle of a burst")
	}
	s.run(0, 4*time.Second)
	s.run(normalRate/4, time.Second)
	if s.placer.waitsTooLong(s.now, w) {
		t.Error("a caller who came back is refused when the burst is over")
	}
}
