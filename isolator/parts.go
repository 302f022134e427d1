package isolator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Crash is the end of an engine's process with a request in flight.
type Crash struct {
	Member      identifier.Member
	Fingerprint uint64
	// Parts are the parts of the request's prompt that other requests can share.
	Parts []Part
	// Names are the callers' names of the parts, for the log only.
	Names []string
	// SentAt is when the request was sent, EndedAt when the end of the process was seen.
	SentAt, EndedAt time.Time
}

const (
	// verdictInterval is the mean time between two broadcasts of the evidence of quarantines
	// by any node of the fleet: a node that starts or was cut off learns of it within seconds.
	verdictInterval = 500 * time.Millisecond
	// repeatedCrashes bounds the crashes of one combination in a broadcast.
	repeatedCrashes = doubtfulThreshold
	// maxRepeats bounds the messages of one broadcast of evidence.
	maxRepeats = 2
	// maxReportParts bounds the parts of a crash report. Of a longer prompt it has those that ran
	// well least recently.
	maxReportParts = 64
	// trialSlot is the time for which one node may start a trial, if a request comes in the
	// first trialWindow of it. The rest is for the start to become known.
	trialSlot   = time.Second
	trialWindow = 600 * time.Millisecond
)

// ReportEngineCrash records and broadcasts the crash of an engine's process with a request
// of this node in flight. The engine must have ended; an engine that cannot be reached
// says nothing about the prompt.
func (i *Isolator) ReportEngineCrash(c Crash) {
	i.ReportCrash(c.Member, []uint64{c.Fingerprint})
	parts, leftOut := i.reportedParts(sortedParts(c.Parts))
	if len(parts) == 0 {
		return
	}
	i.leftOutCounter.Inc(int64(leftOut))
	i.options.Log.Log(eventPartsCrash, logger.Fields{"member": c.Member, "parts": formatParts(parts), "left-out": leftOut, "names": c.Names})
	now := time.Now()
	report := crashReport{member: c.Member.Short(), parts: parts, count: len(parts), sentAt: c.SentAt, endedAt: c.EndedAt}
	if report.endedAt.IsZero() {
		report.endedAt = now
	}
	if report.sentAt.IsZero() {
		report.sentAt = report.endedAt
	}
	i.broadcastEvidence(i.addCrash(now, report))
}

// reportedParts returns the parts of a prompt for a crash report, sorted, and how many others there
// are. A part that has been in flight at crashes and never ran well is the likeliest cause, and one
// that ran well a moment ago the least likely.
func (i *Isolator) reportedParts(parts []Part) (reported []Part, leftOut int) {
	if len(parts) <= maxReportParts {
		return parts, 0
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	ranWellAt := make(map[Part]time.Time, len(parts))
	for _, part := range parts {
		run, _ := i.recent.find(part)
		ranWellAt[part] = laterOf(run.began, i.evidence.sound[part].began)
	}
	reported = slices.Clone(parts)
	slices.SortFunc(reported, func(a, b Part) int {
		return cmp.Or(ranWellAt[a].Compare(ranWellAt[b]), i.lastCrashes[b].Compare(i.lastCrashes[a]), cmp.Compare(a, b))
	})
	reported = reported[:maxReportParts]
	slices.Sort(reported)
	return reported, len(parts) - len(reported)
}

// addCrash records a crash and returns the messages about it.
func (i *Isolator) addCrash(now time.Time, report crashReport) []wireEvidence {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.evidence.hasSame(report) {
		return nil
	}
	id := i.newEvidenceID()
	i.addReport(id, report)
	messages := append(report.wire(now, id), i.shareRecent(now, report.parts)...)
	i.verdictIsStale = true
	return messages
}

// ReportPartsSound records that a request with these parts ran well, and broadcasts it if it
// clears one of them. The answer must have been complete, or have gone on for longer than a
// crash takes, and began when its first event came.
func (i *Isolator) ReportPartsSound(parts []Part, began time.Time) {
	i.broadcastEvidence(i.addSound(time.Now(), sortedParts(parts), began))
}

// addSound records a sound run and returns the messages about it.
func (i *Isolator) addSound(now time.Time, parts []Part, began time.Time) []wireEvidence {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	run := soundRun{i.newEvidenceID(), began}
	var cleared []Part
	for n, part := range parts {
		if n < maxRecentPerRequest {
			i.recent.add(part, run)
		}
		if at, ok := i.lastCrashes[part]; ok && !i.evidence.isSound(part, at) && began.After(at.Add(soundMargin)) {
			cleared = append(cleared, part)
		}
	}
	var messages []wireEvidence
	if len(cleared) > 0 {
		i.evidence.addSound(cleared, run)
		messages = run.wire(now, cleared)
		i.verdictIsStale = true
	}
	return messages
}

// IsPromptQuarantined reports whether a request with these parts must not be sent to any
// engine. Of the requests of all nodes that it would refuse it lets one through from time to
// time, to which it returns false each time, so that parts that are no longer deadly come back
// into use.
func (i *Isolator) IsPromptQuarantined(fingerprint uint64, parts []Part) bool {
	refused, messages := i.judgePrompt(time.Now(), fingerprint, parts)
	i.broadcastEvidence(messages)
	if refused {
		i.refusalCounter.Inc(1)
	}
	return refused
}

// judgePrompt decides whether a prompt is refused, and returns the message of a trial that it
// starts.
func (i *Isolator) judgePrompt(now time.Time, fingerprint uint64, parts []Part) (refused bool, messages []wireEvidence) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	quarantines := i.currentVerdict(now).quarantines
	if len(quarantines) == 0 {
		return false, nil
	}
	var matching []quarantine
	parts = sortedParts(parts)
	for _, q := range quarantines {
		if q.parts.isIn(parts) {
			matching = append(matching, q)
		}
	}
	refused = len(matching) > 0
	if len(matching) == 1 {
		var started *wireEvidence
		if refused, started = i.refuseOrTry(now, fingerprint, parts, matching[0]); started != nil {
			messages = append(messages, *started)
		}
	}
	return refused, messages
}

// refuseOrTry decides whether a request with quarantined parts is refused. It returns the
// message of a trial that it starts. The caller must hold the mutex.
func (i *Isolator) refuseOrTry(now time.Time, fingerprint uint64, parts []Part, q quarantine) (refused bool, started *wireEvidence) {
	key := q.parts.key()
	if own, ok := i.ownTrials[key]; ok && own.startedAt.After(q.lastCrash) && now.Sub(own.startedAt) < trialTimeout {
		return own.fingerprint != fingerprint, nil
	}
	if !i.mayStartTrial(now, parts, q) {
		return true, nil
	}
	maps.DeleteFunc(i.ownTrials, func(_ combinationKey, t ownTrial) bool { return now.Sub(t.startedAt) > trialTimeout })
	t := trial{i.newEvidenceID(), now}
	i.evidence.addTrial(key, t)
	i.ownTrials[key] = ownTrial{fingerprint, now}
	i.verdictIsStale = true
	i.trialCounter.Inc(1)
	i.options.Log.Log(eventPartTrial, logger.Fields{"parts": formatParts(q.parts), "crashes": q.crashes})
	return false, &wireEvidence{ID: t.id, Trial: key}
}

// mayStartTrial reports whether this node may let a request through now. The caller must hold
// the mutex.
func (i *Isolator) mayStartTrial(now time.Time, parts []Part, q quarantine) bool {
	since := now.Sub(q.trialFrom)
	if since < 0 || since%trialSlot >= trialWindow {
		return false
	}
	// The crash of a request that has other suspects would say nothing about these.
	for _, part := range parts {
		if q.doubtful && i.verdict.suspects[part] && !hasPart(q.parts, part) {
			return false
		}
	}
	turn := strconv.FormatUint(uint64(q.parts.key()), 16) + "/" + strconv.FormatInt(int64(since/trialSlot), 10)
	return i.options.HasTurn(turn)
}

// ownTrial is a request of this node that is let through.
type ownTrial struct {
	fingerprint uint64
	startedAt   time.Time
}

// applyEvidence merges observations of another node. The ages in them are of the time at which
// they were sent, age ago.
// The caller must hold the mutex.
func (i *Isolator) applyEvidence(now time.Time, age time.Duration, received []wireEvidence) {
	for _, w := range received {
		parts := sortedParts(w.Parts)
		parts = parts[:min(len(parts), maxReportParts)]
		at := now.Add(-age - time.Duration(w.AgeMilliseconds)*time.Millisecond)
		sentAt := now.Add(-age - time.Duration(w.SentAgeMilliseconds)*time.Millisecond)
		if len(parts) == 0 && w.Trial == 0 || !w.isValid(i.options.Expiry) {
			continue
		}
		switch {
		case w.Trial != 0:
			i.evidence.addTrial(w.Trial, trial{w.ID, at})
		case w.Member != "":
			i.addReport(w.ID, crashReport{member: w.Member, parts: parts, count: min(w.PartCount, maxReportParts), sentAt: earlierOf(sentAt, at), endedAt: at})
		default:
			i.evidence.addSound(parts, soundRun{w.ID, at})
		}
	}
	i.verdictIsStale = true
}

// addReport adds a report to the evidence. The caller must hold the mutex.
func (i *Isolator) addReport(id evidenceID, r crashReport) {
	i.evidence.addReport(id, r)
	for _, part := range r.parts {
		i.lastCrashes[part] = laterOf(i.lastCrashes[part], r.endedAt)
	}
}

// removeExpiredEvidence removes old evidence, and makes lastCrashes anew from the rest. The
// caller must hold the mutex.
func (i *Isolator) removeExpiredEvidence(now time.Time) {
	i.evidence.removeBefore(now.Add(-i.options.Expiry))
	clear(i.lastCrashes)
	for _, r := range i.evidence.reports {
		for _, part := range r.parts {
			i.lastCrashes[part] = laterOf(i.lastCrashes[part], r.endedAt)
		}
	}
}

const (
	// verdictLifetime is the time after which a verdict is made anew, as evidence expires.
	verdictLifetime = 10 * time.Second
	// verdictRest is how many times as long as it took to make a verdict no other is made.
	// Reports come by the hundred when engines crash, and a verdict on many takes milliseconds.
	verdictRest = 10
)

// currentVerdict returns the verdict on the present evidence, or on what was present some
// milliseconds ago, and logs how it differs from the one before. The caller must hold the mutex.
func (i *Isolator) currentVerdict(now time.Time) *verdict {
	isOld := len(i.evidence.reports) > 0 && now.Sub(i.verdictAt) >= verdictLifetime
	if !i.verdictIsStale && !isOld || now.Before(i.nextVerdictAt) {
		return i.verdict
	}
	i.removeExpiredEvidence(now)
	i.incompleteGauge.Update(float64(i.evidence.countIncomplete()))
	i.evictedCounter.Inc(int64(i.evidence.evicted))
	i.evidence.evicted = 0
	i.verdict, i.verdictAt, i.verdictIsStale = i.evidence.judge(), now, false
	i.nextVerdictAt = now.Add(verdictRest * time.Since(now))
	quarantined := map[combinationKey]combination{}
	for _, q := range i.verdict.quarantines {
		key := q.parts.key()
		quarantined[key] = q.parts
		if _, known := i.quarantined[key]; !known {
			i.options.Log.Log(eventPartQuarantined, logger.Fields{
				"parts": formatParts(q.parts), "crashes": q.crashes, "doubtful": q.doubtful, "last-crash-ms": now.Sub(q.lastCrash).Milliseconds(),
			})
		}
	}
	for key, parts := range i.quarantined {
		if _, still := quarantined[key]; !still {
			i.options.Log.Log(eventPartReleased, logger.Fields{"parts": formatParts(parts)})
			delete(i.ownTrials, key)
		}
	}
	i.quarantined = quarantined
	i.quarantineGauge.Update(float64(len(quarantined)))
	return i.verdict
}

// shareRecent moves what this node alone knows of requests that ran well with these parts into
// the evidence, and returns it for the other nodes. The caller must hold the mutex.
func (i *Isolator) shareRecent(now time.Time, parts []Part) []wireEvidence {
	byRun := map[soundRun][]Part{}
	for _, part := range parts {
		run, ok := i.recent.find(part)
		at, crashed := i.lastCrashes[part]
		clears := crashed && run.began.After(at.Add(soundMargin)) && !i.evidence.isSound(part, at)
		if ok && now.Sub(run.began) < i.options.Expiry && (clears || !i.evidence.ranWell(part)) {
			byRun[run] = append(byRun[run], part)
		}
	}
	var messages []wireEvidence
	for run, parts := range byRun {
		i.evidence.addSound(parts, run)
		messages = append(messages, run.wire(now, parts)...)
	}
	return messages
}

// repeatEvidence broadcasts the evidence of the quarantines, for nodes that missed it, and what
// this node alone knows of the suspects.
func (i *Isolator) repeatEvidence() {
	i.mutex.Lock()
	now := time.Now()
	var suspects []Part
	for part := range i.lastCrashes {
		suspects = append(suspects, part)
	}
	messages := i.shareRecent(now, suspects)
	if len(messages) > 0 {
		i.verdictIsStale = true
	}
	for _, q := range i.currentVerdict(now).quarantines {
		messages = append(messages, i.evidenceOf(now, q)...)
	}
	batches := packEvidence(messages)
	i.random.Shuffle(len(batches), func(a, b int) { batches[a], batches[b] = batches[b], batches[a] })
	i.mutex.Unlock()
	for _, batch := range batches[:min(len(batches), maxRepeats)] {
		i.broadcast(wireMessage{Evidence: batch})
	}
}

// evidenceOf returns the latest reports that a quarantine is based on, what is known of their
// other parts, and the latest trial. The caller must hold the mutex.
func (i *Isolator) evidenceOf(now time.Time, q quarantine) []wireEvidence {
	ids := slices.SortedFunc(maps.Keys(i.evidence.reports), func(a, b evidenceID) int {
		return i.evidence.reports[b].endedAt.Compare(i.evidence.reports[a].endedAt)
	})
	var messages []wireEvidence
	known := map[soundRun][]Part{}
	included := map[Part]bool{}
	last, reports := time.Time{}, 0
	for _, id := range ids {
		r := i.evidence.reports[id]
		if !r.isComplete() || !q.parts.isIn(r.parts) || reports == repeatedCrashes || !last.IsZero() && last.Sub(r.endedAt) <= simultaneousCrashes {
			continue
		}
		last = r.endedAt
		reports++
		messages = append(messages, r.wire(now, id)...)
		for _, part := range r.parts {
			if run, ok := i.evidence.sound[part]; ok && !included[part] {
				included[part] = true
				known[run] = append(known[run], part)
			}
		}
	}
	for run, parts := range known {
		messages = append(messages, run.wire(now, parts)...)
	}
	if t, ok := i.evidence.trials[q.parts.key()]; ok {
		messages = append(messages, wireEvidence{ID: t.id, Trial: q.parts.key(), AgeMilliseconds: now.Sub(t.startedAt).Milliseconds()})
	}
	return messages
}

func (i *Isolator) broadcastEvidence(messages []wireEvidence) {
	for _, batch := range packEvidence(messages) {
		i.broadcast(wireMessage{Evidence: batch})
	}
}

// verdictDelay returns how long this node waits before it broadcasts evidence again.
func (i *Isolator) verdictDelay() time.Duration {
	mean := verdictInterval * time.Duration(max(1, i.options.Nodes()))
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return mean/2 + time.Duration(i.random.Int64N(int64(mean)))
}

// sortedParts returns a sorted copy of parts without duplicates.
func sortedParts(parts []Part) []Part {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// newEvidenceID returns an id that no other observation has. The caller must hold the mutex.
func (i *Isolator) newEvidenceID() evidenceID { return evidenceID(i.random.Uint64()) }

func formatParts(parts []Part) []string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, strconv.FormatUint(uint64(part), 16))
	}
	return texts
}

// recentRuns has the latest request of this node that ran well with a part. It keeps at least
// the last recentParts parts.
type recentRuns struct {
	// current has at most recentParts parts; older is what it had when it was last full.
	current, older map[Part]soundRun
}

const (
	// recentParts bounds the parts of recentRuns.
	recentParts = 4096
	// maxRecentPerRequest bounds those of one request, so that a long prompt doesn't take the place
	// of all others. They are the first in the order of their hashes, the same in all requests.
	maxRecentPerRequest = 512
)

func (r *recentRuns) add(part Part, run soundRun) {
	if len(r.current) >= recentParts {
		r.older, r.current = r.current, nil
	}
	if r.current == nil {
		r.current = map[Part]soundRun{}
	}
	r.current[part] = run
}

func (r *recentRuns) find(part Part) (soundRun, bool) {
	if run, ok := r.current[part]; ok {
		return run, true
	}
	run, ok := r.older[part]
	return run, ok
}
