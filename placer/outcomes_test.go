package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// outcomeFleet plays a steady load on the engines of a pool, of which some fail.
type outcomeFleet struct {
	t       *testing.T
	placer  *Placer
	now     time.Time
	engines []Engine
	// failing are the engines that break off their streams, or fail their prefills, at once.
	failing map[identifier.Member]bool
	// silent means that no ending is reported, as by nodes of an earlier version.
	silent bool
	// repeated means that the requests have missed their target and are sent again.
	repeated bool
	// sent counts the requests, and running has those in progress.
	sent    int
	running []outcomeStream
	// placements are the engines of all requests, in order; empty for refused ones.
	placements []outcomePlacement
	records    map[identifier.Member]*OutcomeRecord
}

type outcomePlacement struct {
	at              time.Time
	prefill, decode identifier.Member
}

type outcomeStream struct {
	grant           identifier.Grant
	prefill, decode identifier.Member
	began, ends     time.Time
	result          Result
}

const (
	outcomeStreamTime = 5200 * time.Millisecond
	outcomeFailTime   = 20 * time.Millisecond
	outcomeTick       = 10 * time.Millisecond
)

var outcomeSettings = Settings{
	Issuer: "o", PieceTokens: 256, UseForecast: true, LocalPrefillRatio: 0.5, TokensPerStreamEvent: 8, QueueLimit: 100,
}

func newOutcomeFleet(t *testing.T, prefills, decodes int) *outcomeFleet {
	f := &outcomeFleet{t: t, now: time.Unix(1_700_000_000, 0), failing: map[identifier.Member]bool{}, records: map[identifier.Member]*OutcomeRecord{}}
	for n := range prefills {
		f.engines = append(f.engines, Engine{Member: identifier.Member(fmt.Sprintf("p%d", n)), Role: identifier.Prefill, PrefillRate: 10_000, Pieces: 300, Process: f.now})
	}
	for n := range decodes {
		f.engines = append(f.engines, Engine{Member: identifier.Member(fmt.Sprintf("d%d", n)), Role: identifier.Decode, PrefillRate: 50_000, Pieces: 300, Process: f.now})
	}
	f.replaceOwner()
	return f
}

// replaceOwner makes a new placer the owner.
func (f *outcomeFleet) replaceOwner() {
	f.placer = New(f.now, outcomeSettings)
	f.placer.Configure(outcomeSettings, f.engines)
	for _, e := range f.engines {
		f.placer.ReportLoad(f.now, e.Member, Load{TakenAt: f.now, Free: 300})
	}
}

// play sends perSecond requests a second, two at once, for a time.
func (f *outcomeFleet) play(span time.Duration, perSecond int) {
	next, step := f.now, 2*time.Second/time.Duration(perSecond)
	lastRenewal := f.now
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(outcomeTick) {
		f.endStreams()
		if f.now.Sub(lastRenewal) >= time.Second {
			lastRenewal = f.now
			f.renew()
		}
		for !next.After(f.now) {
			next = next.Add(step)
			f.submit()
			f.submit()
		}
		f.placer.Advance(f.now)
		f.start()
	}
}

func (f *outcomeFleet) submit() {
	f.sent++
	f.placer.Submit(f.now, Demand{
		Request: identifier.Request(fmt.Sprint(f.sent)), Attempt: 1, Node: "n", Rank: identifier.Rank(f.sent % 2), Prompt: 1000, MaxOutput: 2000, OutputHint: 1000,
		FirstTokenBudget: time.Second, QueueTimeout: 400 * time.Millisecond, MaxTokenInterval: 300 * time.Millisecond, NoResume: true,
		TargetMissed: f.repeated,
	})
}

func (f *outcomeFleet) endStreams() {
	f.running = slices.DeleteFunc(f.running, func(s outcomeStream) bool {
		if f.now.Before(s.ends) {
			return false
		}
		f.placer.Release(f.now, s.grant, s.result)
		for member, ending := range map[identifier.Member]Ending{s.prefill: s.result.PrefillEnding, s.decode: s.result.DecodeEnding} {
			if f.records[member] == nil {
				f.records[member] = &OutcomeRecord{}
			}
			f.records[member].Add(f.now, ending)
		}
		return true
	})
}

func (f *outcomeFleet) renew() {
	for _, s := range f.running {
		if ran := f.now.Sub(s.began); !f.failing[s.decode] && ran > 200*time.Millisecond {
			f.placer.Renew(f.now, HeldGrant{Grant: s.grant, Output: identifier.Tokens(ran / (5 * time.Millisecond)), Decoding: true, PrefillTime: 100 * time.Millisecond}, false)
		}
	}
}

func (f *outcomeFleet) start() {
	decisions, _ := f.placer.TakeDecisions()
	for _, d := range decisions {
		placed := d.Outcome.Placement
		if placed == nil {
			f.placements = append(f.placements, outcomePlacement{at: f.now})
			continue
		}
		f.placements = append(f.placements, outcomePlacement{f.now, placed.Prefill, placed.Decode})
		s := outcomeStream{grant: placed.Grant, prefill: placed.Prefill, decode: placed.Decode, began: f.now, ends: f.now.Add(outcomeStreamTime)}
		switch {
		case f.failing[placed.Prefill]:
			s.ends = f.now.Add(outcomeFailTime)
			s.result = Result{PrefillEnding: Malformed}
		case f.failing[placed.Decode]:
			s.ends = f.now.Add(outcomeFailTime)
			s.result = Result{Prefilled: true, Decoded: true, Output: 8, PrefillEnding: Answered, DecodeEnding: BrokenOff}
		default:
			s.result = Result{Prefilled: true, Decoded: true, Output: 1040, PrefillEnding: Answered, DecodeEnding: Answered}
		}
		if f.silent {
			s.result.PrefillEnding, s.result.DecodeEnding = EndingUnknown, EndingUnknown
		}
		f.running = append(f.running, s)
	}
}

// countSince counts the placements on an engine since a time, and all since then.
func (f *outcomeFleet) countSince(since time.Time, member identifier.Member) (on, all int) {
	for _, p := range f.placements {
		if p.at.Before(since) || p.decode == "" {
			continue
		}
		all++
		if p.prefill == member || p.decode == member {
			on++
		}
	}
	return on, all
}

// TestFailingEngineGetsProbesOnly guards against an engine that fails at once, looks the emptiest
// for it and draws most streams: 207 of 240 in review/9. It must be so whatever its name.
func TestFailingEngineGetsProbesOnly(t *testing.T) {
	for _, member := range []identifier.Member{"d0", "d1", "d2", "p0", "p1"} {
		t.Run(string(member), func(t *testing.T) {
			f := newOutcomeFleet(t, 2, 3)
			f.play(10*time.Second, 6)
			f.failing[member] = true
			began := f.now
			f.play(40*time.Second, 6)
			on, all := f.countSince(began, member)
			if limit := 5 + 3 + all/20; on > limit || on < 8 {
				t.Errorf("%d of %d requests on %s, at most %d are allowed", on, all, member, limit)
			}
			if refused := f.sent - len(f.placements); refused > 3 {
				t.Errorf("%d requests have no decision", refused)
			}
		})
	}
}

// TestSoundEngineReturnsWithoutBurst guards against an engine that stays limited after its fault
// has ended, and against one that then gets all streams at once.
func TestSoundEngineReturnsWithoutBurst(t *testing.T) {
	for _, member := range []identifier.Member{"d0", "d2", "p1"} {
		t.Run(string(member), func(t *testing.T) {
			f := newOutcomeFleet(t, 2, 3)
			f.failing[member] = true
			f.play(30*time.Second, 6)
			clear(f.failing)
			sound := f.now
			f.play(10*time.Second, 6)
			on, all := f.countSince(sound, member)
			share := 3
			if member[0] == 'p' {
				share = 2
			}
			if limit := 2 * all / share; on > limit {
				t.Errorf("%d of %d requests on %s in the first 10 s, a burst", on, all, member)
			}
			back := f.now
			f.play(20*time.Second, 6)
			if on, all = f.countSince(back, member); on < all/(share+1) {
				t.Errorf("%d of %d requests on %s from 10 s on", on, all, member)
			}
		})
	}
}

// TestPoolsWithoutFailuresAreUnchanged guards against placements that change although no engine
// fails.
func TestPoolsWithoutFailuresAreUnchanged(t *testing.T) {
	reported, silent := newOutcomeFleet(t, 2, 3), newOutcomeFleet(t, 2, 3)
	silent.silent = true
	for _, f := range []*outcomeFleet{reported, silent} {
		f.play(20*time.Second, 6)
		f.play(20*time.Second, 40)
	}
	if !slices.Equal(reported.placements, silent.placements) {
		t.Error("the placements differ")
	}
}

// TestMostOfAPoolFails guards against a pool of which nothing is used because all or most of its
// engines fail.
func TestMostOfAPoolFails(t *testing.T) {
	for failing := 2; failing <= 4; failing++ {
		f := newOutcomeFleet(t, 2, 4)
		for n := range failing {
			f.failing[identifier.Member(fmt.Sprintf("d%d", n))] = true
		}
		f.play(30*time.Second, 6)
		began := f.now
		f.play(20*time.Second, 6)
		placed := 0
		for _, p := range f.placements {
			if !p.at.Before(began) && p.decode != "" {
				placed++
			}
		}
		if placed < 60 {
			t.Errorf("%d of 4 engines fail: %d requests were placed in 20 s", failing, placed)
		}
		onSound, all := 0, 0
		for n := failing; n < 4; n++ {
			var on int
			on, all = f.countSince(began, identifier.Member(fmt.Sprintf("d%d", n)))
			onSound += on
		}
		if onSound < all*9/10 {
			t.Errorf("%d of 4 engines fail: %d of %d requests on the sound ones", failing, onSound, all)
		}
	}
}

// TestNewOwnerKnowsFailingEngines guards against an engine that draws streams again after each
// change of the owner.
func TestNewOwnerKnowsFailingEngines(t *testing.T) {
	f := newOutcomeFleet(t, 2, 3)
	f.failing["d1"] = true
	f.play(20*time.Second, 6)
	f.replaceOwner()
	f.tellOwner()
	began := f.now
	f.play(20*time.Second, 6)
	if on, all := f.countSince(began, "d1"); on > 4+all/20 {
		t.Errorf("%d of %d requests on the failing engine after the change", on, all)
	}
}

// TestEarlierStreamsAreNoProbes guards against a new owner that takes the streams that a failing
// engine had begun before its fault for probes that succeed.
func TestEarlierStreamsAreNoProbes(t *testing.T) {
	f := newOutcomeFleet(t, 2, 3)
	f.play(6*time.Second, 6)
	f.failing["d1"] = true
	f.play(time.Second, 30)
	f.replaceOwner()
	f.tellOwner()
	f.placer.Advance(f.now)
	if f.placer.LimitedEngines() != 1 {
		t.Fatalf("%d engines are limited", f.placer.LimitedEngines())
	}
	f.now = f.now.Add(outcomeTick)
	for _, s := range f.running {
		f.placer.Renew(f.now, HeldGrant{Grant: s.grant, Demand: Demand{Request: identifier.Request(s.grant), Attempt: 1, Node: "n", Prompt: 1000}, Prefill: s.prefill, Decode: s.decode, Pieces: 8, Output: 10, Decoding: true}, true)
	}
	for n := range 4 {
		f.now = f.now.Add(time.Second)
		for _, s := range f.running {
			f.placer.Renew(f.now, HeldGrant{Grant: s.grant, Output: identifier.Tokens(100 * (n + 1)), Decoding: true}, false)
		}
	}
	f.now = f.now.Add(outcomeStreamTime)
	f.endStreams()
	f.placer.Advance(f.now)
	if f.placer.LimitedEngines() != 1 {
		t.Error("the engine is no longer limited")
	}
}

// tellOwner sends a new owner what the nodes have seen.
func (f *outcomeFleet) tellOwner() {
	for _, e := range f.engines {
		if record := f.records[e.Member]; record != nil {
			failures, answers := record.Counts(f.now)
			f.placer.InheritOutcomes(f.now, "n", e.Member, e.Process, NewOutcomeRecord(f.now, failures, answers))
			// A second copy of the message changes nothing.
			f.placer.InheritOutcomes(f.now, "n", e.Member, e.Process, NewOutcomeRecord(f.now, failures, answers))
		}
	}
}

// TestNewProcessIsNotJudged guards against a restarted engine that pays for its former process.
func TestNewProcessIsNotJudged(t *testing.T) {
	f := newOutcomeFleet(t, 2, 3)
	f.failing["d1"] = true
	f.play(20*time.Second, 6)
	if f.placer.LimitedEngines() != 1 {
		t.Fatalf("%d engines are limited", f.placer.LimitedEngines())
	}
	clear(f.failing)
	for i := range f.engines {
		if f.engines[i].Member == "d1" {
			f.engines[i].Process = f.now
		}
	}
	f.placer.Configure(outcomeSettings, f.engines)
	if f.placer.LimitedEngines() != 0 {
		t.Error("the new process is limited")
	}
}

// TestLocalPrefillAndRepeatsAvoidFailingEngines guards against a failing decode engine that
// draws the prompts that decode engines read themselves, or the requests that callers repeat.
func TestLocalPrefillAndRepeatsAvoidFailingEngines(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		prefills := 0
		if repeated {
			prefills = 2
		}
		f := newOutcomeFleet(t, prefills, 3)
		f.failing["d2"], f.repeated = true, repeated
		f.play(30*time.Second, 4)
		on, all := f.countSince(f.now.Add(-20*time.Second), "d2")
		if all < 20 || on > 2+all/20 {
			t.Errorf("repeats %t: %d of %d requests on the failing engine", repeated, on, all)
		}
	}
}

// TestLimitEngines guards against a decision that depends on the order of the engines, limits
// all of them, or blames one for a fault of all.
func TestLimitEngines(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		engines := make([]Evidence, rapid.IntRange(0, 12).Draw(r, "engines"))
		for i := range engines {
			engines[i] = Evidence{
				Failures: rapid.Float64Range(0, 20).Draw(r, "failures"), Answers: rapid.Float64Range(0, 20).Draw(r, "answers"),
				Suspect: rapid.Bool().Draw(r, "suspect"), Tie: uint64(i),
			}
		}
		limited := LimitEngines(engines)
		count := 0
		for i, is := range limited {
			if !is {
				continue
			}
			count++
			if engines[i].Failures < limitingFailures && !engines[i].Suspect {
				r.Fatalf("%+v is limited", engines[i])
			}
		}
		if len(engines) > 0 && 4*(len(engines)-count) < len(engines) {
			r.Fatalf("%d of %d are limited", count, len(engines))
		}
		slices.Reverse(engines)
		reversed := LimitEngines(engines)
		slices.Reverse(reversed)
		if !slices.Equal(limited, reversed) {
			r.Fatal("the order matters")
		}
		same := slices.Repeat([]Evidence{{Failures: 10, Answers: 1}}, 5)
		if slices.Contains(LimitEngines(same), true) {
			r.Fatal("one is blamed for a fault of all")
		}
	})
}

// TestProbeInTime guards against a probe of an engine that is too slow for a demand: the demand was
// refused though another engine had room, and so were all that followed, as the probe was still due.
func TestProbeInTime(t *testing.T) {
	f := newOutcomeFleet(t, 2, 2)
	f.play(time.Second, 10)
	slow := f.placer.engines["p0"]
	slow.learnedPrefillRate = 500
	slow.outcomes.limitedSince, slow.outcomes.probedAt = f.now, f.now
	slow.outcomes.record = OutcomeRecord{failures: maxRecordedFailures, decayedAt: f.now}
	f.placer.hasOutcomes, f.placer.probeCredit[0] = true, 1
	f.placements = nil
	f.play(3*time.Second, 4)
	refused := 0
	for _, placed := range f.placements {
		if placed.prefill == "" {
			refused++
		}
	}
	if !slow.outcomes.isLimited() || len(f.placements) < 10 || refused > 0 {
		t.Errorf("%d of %d demands were refused; limited: %v", refused, len(f.placements), slow.outcomes.isLimited())
	}
}
