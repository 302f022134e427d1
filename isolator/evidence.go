package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Part is the id of a part of a prompt that several requests can share.
type Part uint64

// evidenceID names one observation in the fleet, so that copies of it count once.
type evidenceID uint64

// crashReport says that an engine's process ended with a request in flight.
type crashReport struct {
	member identifier.Member
	// parts are the shared parts of the request's prompt, sorted, without duplicates. Those of a
	// long prompt come in several messages.
	parts []Part
	// count is the number of parts that the report has.
	count int
	// sentAt is when the request was sent, endedAt when its node saw the process end.
	sentAt, endedAt time.Time
}

// isComplete reports whether all parts of the report have come.
func (r crashReport) isComplete() bool { return len(r.parts) >= r.count }

// soundRun is the latest known request that ran well with a part.
type soundRun struct {
	id evidenceID
	// began is when its answer began: no part of its prompt was deadly then.
	began time.Time
}

// trial is the latest known request that was let through although its parts are quarantined.
type trial struct {
	id        evidenceID
	startedAt time.Time
}

// evidence is what a node knows about the parts of prompts. Nodes that have merged the same
// observations hold the same evidence, whatever the order in which they arrived.
type evidence struct {
	reports map[evidenceID]crashReport
	// sound has, for parts of reports, the latest request that ran well.
	sound map[Part]soundRun
	// trials is by the parts that were tried.
	trials map[combinationKey]trial
	// evicted is the number of observations removed for room since it was last read.
	evicted int
}

const (
	// maxReports bounds the reports of evidence, and maxReportedParts their parts together; the
	// latest are kept.
	maxReports       = 512
	maxReportedParts = 8192
	// maxSoundParts bounds the parts of evidence of which a request ran well; the latest are kept.
	maxSoundParts = 2048
	// maxTrials bounds the trials of evidence; the latest are kept.
	maxTrials = 64
	// restartTime is shorter than an engine's restart: a request that was sent less than this
	// after the end of a process may still have been sent to that process. It is longer than
	// the ages of messages are wrong.
	restartTime = 1500 * time.Millisecond
	// simultaneousCrashes is the time within which crashes count as one. Processes that
	// end at the same moment have a common cause outside the requests.
	simultaneousCrashes = 250 * time.Millisecond
	// soundMargin is how long after a crash an answer must have begun to clear its parts.
	// It covers the inaccuracy of the ages of messages.
	soundMargin = 250 * time.Millisecond
)

func newEvidence() *evidence {
	return &evidence{
		reports: map[evidenceID]crashReport{},
		sound:   map[Part]soundRun{},
		trials:  map[combinationKey]trial{},
	}
}

// addReport merges a report, or a part of one. Of two copies the one with the earlier time
// counts, as delays of messages only make an observation look later.
func (e *evidence) addReport(id evidenceID, r crashReport) {
	if known, ok := e.reports[id]; ok {
		r.sentAt, r.endedAt = earlierOf(r.sentAt, known.sentAt), earlierOf(r.endedAt, known.endedAt)
		r.parts, r.count = sortedParts(slices.Concat(r.parts, known.parts)), max(r.count, known.count)
		r.parts = r.parts[:min(len(r.parts), maxReportParts)]
	}
	e.reports[id] = r
	at := func(r crashReport) time.Time { return r.endedAt }
	e.evicted += keepLatest(e.reports, maxReports, at, one)
	e.evicted += keepLatest(e.reports, maxReportedParts, at, func(r crashReport) int { return len(r.parts) })
}

// hasSame reports whether another request with the same parts was in flight at the same crash.
func (e *evidence) hasSame(r crashReport) bool {
	for _, known := range e.reports {
		if known.member == r.member && known.endedAt.Sub(r.endedAt).Abs() < restartTime && slices.Equal(known.parts, r.parts) {
			return true
		}
	}
	return false
}

// addSound merges a request that ran well. It keeps the latest of each part.
func (e *evidence) addSound(parts []Part, run soundRun) {
	for _, part := range parts {
		known, ok := e.sound[part]
		switch {
		case ok && known.id == run.id:
			e.sound[part] = soundRun{run.id, earlierOf(run.began, known.began)}
		case !ok || run.began.After(known.began) || run.began.Equal(known.began) && run.id < known.id:
			e.sound[part] = run
		}
	}
	e.evicted += keepLatest(e.sound, maxSoundParts, func(run soundRun) time.Time { return run.began }, one)
}

// addTrial merges a trial. It keeps the latest of each combination.
func (e *evidence) addTrial(key combinationKey, t trial) {
	known, ok := e.trials[key]
	switch {
	case ok && known.id == t.id:
		t.startedAt = earlierOf(t.startedAt, known.startedAt)
	case ok && !t.startedAt.After(known.startedAt):
		return
	}
	e.trials[key] = t
	e.evicted += keepLatest(e.trials, maxTrials, func(t trial) time.Time { return t.startedAt }, one)
}

// removeBefore removes observations from before a time.
func (e *evidence) removeBefore(oldest time.Time) {
	maps.DeleteFunc(e.reports, func(_ evidenceID, r crashReport) bool { return r.endedAt.Before(oldest) })
	maps.DeleteFunc(e.sound, func(_ Part, run soundRun) bool { return run.began.Before(oldest) })
	maps.DeleteFunc(e.trials, func(_ combinationKey, t trial) bool { return t.startedAt.Before(oldest) })
}

// countIncomplete returns the number of reports of which a message is missing.
func (e *evidence) countIncomplete() int {
	count := 0
	for _, r := range e.reports {
		if !r.isComplete() {
			count++
		}
	}
	return count
}

// one is the size of values that are only counted.
func one[V any](V) int { return 1 }

// keepLatest removes the earliest values above a limit of their sizes together, and returns how many.
func keepLatest[K cmp.Ordered, V any](values map[K]V, limit int, at func(V) time.Time, size func(V) int) (removed int) {
	total := 0
	for _, value := range values {
		total += size(value)
	}
	if total <= limit {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(values), func(a, b K) int {
		return cmp.Or(at(values[a]).Compare(at(values[b])), cmp.Compare(b, a))
	})
	for ; total > limit; removed++ {
		total -= size(values[keys[removed]])
		delete(values, keys[removed])
	}
	return removed
}

// ranWell reports whether a request with a part ran well at any time.
func (e *evidence) ranWell(part Part) bool {
	_, ok := e.sound[part]
	return ok
}

// isSound reports whether a request with a part began to be answered after a moment and ran
// well.
func (e *evidence) isSound(part Part, at time.Time) bool {
	run, ok := e.sound[part]
	return ok && run.began.After(at.Add(soundMargin))
}

// crash is the end of one or, at the same moment, several engines' processes.
type crash struct {
	at time.Time
	// ended has when each of the processes ended.
	ended map[identifier.Member]time.Time
	// requests has the parts of each request in flight, sorted, without duplicates.
	requests [][]Part
}

// crashes returns the crashes that the complete reports are about, in order of time.
func (e *evidence) crashes() []crash {
	ids := slices.SortedFunc(maps.Keys(e.reports), func(a, b evidenceID) int {
		return cmp.Or(e.reports[a].endedAt.Compare(e.reports[b].endedAt), cmp.Compare(a, b))
	})
	ids = slices.DeleteFunc(ids, func(id evidenceID) bool { return !e.reports[id].isComplete() })
	type ending struct {
		member identifier.Member
		at     time.Time
	}
	byMember := map[identifier.Member][]*ending{}
	var endings []*ending
	requests := map[*ending][][]Part{}
	for _, id := range ids {
		r := e.reports[id]
		// A node that was cut off sees the end of a process late. The request was on the
		// first process that ended after it was sent.
		known := byMember[r.member]
		n := slices.IndexFunc(known, func(k *ending) bool { return k.at.Add(restartTime).After(r.sentAt) })
		if n < 0 {
			n = len(known)
			known = append(known, &ending{r.member, r.endedAt})
			byMember[r.member] = known
			endings = append(endings, known[n])
		}
		requests[known[n]] = append(requests[known[n]], r.parts)
	}
	var crashes []crash
	for _, end := range endings {
		if last := len(crashes) - 1; last < 0 || end.at.Sub(crashes[last].at) > simultaneousCrashes {
			crashes = append(crashes, crash{at: end.at, ended: map[identifier.Member]time.Time{}})
		}
		c := &crashes[len(crashes)-1]
		c.ended[end.member] = end.at
		c.requests = append(c.requests, requests[end]...)
	}
	for n := range crashes {
		slices.SortFunc(crashes[n].requests, slices.Compare)
		crashes[n].requests = slices.CompactFunc(crashes[n].requests, slices.Equal)
	}
	return crashes
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
