package placer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// refuseMany refuses a number of demands at once and returns what each was told.
func refuseMany(s *simulation, number int, rank identifier.Rank) []time.Duration {
	s.placer.TakeDecisions()
	for n := range number {
		s.placer.Submit(s.now, Demand{
			Request: identifier.Request(fmt.Sprintf("many-%d-%d", rank, n)), Attempt: 1, Rank: rank, Node: "n", Prompt: simMeanPrompt,
			MaxOutput: 9000, OutputHint: simMeanOutput, FirstTokenBudget: time.Millisecond, QueueTimeout: time.Millisecond, NoResume: true,
		})
	}
	s.placer.Advance(s.now.Add(10 * time.Millisecond))
	var told []time.Duration
	decisions, _ := s.placer.TakeDecisions()
	for _, d := range decisions {
		if d.Outcome.Refusal != nil {
			told = append(told, d.Outcome.Refusal.RetryAfter)
		}
	}
	return told
}

// TestReturnsOfBurstAreSpread guards against callers who were refused together, come back
// together and are refused again: all refusals of a burst used to name the same time.
func TestReturnsOfBurstAreSpread(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 20*time.Second)
	s.run(burstRate, time.Second)
	told := refuseMany(s, 60, identifier.Urgent)
	bySecond := map[time.Duration]int{}
	for _, after := range told {
		if after < minForecastRetryAfter || after > maxForecastRetryAfter {
			t.Errorf("told %v", after)
		}
		bySecond[after.Truncate(time.Second)]++
	}
	if len(told) != 60 || len(bySecond) < 4 {
		t.Fatalf("%d refused, by second %v", len(told), bySecond)
	}
	for second, number := range bySecond {
		if second+time.Second < maxForecastRetryAfter && number > 30 {
			t.Errorf("%d of %d return after %v", number, len(told), second)
		}
	}
}

// TestQuietPoolNamesShortTime guards against a long flat time while the pool has room: what keeps
// a demand from starting then is over soon.
func TestQuietPoolNamesShortTime(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate/2, 20*time.Second)
	for _, after := range refuseMany(s, 3, identifier.Urgent) {
		if after != minForecastRetryAfter {
			t.Errorf("told %v", after)
		}
	}
}

// TestPromisesToLesserWorkDontDelayUrgent guards against urgent callers that wait for memory which
// lesser work was promised, although they go first.
func TestPromisesToLesserWorkDontDelayUrgent(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate/2, 20*time.Second)
	refuseMany(s, 200, identifier.Lesser)
	if told := refuseMany(s, 1, identifier.Lesser); len(told) != 1 || told[0] <= 2*minForecastRetryAfter {
		t.Errorf("a lesser caller is told %v in spite of the promises", told)
	}
	if told := refuseMany(s, 1, identifier.Urgent); len(told) != 1 || told[0] != minForecastRetryAfter {
		t.Errorf("an urgent caller is told %v", told)
	}
}

// TestPromisesUseSteadyClock guards against promises that are dropped or moved because the time of
// day has jumped.
func TestPromisesUseSteadyClock(t *testing.T) {
	var r promiseRing
	r.add(time.Now(), 1)
	// Only a time with a reading of the steady clock prints one.
	if !strings.Contains(r.origin.String(), " m=") {
		t.Errorf("%s has no reading of the steady clock", r.origin)
	}
}

// TestPromisesEndWithTime guards against promises that count after their time, or for another
// time that uses the same entry of the ring.
func TestPromisesEndWithTime(t *testing.T) {
	var r promiseRing
	now := time.Unix(1000, 0)
	r.add(now.Add(2*time.Second), 5)
	r.add(now.Add(2*time.Second), 5)
	if got := r.between(now, now.Add(3*time.Second)); got != 10 {
		t.Errorf("promised %v", got)
	}
	if got := r.between(now.Add(2*time.Second), now.Add(20*time.Second)); got != 0 {
		t.Errorf("promised for later %v", got)
	}
	round := returnSlots * returnSlot
	r.add(now.Add(2*time.Second+round), 1)
	if got := r.between(now, now.Add(3*time.Second)); got != 0 {
		t.Errorf("promised before %v", got)
	}
	if got := r.between(now.Add(round), now.Add(round+3*time.Second)); got != 1 {
		t.Errorf("promised in the next round %v", got)
	}
}

// TestCallerWithLittleTimeIsPromisedItsThird guards against promises for a time at which the
// caller has long been back: callers wait for a third of their time left at most.
func TestCallerWithLittleTimeIsPromisedItsThird(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 20*time.Second)
	s.run(2*burstRate, 3*time.Second)
	s.placer.promises[identifier.Urgent] = promiseRing{}
	d := Demand{Prompt: simMeanPrompt, OutputHint: simMeanOutput, TimeLeft: 6 * time.Second}
	if after := s.placer.promiseReturn(s.now, &d); after <= d.TimeLeft/returnPart {
		t.Fatalf("the pool has room after %v", after)
	}
	at := s.now.Add(d.TimeLeft / returnPart)
	if got := s.placer.promises[identifier.Urgent].between(at.Add(-returnSlot), at); got < simMeanPrompt {
		t.Errorf("promised %v", got)
	}
}

// TestNewOwnerForecastsFromRenewedGrants guards against an owner without promises or rates that
// calls everybody back at once: the grants that nodes renew tell it what is in use.
func TestNewOwnerForecastsFromRenewedGrants(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 20*time.Second)
	s.run(burstRate, 3*time.Second)
	held := s.placer.HeldGrants()
	settings := s.placer.settings
	settings.Issuer = "u"
	s.placer = New(s.now, settings)
	s.placer.Configure(settings, s.engines)
	if told := refuseMany(s, 1, identifier.Urgent); len(told) == 1 && told[0] > minForecastRetryAfter {
		t.Errorf("an owner without grants tells %v", told)
	}
	for _, h := range held {
		if r := s.running[h.Grant]; r != nil {
			h.Output, h.Decoding = identifier.Tokens(r.generated), r.generated > 0
			s.placer.Renew(s.now, h, true)
		}
	}
	s.now = s.now.Add(time.Second)
	d := Demand{Prompt: 30 * simMeanPrompt, OutputHint: simMeanOutput}
	if after := s.placer.promiseReturn(s.now, &d); after <= minForecastRetryAfter {
		t.Errorf("told %v with full engines", after)
	}
}

// BenchmarkPromiseReturn measures the time that a refusal names, with 160 engines.
func BenchmarkPromiseReturn(b *testing.B) {
	now := time.Unix(1000, 0)
	settings := Settings{Issuer: "t", PieceTokens: simPieceTokens, UseForecast: true}
	p := New(now, settings)
	var engines []Engine
	for n := range 160 {
		role := identifier.Decode
		if n%4 == 0 {
			role = identifier.Prefill
		}
		engines = append(engines, Engine{Member: identifier.Member(fmt.Sprint(n)), Role: role, Pieces: 420})
	}
	p.Configure(settings, engines)
	d := Demand{Prompt: simMeanPrompt, OutputHint: simMeanOutput}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.promiseReturn(now, &d)
	}
}

// TestTwoOwnersPromiseTwice has two owners of the same engines during a split. Each books only its
// own promises; together they must not promise more than twice what one does.
func TestTwoOwnersPromiseTwice(t *testing.T) {
	s := newSimulation(t, true)
	s.run(normalRate, 20*time.Second)
	s.run(burstRate, time.Second)
	first, held := s.placer, s.placer.HeldGrants()
	settings := first.settings
	settings.Issuer = "u"
	second := New(s.now.Add(-time.Second), settings)
	second.Configure(settings, s.engines)
	for _, h := range held {
		second.Renew(s.now, h, true)
	}
	loads := first.loads
	count := func(owners ...*Placer) int {
		soon := 0
		for _, owner := range owners {
			s.placer, owner.loads = owner, loads
			for _, after := range refuseMany(s, 60, identifier.Urgent) {
				if after < maxForecastRetryAfter/2 {
					soon++
				}
			}
		}
		return soon
	}
	together := count(first, second)
	first.promises = [len(identifier.Ranks)]promiseRing{}
	if alone := count(first); alone == 0 || together > 2*alone+alone/2 {
		t.Errorf("one owner tells %d callers to return soon, two tell %d", alone, together)
	}
}
