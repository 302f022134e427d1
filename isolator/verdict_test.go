package isolator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestVerdictDependsOnNoOrder guards against nodes that come to different verdicts because the
// same observations reached them in different orders, or more than once.
func TestVerdictDependsOnNoOrder(t *testing.T) {
	began := time.Now()
	rapid.Check(t, func(r *rapid.T) {
		var observations []func(e *evidence)
		drawTime := func(label string) time.Time {
			return began.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(r, label)) * time.Millisecond)
		}
		drawParts := func() []Part {
			return sortedParts(rapid.SliceOfN(rapid.Map(rapid.IntRange(1, 6), func(n int) Part { return Part(n) }), 1, 4).Draw(r, "parts"))
		}
		for n := range rapid.IntRange(0, 24).Draw(r, "observations") {
			id, parts, at := evidenceID(n), drawParts(), drawTime("at")
			switch rapid.IntRange(0, 5).Draw(r, "kind") {
			case 0:
				observations = append(observations, func(e *evidence) { e.addSound(parts, soundRun{id, at}) })
			case 1:
				observations = append(observations, func(e *evidence) { e.addTrial(combination(parts).key(), trial{id, at}) })
			default:
				member := identifier.Member(fmt.Sprint("engine-", rapid.IntRange(0, 3).Draw(r, "engine")))
				sentAt := at.Add(-time.Duration(rapid.IntRange(0, 5_000).Draw(r, "sent")) * time.Millisecond)
				observations = append(observations, func(e *evidence) {
					e.addReport(id, crashReport{member: member, parts: parts, sentAt: sentAt, endedAt: at})
				})
			}
		}
		merge := func(all []func(e *evidence)) *verdict {
			e := newEvidence()
			for _, add := range all {
				add(e)
			}
			return e.judge()
		}
		want := merge(observations)
		shuffled := rapid.Permutation(observations).Draw(r, "order")
		repeated := append(shuffled, shuffled[:len(shuffled)/2]...)
		if got := merge(repeated); !reflect.DeepEqual(got, want) {
			r.Fatalf("%+v in one order, %+v in another", want, got)
		}
		for _, q := range want.quarantines {
			if len(q.parts) == 0 || q.crashes < certainThreshold {
				r.Fatalf("%+v is quarantined", q)
			}
		}
	})
}

// TestCrashSeenLateIsTheSame guards against two crashes in place of one when a node that was
// cut off sees the end of a process seconds after the others.
func TestCrashSeenLateIsTheSame(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		sentAt, endedAt float64
		crashes         int
	}{
		"in flight, seen late":          {sentAt: 9, endedAt: 30, crashes: 1},
		"in flight, seen at once":       {sentAt: 9, endedAt: 10.1, crashes: 1},
		"sent as the process ended":     {sentAt: 10.2, endedAt: 10.4, crashes: 1},
		"sent to the restarted process": {sentAt: 14, endedAt: 15, crashes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvidence()
			e.addReport(1, crashReport{member: "engine", parts: []Part{1}, sentAt: at(5), endedAt: at(10)})
			e.addReport(2, crashReport{member: "engine", parts: []Part{2}, sentAt: at(test.sentAt), endedAt: at(test.endedAt)})
			if got := len(e.crashes()); got != test.crashes {
				t.Errorf("%d crashes", got)
			}
		})
	}
}

// TestBystandersOfDeadlyPartRun guards against a sound request that is refused as poison
// because it was in flight at two crashes that a part of other prompts caused.
func TestBystandersOfDeadlyPartRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		const bystander = 7
		for at := range certainThreshold {
			n.isolators["a"].ReportEngineCrash(Crash{Member: identifier.Member(fmt.Sprint("decode-", at)), Fingerprint: bystander, Parts: []Part{sharedPart, soundPart + Part(at)}})
			crash(at, sharedPart, deadlyPart)
			time.Sleep(time.Second)
		}
		for node, i := range n.isolators {
			if i.IsQuarantined(bystander) || i.IsPromptQuarantined(bystander, []Part{sharedPart, soundPart}) {
				t.Errorf("node %s refuses the bystander", node)
			}
		}
	})
}

// TestMessagesKeepTheirAge guards against a crash that looks new to a node that joins, so that
// it quarantines longer than the others.
func TestMessagesKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var payloads [][]byte
		var sent []time.Time
		reporter := New(Options{Broadcast: func(_ string, payload []byte) { payloads, sent = append(payloads, payload), append(sent, time.Now()) }})
		for at := range certainThreshold {
			reporter.ReportEngineCrash(Crash{Member: identifier.Member(fmt.Sprint("decode-", at)), Fingerprint: uint64(at), Parts: []Part{deadlyPart}})
			time.Sleep(time.Second)
		}
		time.Sleep(certainTrialDelay / 2)
		late := New(Options{})
		for n, payload := range payloads {
			late.Receive(payload, time.Since(sent[n]))
		}
		got, want := late.currentVerdict(time.Now()), reporter.currentVerdict(time.Now())
		if !reflect.DeepEqual(got, want) || len(want.quarantines) != 1 {
			t.Errorf("the late node's verdict is %+v, that of the others %+v", got, want)
		}
	})
}

// TestEvidenceFitsGossipMessages guards against lost evidence, also of long prompts and engines with
// long names, and against evidence that grows without bound.
func TestEvidenceFitsGossipMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		largest, messages := 0, 0
		i := New(Options{Broadcast: func(_ string, payload []byte) { largest, messages = max(largest, len(payload)), messages+1 }})
		random := rand.New(rand.NewPCG(1, 2))
		for n := range 4 * maxReports {
			var parts []Part
			for range 2 * maxReportParts {
				parts = append(parts, Part(random.Uint64()|1<<63))
			}
			i.ReportEngineCrash(Crash{Member: identifier.Member(strings.Repeat("\"", 600)), Fingerprint: uint64(n), Parts: parts})
			i.ReportPartsSound(parts, time.Now().Add(time.Second))
			time.Sleep(10 * time.Millisecond)
		}
		before := messages
		i.repeatEvidence()
		if largest > maxMessageBytes || messages-before > maxRepeats {
			t.Errorf("messages of up to %d bytes, %d of them in one repeat", largest, messages-before)
		}
		if len(i.evidence.reports) > maxReports || len(i.evidence.sound) > maxSoundParts || len(i.lastCrashes) > maxReportedParts {
			t.Errorf("%d reports, %d parts that ran well", len(i.evidence.reports), len(i.evidence.sound))
		}
	})
}

// TestPartOfReportBlamesNothing guards against a verdict on the first message of a report, which
// lacks the deadly part: what all requests share would be refused.
func TestPartOfReportBlamesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := New(Options{})
		var rest [][]byte
		reporter := New(Options{Broadcast: func(_ string, payload []byte) {
			var message wireMessage
			if err := json.Unmarshal(payload, &message); err != nil {
				t.Fatal(err)
			}
			if len(message.Evidence) > 0 && slices.Contains(message.Evidence[0].Parts, Part(maxReportParts)) {
				rest = append(rest, payload)
				return
			}
			late.Receive(payload, 0)
		}})
		var parts []Part
		for n := range maxReportParts {
			parts = append(parts, Part(n+1))
		}
		for at := range certainThreshold {
			reporter.ReportEngineCrash(Crash{Member: identifier.Member(fmt.Sprint("decode-", at)), Fingerprint: uint64(at), Parts: parts})
			time.Sleep(time.Second)
		}
		if v := late.currentVerdict(time.Now()); len(v.quarantines) > 0 || late.evidence.countIncomplete() != certainThreshold {
			t.Errorf("%+v from a part of the reports", v.quarantines)
		}
		for _, payload := range rest {
			late.Receive(payload, time.Second)
		}
		if got, want := late.currentVerdict(time.Now()).combinations(), reporter.currentVerdict(time.Now()).combinations(); len(want) != 1 || !reflect.DeepEqual(got, want) {
			t.Errorf("%x from the whole reports, the reporter has %x", got, want)
		}
	})
}

// FuzzReceive guards against messages of other nodes that end the process, grow the records
// without bound or date an observation in the future.
func FuzzReceive(f *testing.F) {
	sample, _ := json.Marshal(wireMessage{Evidence: []wireEvidence{
		{ID: 1, Parts: []Part{1, 2}, Member: "decode-1", AgeMilliseconds: 20, SentAgeMilliseconds: 900},
		{ID: 2, Parts: []Part{1}, AgeMilliseconds: 10},
		{ID: 3, Trial: 2},
	}})
	f.Add(sample, int64(0))
	f.Add([]byte(`{"evidence":[{"id":1,"parts":[],"member":"x","age-milliseconds":-9223372036854775808}]}`), int64(1))
	f.Add([]byte(`{"member":"x","fingerprints":[1],"age-milliseconds":9223372036854775807}`), int64(300_000))
	f.Fuzz(func(t *testing.T, payload []byte, ageMilliseconds int64) {
		i := New(Options{})
		i.Receive(payload, max(0, time.Duration(ageMilliseconds%300_000)*time.Millisecond))
		now := time.Now()
		for _, r := range i.evidence.reports {
			if r.endedAt.After(now) || r.sentAt.After(r.endedAt) || len(r.parts) > maxReportParts || !slices.IsSorted(r.parts) {
				t.Errorf("report %+v", r)
			}
		}
		for _, q := range i.currentVerdict(now).quarantines {
			if len(q.parts) == 0 {
				t.Errorf("quarantine %+v", q)
			}
		}
		i.IsPromptQuarantined(1, []Part{1, 2})
		i.repeatEvidence()
	})
}

// BenchmarkVerdict judges the most evidence that a node keeps: crashes of many engines with
// many requests in flight.
func BenchmarkVerdict(b *testing.B) {
	e := newEvidence()
	random := rand.New(rand.NewPCG(1, 2))
	began := time.Now()
	for n := range maxReports {
		parts := []Part{1}
		for place := range maxPartsPerMessage - 1 {
			parts = append(parts, Part(100*(place+1)+random.IntN(20)))
		}
		at := began.Add(time.Duration(n/10) * time.Second)
		e.addReport(evidenceID(n), crashReport{member: identifier.Member(fmt.Sprint("engine-", n/10)), parts: sortedParts(parts), sentAt: at.Add(-time.Second), endedAt: at})
	}
	for b.Loop() {
		e.judge()
	}
}
