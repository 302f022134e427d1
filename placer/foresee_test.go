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
	loadPrompt  = 5000
	loadOutput  = 4500
	loadSpread  = 0.5
	loadMemory  = 105_000
	loadToken   = 700 * time.Microsecond
	loadTarget  = 650 * time.Millisecond
	loadHold    = 320 * time.Millisecond
	loadStep    = 10 * time.Millisecond
	loadPiece   = 250
	loadDecodes = 6
)

// load plays requests against a placer and counts what becomes of them. What the
// engines really hold follows from the requests' true outputs.
type load struct {
	t       *testing.T
	random  *rand.Rand
	placer  *Placer
	engines []Engine
	now     time.Time
	sent    int
	waiting map[identifier.Request]playedRequest
	running map[identifier.Grant]*playedRun
	slow    map[identifier.Member]float64
	// reads is when the prefill engines have read what they were given.
	reads    map[identifier.Member]time.Time
	rate     float64
	lesser   float64
	longer   float64
	returns  bool
	comeback []comeback
	counts   counts
}

type playedRequest struct {
	rank     identifier.Rank
	prompt   float64
	output   float64
	hash     uint64
	returned bool
	asked    time.Time
}

type playedRun struct {
	playedRequest
	decode identifier.Member
	starts time.Time
	made   float64
	// read is how long the prefill takes; it is told once it has ended.
	read time.Duration
}

type comeback struct {
	at      time.Time
	request playedRequest
}

// counts are requests by what became of them, and the moments at which an engine
// held more than its memory, of all moments.
type counts struct {
	urgent, lesser, placed, placedLesser, refused, late int
	// direct counts the prompts that decode engines read themselves; longestPause is
	// how long streams waited for one, leastRest the time between two at an engine.
	direct                  int
	longestPause, leastRest time.Duration
	// back counts the callers who were refused before.
	back int
	// missed counts the placed requests whose prompt was read after their target.
	missed             int
	overflows, moments int
}

func newLoad(t *testing.T, foresight bool) *load {
	return newLoadOf(t, foresight, 3, loadDecodes)
}

func newLoadOf(t *testing.T, foresight bool, prefills, decodes int) *load {
	l := &load{
		t:       t,
		random:  rand.New(rand.NewPCG(1, 2)),
		now:     time.Unix(1000, 0),
		waiting: map[identifier.Request]playedRequest{},
		running: map[identifier.Grant]*playedRun{},
		slow:    map[identifier.Member]float64{},
		reads:   map[identifier.Member]time.Time{},
		longer:  1,
	}
	for n := range prefills {
		l.engines = append(l.engines, Engine{Member: identifier.Member(fmt.Sprintf("p%d", n)), Role: identifier.Prefill, Pieces: loadMemory / loadPiece, PrefillRate: 55_000, LinkRate: 1e12})
	}
	for n := range decodes {
		l.engines = append(l.engines, Engine{Member: identifier.Member(fmt.Sprintf("d%d", n)), Role: identifier.Decode, Pieces: loadMemory / loadPiece, PrefillRate: 50_000, LinkRate: 1e12, Slots: 32})
	}
	settings := Settings{Issuer: "t", PieceTokens: loadPiece, Foresight: foresight, LesserShare: 0.02, Lease: time.Hour, Rebuild: time.Nanosecond, RoleChange: 6 * time.Second}
	l.placer = New(l.now, settings)
	l.placer.Configure(settings, l.engines)
	l.now = l.now.Add(time.Second)
	return l
}

// play sends requests at a rate for some time and returns what became of those.
func (l *load) play(rate float64, span time.Duration) counts {
	l.rate = rate
	l.counts = counts{leastRest: time.Hour}
	for until := l.now.Add(span); l.now.Before(until); l.now = l.now.Add(loadStep) {
		if l.random.Float64() < l.rate*loadStep.Seconds() {
			l.submit(l.draw())
		}
		l.comeBack()
		l.run()
		l.placer.Advance(l.now)
		l.settle()
	}
	return l.counts
}

func (l *load) draw() playedRequest {
	r := playedRequest{prompt: l.spread(loadPrompt), output: min(9000, l.spread(loadOutput)*l.longer), hash: l.random.Uint64() | 1}
	if l.random.Float64() < l.lesser {
		r.rank = identifier.Lesser
	}
	return r
}

func (l *load) spread(mean float64) float64 {
	return mean * math.Exp(l.random.NormFloat64()*loadSpread-loadSpread*loadSpread/2)
}

func (l *load) submit(r playedRequest) {
	l.sent++
	r.asked = l.now
	id := identifier.Request(fmt.Sprint(l.sent))
	if r.rank == identifier.Urgent {
		l.counts.urgent++
	} else {
		l.counts.lesser++
	}
	if r.returned {
		l.counts.back++
	}
	l.waiting[id] = r
	demand := Demand{
		Request: id, Attempt: 1, Rank: r.rank, Node: "n", Prompt: identifier.Tokens(r.prompt), Limit: 9000,
		Hint: identifier.Tokens(l.spread(r.output)), Wait: loadTarget, Hold: loadHold, Between: 300 * time.Millisecond, Fresh: true,
	}
	if l.returns {
		demand.Returning = r.hash
	}
	l.placer.Submit(l.now, demand)
}

func (l *load) comeBack() {
	for len(l.comeback) > 0 && !l.now.Before(l.comeback[0].at) {
		back := l.comeback[0]
		l.comeback = l.comeback[1:]
		back.request.returned = true
		l.submit(back.request)
	}
}

// run lets the streams make tokens, and notes engines that hold too much.
func (l *load) run() {
	held := map[identifier.Member]float64{}
	for _, grant := range slices.Sorted(maps.Keys(l.running)) {
		r := l.running[grant]
		if l.now.Before(r.starts) || l.now.Before(l.reads[r.decode]) {
			continue
		}
		slow := max(1, l.slow[r.decode])
		r.made += loadStep.Seconds() / loadToken.Seconds() / slow
		if r.made >= r.output {
			delete(l.running, grant)
			l.placer.Release(l.now, grant, Result{Output: identifier.Tokens(r.output), Prefilled: true, Decoded: true, PrefillTook: r.read})
			continue
		}
		held[r.decode] += r.prompt + r.made
	}
	for _, e := range l.engines {
		l.counts.moments++
		if held[e.Member] > loadMemory {
			l.counts.overflows++
		}
	}
	if l.now.UnixMilli()%1000 == 0 {
		l.renew()
	}
}

// renew tells the placer how far the streams are, as nodes do each second.
func (l *load) renew() {
	for _, h := range l.placer.Held() {
		if r := l.running[h.Grant]; r != nil && r.made > 0 {
			l.placer.Renew(l.now, Held{Grant: h.Grant, Output: identifier.Tokens(r.made), Decoding: true, PrefillTook: r.read}, false)
		}
	}
}

func (l *load) settle() {
	decisions, _ := l.placer.Take()
	for _, d := range decisions {
		r := l.waiting[d.Request]
		delete(l.waiting, d.Request)
		placed := d.Outcome.Placement
		if placed == nil {
			l.counts.refused++
			if l.returns && !r.returned {
				at := l.now.Add(d.Outcome.Refusal.RetryAfter)
				l.comeback = append(l.comeback, comeback{at, r})
				slices.SortFunc(l.comeback, func(a, b comeback) int { return a.at.Compare(b.at) })
			}
			continue
		}
		started := l.read(r, placed)
		l.running[placed.Grant] = started
		if started.starts.Sub(r.asked) > loadTarget {
			l.counts.missed++
		}
		switch {
		case r.returned:
			l.counts.late++
		case r.rank == identifier.Lesser:
			l.counts.placedLesser++
		default:
			l.counts.placed++
		}
	}
}

// read has a prefill engine read a prompt, after those that it was given before.
func (l *load) read(r playedRequest, placed *Placement) *playedRun {
	if placed.Prefill == "" {
		return l.readDirect(r, placed)
	}
	begins := laterOf(l.now, l.reads[placed.Prefill])
	ends := begins.Add(timeAtRate(r.prompt*max(1, l.slow[placed.Prefill]), loadRead))
	l.reads[placed.Prefill] = ends
	return &playedRun{playedRequest: r, decode: placed.Decode, starts: ends.Add(loadWay), read: ends.Sub(l.now)}
}

// readDirect has a decode engine read a prompt itself at half the rate, while its
// streams pause.
func (l *load) readDirect(r playedRequest, placed *Placement) *playedRun {
	l.counts.direct++
	pause := timeAtRate(2*r.prompt, loadRead)
	l.counts.longestPause = max(l.counts.longestPause, pause)
	l.counts.leastRest = min(l.counts.leastRest, l.now.Sub(l.reads[placed.Decode]))
	l.reads[placed.Decode] = l.now.Add(pause)
	return &playedRun{playedRequest: r, decode: placed.Decode, starts: l.now.Add(pause)}
}

const (
	// loadRead is what a prefill engine reads in a second, loadWay the way to the
	// first token beside it.
	loadRead = 55_000
	loadWay  = 20 * time.Millisecond
)

const (
	// usualRate fills about half of the engines' memory, burstRate over all of it.
	usualRate = 11
	burstRate = 30
)

// TestBurstIsServedByForeseenUse holds what foresight is for: in a burst it places
// clearly more than reservations do, and the engines hold no more than they have.
func TestBurstIsServedByForeseenUse(t *testing.T) {
	foreseen, reserved := newLoad(t, true), newLoad(t, false)
	var with, without counts
	for _, l := range []struct {
		load   *load
		counts *counts
	}{{foreseen, &with}, {reserved, &without}} {
		if quiet := l.load.play(usualRate, 20*time.Second); quiet.refused > quiet.urgent/50 {
			t.Errorf("refused in quiet times: %+v", quiet)
		}
		*l.counts = l.load.play(burstRate, 10*time.Second)
	}
	if float64(with.placed) < 1.15*float64(without.placed) {
		t.Errorf("foreseen %+v, reserved %+v", with, without)
	}
	if float64(with.overflows) > 0.02*float64(with.moments) {
		t.Errorf("engines held too much: %+v", with)
	}
}

// TestLesserBurstWhileEnginesDrain has lesser work flood the pool while a third of
// its decode engines leave: urgent work is served as before, and lesser work too
// where there is room.
func TestLesserBurstWhileEnginesDrain(t *testing.T) {
	l := newLoad(t, true)
	l.play(usualRate, 10*time.Second)
	for n := 3; n < 5; n++ {
		l.engines[n].Leaving = true
	}
	l.placer.Configure(l.placer.settings, l.engines)
	l.lesser = 0.6
	got := l.play(2*usualRate, 10*time.Second)
	if float64(got.placed) < 0.9*float64(got.urgent) {
		t.Errorf("urgent work was refused: %+v", got)
	}
	if float64(got.placedLesser) < 0.25*float64(got.lesser) {
		t.Errorf("lesser work starves: %+v", got)
	}
}

// TestUrgentFloodStarvesNobody has more urgent work than the engines hold for as
// long as a burst lasts: a little lesser work still gets through.
func TestUrgentFloodStarvesNobody(t *testing.T) {
	l := newLoad(t, true)
	l.lesser = 0.03
	l.play(usualRate, 10*time.Second)
	got := l.play(2*burstRate, 20*time.Second)
	if got.lesser < 10 || float64(got.placedLesser) < 0.25*float64(got.lesser) {
		t.Errorf("lesser work starves: %+v", got)
	}
}

// TestUrgentBurstWithSlowEngine has one engine make tokens at a third of the
// others' speed: it is given fewer requests, and none of the engines overflows.
func TestUrgentBurstWithSlowEngine(t *testing.T) {
	l := newLoad(t, true)
	l.slow["d0"] = 3
	l.play(usualRate, 30*time.Second)
	got := l.play(burstRate, 10*time.Second)
	if float64(got.overflows) > 0.03*float64(got.moments) {
		t.Errorf("engines held too much: %+v", got)
	}
}

// TestMixShiftsToLongAnswers has the outputs double between two bursts: what is
// learned follows, so that the engines do not overflow for long.
func TestMixShiftsToLongAnswers(t *testing.T) {
	l := newLoad(t, true)
	l.play(usualRate, 20*time.Second)
	l.longer = 2
	l.play(usualRate/2, 20*time.Second)
	got := l.play(burstRate, 10*time.Second)
	if float64(got.overflows) > 0.05*float64(got.moments) {
		t.Errorf("engines held too much: %+v", got)
	}
}

// TestCallersWhoReturnTakeNothingFromOthers has every refused caller come back as
// it is told: in the burst no fewer requests are on time than without them, and
// most of those who return are served in the end.
func TestCallersWhoReturnTakeNothingFromOthers(t *testing.T) {
	alone, with := newLoad(t, true), newLoad(t, true)
	with.returns = true
	var burst [2]counts
	for i, l := range []*load{alone, with} {
		l.play(usualRate, 20*time.Second)
		burst[i] = l.play(burstRate, 8*time.Second)
	}
	if float64(burst[1].placed) < 0.93*float64(burst[0].placed) {
		t.Errorf("with callers who return %+v, without %+v", burst[1], burst[0])
	}
	after := with.play(usualRate/2, 12*time.Second)
	if after.late == 0 || after.refused > after.late/5 {
		t.Errorf("callers who returned were refused again: %+v", after)
	}
}

// TestOwnerLostInBurst has a new owner take over in a burst with what the nodes
// renew: the engines hold too much for no longer than a moment.
func TestOwnerLostInBurst(t *testing.T) {
	l := newLoad(t, true)
	l.play(usualRate, 10*time.Second)
	l.play(burstRate, 4*time.Second)
	held := l.placer.Held()
	settings := l.placer.settings
	settings.Issuer = "u"
	l.placer = New(l.now, settings)
	l.placer.Configure(settings, l.engines)
	for _, h := range held {
		if r := l.running[h.Grant]; r != nil {
			h.Output, h.Decoding = identifier.Tokens(r.made), r.made > 0
			l.placer.Renew(l.now, h, true)
		}
	}
	got := l.play(burstRate, 4*time.Second)
	if float64(got.overflows) > 0.05*float64(got.moments) {
		t.Errorf("engines held too much: %+v", got)
	}
}

func TestRefusalTellsItsCause(t *testing.T) {
	l := newLoad(t, true)
	l.play(2*burstRate, 5*time.Second)
	l.placer.Submit(l.now, Demand{Request: "x", Attempt: 1, Node: "n", Prompt: 6000, Wait: loadTarget, Hold: time.Millisecond, Fresh: true})
	l.placer.Advance(l.now.Add(time.Second))
	decisions, _ := l.placer.Take()
	last := decisions[len(decisions)-1].Outcome.Refusal
	if last == nil || last.Cause.Engines != loadDecodes || last.Cause.Peak < 0.9 || last.RetryAfter < minForecastRetryAfter {
		t.Errorf("%+v", last)
	}
}

// TestCallersWhoWaitDoNotRefuseNewOnes has the callers who were refused in a burst
// come back when it is over: those who wait then go behind new callers, and must not
// count as ahead of them.
func TestCallersWhoWaitDoNotRefuseNewOnes(t *testing.T) {
	l := newLoad(t, true)
	l.returns = true
	l.play(usualRate, 20*time.Second)
	l.play(3*burstRate, 5*time.Second)
	after := l.play(usualRate, 6*time.Second)
	if after.late == 0 || float64(after.placed) < 0.9*float64(after.urgent-after.back) {
		t.Errorf("%+v", after)
	}
}

// TestSlowPrefillEngineInBurst has one prefill engine read at half the rate that the
// table gives: the others get more of a burst's prompts, and few are read too late.
func TestSlowPrefillEngineInBurst(t *testing.T) {
	l := newLoad(t, true)
	l.slow["p0"] = 2
	l.play(usualRate, 30*time.Second)
	got := l.play(1.6*usualRate, 10*time.Second)
	if float64(got.missed) > 0.05*float64(got.placed) {
		t.Errorf("prompts were read too late: %+v", got)
	}
}

// TestCallersWhoReturnIntoABurstAreRefusedAtOnce has a burst go on while those whom it
// refused come back: they cannot be served, and must not be held until they give up.
func TestCallersWhoReturnIntoABurstAreRefusedAtOnce(t *testing.T) {
	l := newLoad(t, true)
	l.returns = true
	l.play(usualRate, 10*time.Second)
	l.play(2*burstRate, 12*time.Second)
	w := &queuedDemand{demand: Demand{Rank: identifier.Urgent, Wait: retryQueueTime}, isRetry: true}
	if !l.placer.waitsTooLong(l.now, w) {
		t.Error("a caller who came back is held in the middle of a burst")
	}
	l.play(0, 4*time.Second)
	l.play(usualRate/4, time.Second)
	if l.placer.waitsTooLong(l.now, w) {
		t.Error("a caller who came back is refused when the burst is over")
	}
}
