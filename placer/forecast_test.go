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

// The simulated load: prompts and outputs of about the lengths on the users' model
// routes, with six decode engines and by default three prefill engines.
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

// simulation sends requests to a placer and counts the outcomes. The simulated engines
// hold what the requests really need, which follows from their true output lengths.
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
	// readingUntil is when each engine has read the prompts that it was given.
	readingUntil   map[identifier.Member]time.Time
	rate           float64
	lesserShare    float64
	normalShare    float64
	outputFactor   float64
	retryRefused   bool
	pendingRetries []pendingRetry
	counts         counts
	// submittedByRank and placedByRank count the requests of each rank since the last run began.
	submittedByRank, placedByRank [len(identifier.Ranks)]float64
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
	// prefillTime is reported once the prefill has ended.
	prefillTime time.Duration
}

type pendingRetry struct {
	at      time.Time
	request simRequest
}

// counts are numbers of requests by outcome.
type counts struct {
	urgent, lesser, placed, placedLesser, refused, servedRetries int
	// localPrefills counts prompts read by decode engines. longestPause is the longest
	// pause of their streams, shortestGap the shortest time between two on one engine.
	localPrefills             int
	longestPause, shortestGap time.Duration
	// retries counts the requests that had been refused before.
	retries int
	// missedTarget counts the placed requests whose prompt was read too late.
	missedTarget int
	// overflows counts the samples in which an engine held more than its memory.
	overflows, samples int
}

func newSimulation(t *testing.T, useForecast bool) *simulation {
	return newSimulationWith(t, useForecast, 3, simDecodeEngines)
}

func newSimulationWith(t *testing.T, useForecast bool, prefills, decodes int) *simulation {
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
	settings := Settings{Issuer: "t", PieceTokens: simPieceTokens, UseForecast: useForecast, LesserShare: 0.02, Lease: time.Hour, RebuildTime: time.Nanosecond, RoleChangeTime: 6 * time.Second}
	s.placer = New(s.now, settings)
	s.placer.Configure(settings, s.engines)
	s.now = s.now.Add(time.Second)
	return s
}

// run sends requests at a rate per second for some time and returns their outcomes.
func (s *simulation) run(rate float64, span time.Duration) counts {
	s.rate = rate
	clear(s.submittedByRank[:])
	clear(s.placedByRank[:])
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
	switch drawn := s.random.Float64(); {
	case drawn < s.lesserShare:
		r.rank = identifier.Lesser
	case drawn < s.lesserShare+s.normalShare:
		r.rank = identifier.Normal
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
	s.submittedByRank[r.rank]++
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
		Request: id, Attempt: 1, Rank: r.rank, Node: "n", Prompt: identifier.Tokens(r.prompt), MaxOutput: 9000,
		OutputHint: identifier.Tokens(s.drawLength(r.output)), FirstTokenBudget: simFirstTokenTarget, QueueTimeout: simQueueTimeout, MaxTokenInterval: 300 * time.Millisecond, NoResume: true,
	}
	if s.retryRefused {
		demand.RetryKey = r.retryKey
	}
	s.placer.Submit(s.now, demand)
}

func (s *simulation) submitDueRetries() {
	for len(s.pendingRetries) > 0 && !s.now.Before(s.pendingRetries[0].at) {
		due := s.pendingRetries[0]
		s.pendingRetries = s.pendingRetries[1:]
		due.request.isRetry = true
		s.submit(due.request)
	}
}

// generateTokens advances the streams and counts engines beyond their memory.
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
			s.placer.Release(s.now, grant, Result{Output: identifier.Tokens(r.output), Prefilled: true, Decoded: true, PrefillTime: r.prefillTime})
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

// renewGrants reports the progress of the streams, as nodes do each second.
func (s *simulation) renewGrants() {
	for _, h := range s.placer.HeldGrants() {
		if r := s.running[h.Grant]; r != nil && r.generated > 0 {
			s.placer.Renew(s.now, HeldGrant{Grant: h.Grant, Output: identifier.Tokens(r.generated), Decoding: true, PrefillTime: r.prefillTime}, false)
		}
	}
}

func (s *simulation) applyDecisions() {
	decisions, _ := s.placer.TakeDecisions()
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
		s.placedByRank[r.rank]++
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

// startStream makes the prefill engine read a prompt after its earlier prompts.
func (s *simulation) startStream(r simRequest, placed *Placement) *simStream {
	if placed.Prefill == "" {
		return s.startLocalPrefill(r, placed)
	}
	begins := laterOf(s.now, s.readingUntil[placed.Prefill])
	ends := begins.Add(timeAtRate(r.prompt*max(1, s.slowdown[placed.Prefill]), simPrefillRate))
	s.readingUntil[placed.Prefill] = ends
	return &simStream{simRequest: r, decode: placed.Decode, startsAt: ends.Add(simPrefillOverhead), prefillTime: ends.Sub(s.now)}
}

// startLocalPrefill makes a decode engine read a prompt at half the rate of a prefill
// engine, while its streams pause.
func (s *simulation) startLocalPrefill(r simRequest, placed *Placement) *simStream {
	s.counts.localPrefills++
	pause := timeAtRate(2*r.prompt, simPrefillRate)
	s.counts.longestPause = max(s.counts.longestPause, pause)
	s.counts.shortestGap = min(s.counts.shortestGap, s.now.Sub(s.readingUntil[placed.Decode]))
	s.readingUntil[placed.Decode] = s.now.Add(pause)
	return &simStream{simRequest: r, decode: placed.Decode, startsAt: s.now.Add(pause)}
}

const (
	// simPrefillRate is in tokens a second. simPrefillOverhead is the time from the end
	// of the prefill to the first token.
	simPrefillRate     = 55_000
	simPrefillOverhead = 20 * time.Millisecond
)

const (
	// normalRate fills about half of the engines' memory, burstRate more than all of it.
	// Both are in requests a second.
	normalRate = 11
	burstRate  = 30
)

// TestForecastServesMoreOfBurst checks that in a burst the forecast places clearly more
// requests than reservations do, without overfilling the engines.
func TestForecastServesMoreOfBurst(t *testing.T) {
	forecasting, reserving := newSimulation(t, true), newSimulation(t, false)
	var withForecast, withReservation counts
	for _, c := range []struct {
		sim    *simulation
		counts *counts
	}{{forecasting, &withForecast}, {reserving, &withReservation}} {
		if quiet := c.sim.run(normalRate, 20*time.Second); quiet.refused > quiet.urgent/50 {
			t.Errorf("too many refusals under normal load: %+v", quiet)
		}
		*c.counts = c.sim.run(burstRate, 10*time.Second)
	}
	if float64(withForecast.placed) < 1.15*float64(withReservation.placed) {
		t.Errorf("with forecast %+v, with reservations %+v", withForecast, withReservation)
	}
	if float64(withForecast.overflows) > 0.02*float64(withForecast.samples) {
		t.Errorf("engines exceeded their memory: %+v", withForecast)
	}
}

// TestLesserBurstWhileEnginesDrain floods the pool with lesser work while a third of its
// decode engines drain. Urgent work, and lesser work with room, must still be served.
func TestLesserBurstWhileEnginesDrain(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 10*time.Second)
	for n := 3; n < 5; n++ {
		s.engines[n].Draining = true
	}
	s.placer.Configure(s.placer.settings, s.engines)
	s.lesserShare = 0.6
	got := s.run(2*normalRate, 10*time.Second)
	if float64(got.placed) < 0.9*float64(got.urgent) {
		t.Errorf("too much urgent work was refused: %+v", got)
	}
	if float64(got.placedLesser) < 0.25*float64(got.lesser) {
		t.Errorf("too little lesser work was served: %+v", got)
	}
}

// TestLesserWorkDuringUrgentOverload checks that some lesser work is still served while
// there is more urgent work than the engines hold.
func TestLesserWorkDuringUrgentOverload(t *testing.T) {
	s := newSimulation(t, true)
	s.lesserShare = 0.03
	s.run(normalRate, 10*time.Second)
	got := s.run(2*burstRate, 20*time.Second)
	if got.lesser < 10 || float64(got.placedLesser) < 0.25*float64(got.lesser) {
		t.Errorf("too little lesser work was served: %+v", got)
	}
}

// TestUrgentBurstWithSlowEngine checks that a decode engine at a third of the usual token
// rate gets fewer requests, so that no engine overflows.
func TestUrgentBurstWithSlowEngine(t *testing.T) {
	s := newSimulation(t, true)
	s.slowdown["d0"] = 3
	s.run(normalRate, 30*time.Second)
	got := s.run(burstRate, 10*time.Second)
	if float64(got.overflows) > 0.03*float64(got.samples) {
		t.Errorf("engines exceeded their memory: %+v", got)
	}
}

// TestForecastFollowsLongerOutputs doubles the outputs before a burst. The learned
// lengths must follow, or the engines overflow.
func TestForecastFollowsLongerOutputs(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 20*time.Second)
	s.outputFactor = 2
	s.run(normalRate/2, 20*time.Second)
	got := s.run(burstRate, 10*time.Second)
	if float64(got.overflows) > 0.05*float64(got.samples) {
		t.Errorf("engines exceeded their memory: %+v", got)
	}
}

// TestRetriesDoNotDisplaceNewRequests has every refused caller retry as asked. The burst
// must place about as many requests as without retries, and most retries must be served
// afterwards.
func TestRetriesDoNotDisplaceNewRequests(t *testing.T) {
	withoutRetries, withRetries := newSimulation(t, true), newSimulation(t, true)
	withRetries.retryRefused = true
	var burst [2]counts
	for i, s := range []*simulation{withoutRetries, withRetries} {
		s.run(normalRate, 20*time.Second)
		burst[i] = s.run(burstRate, 8*time.Second)
	}
	if float64(burst[1].placed) < 0.93*float64(burst[0].placed) {
		t.Errorf("with retries %+v, without retries %+v", burst[1], burst[0])
	}
	after := withRetries.run(normalRate/2, 12*time.Second)
	if after.servedRetries == 0 || after.refused > after.servedRetries/5 {
		t.Errorf("too many retries were refused again: %+v", after)
	}
}

// TestFailoverInBurst replaces the placer in a burst by one that knows only the grants
// that nodes renew. The engines must not overflow for more than a moment.
func TestFailoverInBurst(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 10*time.Second)
	s.run(burstRate, 4*time.Second)
	held := s.placer.HeldGrants()
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
		t.Errorf("engines exceeded their memory: %+v", got)
	}
}

func TestRefusalCause(t *testing.T) {
	s := newSimulation(t, true)
	s.run(2*burstRate, 5*time.Second)
	s.placer.Submit(s.now, Demand{Request: "x", Attempt: 1, Node: "n", Prompt: 6000, FirstTokenBudget: simFirstTokenTarget, QueueTimeout: time.Millisecond, NoResume: true})
	s.placer.Advance(s.now.Add(time.Second))
	decisions, _ := s.placer.TakeDecisions()
	last := decisions[len(decisions)-1].Outcome.Refusal
	if last == nil || last.Cause.Engines != simDecodeEngines || last.Cause.LowestPeakUse < 0.9 || last.RetryAfter < minForecastRetryAfter {
		t.Errorf("%+v", last)
	}
}

// TestQueuedRetriesDoNotBlockNewRequests has the callers that a burst refused retry after
// it. Queued retries go behind new requests; if they counted as ahead of them, new
// requests would be refused early.
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

// TestSlowPrefillEngineInBurst checks that a prefill engine with half its configured rate
// gets fewer of a burst's prompts, so that few are read too late.
func TestSlowPrefillEngineInBurst(t *testing.T) {
	s := newSimulation(t, true)
	s.slowdown["p0"] = 2
	s.run(normalRate, 30*time.Second)
	got := s.run(1.6*normalRate, 10*time.Second)
	if float64(got.missedTarget) > 0.05*float64(got.placed) {
		t.Errorf("too many prompts were read too late: %+v", got)
	}
}

// TestRetriesDuringBurstAreRefusedEarly checks that retries in an ongoing burst are
// refused at once instead of queued until their callers give up, and are queued again
// once the burst is over.
func TestRetriesDuringBurstAreRefusedEarly(t *testing.T) {
	s := newSimulation(t, true)
	s.retryRefused = true
	s.run(normalRate, 10*time.Second)
	s.run(2*burstRate, 12*time.Second)
	w := &waitingDemand{demand: Demand{Rank: identifier.Urgent, FirstTokenBudget: retryQueueTime}, isRetry: true}
	if !s.placer.waitsTooLong(s.now, w) {
		t.Error("a retry is queued in the middle of a burst")
	}
	s.run(0, 4*time.Second)
	s.run(normalRate/4, time.Second)
	if s.placer.waitsTooLong(s.now, w) {
		t.Error("a retry is refused after the burst is over")
	}
}

// TestThreeRanksInBurst has a burst of three ranks that the engines can't serve. Normal work
// used to be placed like lesser work: it must come after urgent work, before lesser work, and
// neither may starve.
func TestThreeRanksInBurst(t *testing.T) {
	s := newSimulation(t, true)
	s.normalShare, s.lesserShare = 0.3, 0.4
	s.run(normalRate, 20*time.Second)
	s.run(1.5*burstRate, 20*time.Second)
	var served [len(identifier.Ranks)]float64
	for _, rank := range identifier.Ranks {
		served[rank] = s.placedByRank[rank] / s.submittedByRank[rank]
	}
	urgent, normal, lesser := served[identifier.Urgent], served[identifier.Normal], served[identifier.Lesser]
	if urgent < 0.9 || normal > urgent || normal < 1.5*lesser || lesser < 0.02 {
		t.Errorf("served %.2f of urgent, %.2f of normal and %.2f of lesser work", urgent, normal, lesser)
	}
}

// TestBlockedDemandsWaitForChange checks that a demand that fitted on no engine is tried again
// only on engines whose forecast has changed. In a burst, an owner spent half of a small VM's
// processor time on trying the same demands on the same engines at each call of a node.
func TestBlockedDemandsWaitForChange(t *testing.T) {
	s := newSimulation(t, true)
	s.run(3*burstRate, 5*time.Second)
	if s.placer.Waiting() == 0 {
		t.Fatal("no demand waits")
	}
	s.placer.Advance(s.now)
	s.placer.TakeDecisions()
	const untried = -1
	for _, e := range s.placer.decodes {
		e.lastPeakUse = untried
	}
	s.placer.Advance(s.now.Add(time.Millisecond))
	for _, e := range s.placer.decodes {
		if e.lastPeakUse != untried {
			t.Errorf("%s was tried again", e.Member)
		}
	}
	var anyGrant *grant
	for _, anyGrant = range s.placer.grants {
		break
	}
	s.placer.freeGrant(s.now, anyGrant)
	s.placer.Advance(s.now.Add(2 * time.Millisecond))
	if anyGrant.decode.lastPeakUse == untried {
		t.Errorf("%s was not tried again after it had freed memory", anyGrant.decode.Member)
	}
}

// TestLongOutputsKeepTheirMemory guards against a stream that counts as ended because its
// output is far longer than expected, although its engine still holds its memory.
func TestLongOutputsKeepTheirMemory(t *testing.T) {
	expected := outputDistribution{logMean: math.Log(800), logSpread: minLogSpread}
	var f forecast
	f.addRequest(3000, expected, 4000, 0, time.Millisecond)
	// The negations also fail for a result that is no number.
	if first := f.points[0]; !(first.running >= 0.5) || !(first.mean >= 0.5*7000) {
		t.Errorf("%+v", first)
	}
}
