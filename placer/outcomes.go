package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// An engine that fails its streams at once looks the emptiest, and so would get nearly all of
// them. Nodes report how streams and prefills ended; the owner limits an engine that fails
// clearly more than the others of its role to a few probes until one succeeds.

// Ending is how an engine's part in a request ended, as far as it tells about the engine.
type Ending uint8

// The values of Ending. Their numbers are part of the messages between nodes.
const (
	// EndingUnknown tells nothing: the caller left, the node drained, the deadline was too
	// short, the engine refused without running the request, the prompt crashed it, or the
	// node's own link may be cut.
	EndingUnknown Ending = iota
	// Answered means that the answer was complete.
	Answered
	// BrokenOff means that the engine ended the answer too early.
	BrokenOff
	// Malformed means that the answer was not one, or an error of the engine itself.
	Malformed
	// NoProgress means that the engine sent nothing for long.
	NoProgress
	// TimedOut means that the engine took far longer than such work takes.
	TimedOut
)

// EndingFromNumber returns an ending from a message; numbers of later versions are unknown.
func EndingFromNumber(number uint32) Ending {
	if number > uint32(TimedOut) {
		return EndingUnknown
	}
	return Ending(number)
}

var endingNames = [...]string{
	EndingUnknown: "unknown", Answered: "answered", BrokenOff: "broken-off", Malformed: "malformed", NoProgress: "no-progress", TimedOut: "timed-out",
}

// String returns the ending's name in logs and metrics.
func (e Ending) String() string { return endingNames[min(e, TimedOut)] }

// Failed reports whether the ending counts against the engine.
func (e Ending) Failed() bool { return e >= BrokenOff && e <= TimedOut }

const (
	// outcomeDecayTime is the time constant with which outcomes are forgotten.
	outcomeDecayTime = 10 * time.Second
	// limitingFailures is how many failures limit an engine: five within three seconds do, or
	// some more within ten. Failures during the decay time count less.
	limitingFailures = 4.2
	// limitingMargin is how far an engine's share of failures must exceed the lowest one of
	// the others of its role, since a fault that all share is not the engine's.
	limitingMargin = 0.25
	// failuresInARow is how many streams granted after one another must have failed for the
	// answers of before to no longer count.
	failuresInARow = 5
	// maxRecordedFailures bounds a record, so that an engine that failed for long is not
	// judged by it for long.
	maxRecordedFailures = 20
	// minUsedShare is the part of a role's engines that is never limited.
	minUsedShare = 0.25
	// probeShare is the part of a role's grants that its limited engines get together.
	probeShare = 1.0 / 20
	// returnTime is how long an engine that is no longer limited gets at most returnFactor
	// times its equal share of the grants. It is the emptiest and would get all of them. A
	// failure in this time limits it again.
	returnTime   = 8 * time.Second
	returnFactor = 1.5
	// soundStreamTime is how long a stream must have run, besides twice the time after which
	// the engine's streams failed before, to count as sound before its end.
	soundStreamTime = time.Second
	maxFailsAfter   = 3 * time.Second
)

// OutcomeRecord counts the outcomes of one process of an engine, decayed. The zero value is
// empty.
type OutcomeRecord struct {
	failures, answers float64
	decayedAt         time.Time
}

// NewOutcomeRecord returns a record as another node has it.
func NewOutcomeRecord(now time.Time, failures, answers float64) OutcomeRecord {
	return OutcomeRecord{boundedCount(failures), boundedCount(answers), now}
}

// boundedCount returns a count from another node, or zero if it is out of bounds.
func boundedCount(n float64) float64 {
	if math.IsNaN(n) || n < 0 {
		return 0
	}
	return min(n, maxRecordedFailures)
}

// Add counts an outcome.
func (r *OutcomeRecord) Add(now time.Time, ending Ending) {
	r.decay(now)
	switch {
	case ending.Failed():
		r.failures = min(r.failures+1, maxRecordedFailures)
	case ending == Answered:
		r.answers++
	}
}

// Counts returns the decayed failures and answers.
func (r *OutcomeRecord) Counts(now time.Time) (failures, answers float64) {
	r.decay(now)
	return r.failures, r.answers
}

// Freeze makes a record not decay until now.
func (r *OutcomeRecord) Freeze(now time.Time) { r.decayedAt = now }

func (r *OutcomeRecord) decay(now time.Time) {
	if past := now.Sub(r.decayedAt); !r.decayedAt.IsZero() && past > 0 {
		factor := math.Exp(-float64(past) / float64(outcomeDecayTime))
		r.failures *= factor
		r.answers *= factor
	}
	r.decayedAt = now
}

// Evidence is what is known of one engine of a role.
type Evidence struct {
	// Failures and Answers are decayed counts. Answers includes streams that run soundly.
	Failures, Answers float64
	// Suspect means that the engine is limited, or has failed again just after it was.
	Suspect bool
	// Tie orders engines of equal evidence. It must not depend on their names alone.
	Tie uint64
}

// failureShare returns the share of failures; an engine of which nothing is known has none.
func (e *Evidence) failureShare() float64 {
	if e.Failures+e.Answers < 1 {
		return 0
	}
	return e.Failures / (e.Failures + e.Answers)
}

// LimitEngines decides which engines of one role are limited to probes: those that fail
// clearly more than the best of the others, the worst first, and never all.
func LimitEngines(engines []Evidence) []bool {
	limited := make([]bool, len(engines))
	lowest := 1.0
	for i := range engines {
		lowest = min(lowest, engines[i].failureShare())
	}
	var worst []int
	for i := range engines {
		e := &engines[i]
		if (e.Suspect || e.Failures >= limitingFailures) && e.failureShare() > lowest+limitingMargin {
			worst = append(worst, i)
		}
	}
	slices.SortFunc(worst, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(engines[b].failureShare(), engines[a].failureShare()),
			cmp.Compare(engines[b].Failures, engines[a].Failures),
			cmp.Compare(engines[a].Tie, engines[b].Tie),
		)
	})
	used := max(1, int(math.Ceil(float64(len(engines))*minUsedShare)))
	for _, i := range worst[:min(len(worst), max(0, len(engines)-used))] {
		limited[i] = true
	}
	return limited
}

// engineOutcomes is what the owner knows of the outcomes of an engine's present process.
type engineOutcomes struct {
	record OutcomeRecord
	// inherited are the records of nodes from before this placer was the owner.
	inherited map[identifier.Node]OutcomeRecord
	// limitedSince is when the engine was limited to probes; zero means that it is not.
	limitedSince time.Time
	probedAt     time.Time
	// returnUntil is until when the engine gets a limited share of the grants; zero means
	// that it does not, and returnCredit the grants that it may get now.
	returnUntil  time.Time
	returnCredit float64
	// failedInARow counts the failures since the last answer to a request that was granted
	// after rowBegan, when the first of those that failed was granted.
	failedInARow int
	rowBegan     time.Time
	// relapsed means that the engine has failed since returnUntil was set.
	relapsed bool
	// failsAfter is about how long the streams that failed had run.
	failsAfter time.Duration
	// blocked means that the engine gets no grant now because of its outcomes.
	blocked bool
}

func (o *engineOutcomes) isLimited() bool { return !o.limitedSince.IsZero() }

// isRestricted reports whether outcomes bear on what the engine is granted.
func (o *engineOutcomes) isRestricted() bool {
	return !o.limitedSince.IsZero() || !o.returnUntil.IsZero()
}

// OutcomeChange tells that an engine was limited to probes, or no longer is.
type OutcomeChange struct {
	Member identifier.Member
	Role   identifier.Role
	// Limited is set if the engine is limited from now on, and Since since when it was if not.
	Limited bool
	Since   time.Time
	// Failures and Answers are the decayed counts that led to the change.
	Failures, Answers float64
}

// maxOutcomeChanges bounds the changes that wait for TakeOutcomeChanges.
const maxOutcomeChanges = 100

// TakeOutcomeChanges returns the changes since the last call.
func (p *Placer) TakeOutcomeChanges() []OutcomeChange {
	changes := p.outcomeChanges
	p.outcomeChanges = nil
	return changes
}

// LimitedEngines returns the number of engines that are limited to probes.
func (p *Placer) LimitedEngines() int {
	count := 0
	for _, e := range p.sortedEngines {
		if e.outcomes.isLimited() && !e.removed {
			count++
		}
	}
	return count
}

// inheritTime is how long after its start an owner takes over what nodes saw before.
const inheritTime = 10 * time.Second

// maxInherited bounds the nodes whose records of an engine a new owner keeps.
const maxInherited = 1024

// InheritOutcomes records what a node has seen of an engine's process before this placer
// was the owner. A later record of the same node replaces it.
func (p *Placer) InheritOutcomes(now time.Time, node identifier.Node, member identifier.Member, process time.Time, record OutcomeRecord) {
	e := p.engines[member]
	if e == nil || now.Sub(p.started) > inheritTime || !isSameProcess(e.Process, process) {
		return
	}
	if e.outcomes.inherited == nil {
		e.outcomes.inherited = map[identifier.Node]OutcomeRecord{}
	}
	if _, known := e.outcomes.inherited[node]; known || len(e.outcomes.inherited) < maxInherited {
		e.outcomes.inherited[node] = record
		p.hasOutcomes = true
	}
}

// isSameProcess compares the starts of two processes, which messages give in milliseconds.
func isSameProcess(a, b time.Time) bool { return a.UnixMilli() == b.UnixMilli() }

// learnEnding counts how an engine's part in a grant ended. Of an engine that has never failed
// nothing needs to be counted until another one fails.
func (p *Placer) learnEnding(now time.Time, g *grant, e *engine, process time.Time, ending Ending) {
	if e == nil || ending == EndingUnknown || !isSameProcess(process, e.Process) {
		return
	}
	if ending.Failed() && g.Demand.Suspect {
		return // The request may be what made the engine fail.
	}
	o := &e.outcomes
	if o.isLimited() {
		// What led to the limit stays until a probe succeeds.
		o.record.Freeze(now)
	}
	o.record.Add(now, ending)
	o.countInARow(g, ending)
	if ending.Failed() {
		p.hasOutcomes = true
		o.relapsed = !o.returnUntil.IsZero()
		ran := min(max(0, now.Sub(g.plannedStart)), maxFailsAfter)
		o.failsAfter = max(ran, o.failsAfter*9/10)
		return
	}
	p.endProbe(now, g, e)
}

// countInARow updates failedInARow. Streams that the engine had begun before its fault may
// still be answered.
func (o *engineOutcomes) countInARow(g *grant, ending Ending) {
	switch {
	case !ending.Failed():
		if g.grantedAt.After(o.rowBegan) {
			o.failedInARow = 0
		}
		return
	case o.failedInARow == 0:
		o.rowBegan = g.grantedAt
	}
	o.failedInARow++
	if o.failedInARow == failuresInARow {
		o.record.answers = 0
	}
}

// learnPrefillEnding counts how a prefill ended, once for each grant.
func (p *Placer) learnPrefillEnding(now time.Time, g *grant, ending Ending) {
	if g.prefillCounted || ending == EndingUnknown {
		return
	}
	g.prefillCounted = true
	p.learnEnding(now, g, g.prefill, g.prefillProcess, ending)
}

// learnRunning counts a probe's stream as sound once it has run for longer than those that
// failed, as the end of a stream may take far longer.
func (p *Placer) learnRunning(now time.Time, g *grant) {
	o := &g.decode.outcomes
	if o.isLimited() && g.Decoding && now.Sub(g.plannedStart) >= 2*o.failsAfter+soundStreamTime {
		p.endProbe(now, g, g.decode)
	}
}

// endProbe ends the limit of an engine of which a grant given under the limit has succeeded.
func (p *Placer) endProbe(now time.Time, g *grant, e *engine) {
	o := &e.outcomes
	if !o.isLimited() || g.adopted || !g.grantedAt.After(o.limitedSince) {
		return
	}
	o.record, o.failedInARow = OutcomeRecord{failures: 1, answers: 1, decayedAt: now}, 0
	p.endLimit(now, e)
}

// endLimit ends the limit of an engine, which then returns to its share.
func (p *Placer) endLimit(now time.Time, e *engine) {
	o := &e.outcomes
	p.addOutcomeChange(now, e, false)
	o.limitedSince, o.inherited = time.Time{}, nil
	o.returnUntil, o.returnCredit, o.relapsed, o.blocked = now.Add(returnTime), 1, false, false
}

func (p *Placer) addOutcomeChange(now time.Time, e *engine, limited bool) {
	if len(p.outcomeChanges) >= maxOutcomeChanges {
		return
	}
	change := OutcomeChange{Member: e.Member, Role: e.Role, Limited: limited, Since: e.outcomes.limitedSince}
	change.Failures, change.Answers = e.outcomes.record.failures, e.outcomes.record.answers
	if limited {
		change.Since = now
	}
	p.outcomeChanges = append(p.outcomeChanges, change)
}

// limitByOutcomes updates which engines are limited. It does nothing while no engine fails.
func (p *Placer) limitByOutcomes(now time.Time) {
	if !p.hasOutcomes {
		return
	}
	p.hasOutcomes = false
	for _, role := range [...][]*engine{p.prefills, p.decodes} {
		var usable []*engine
		for _, e := range role {
			if !e.Draining && !e.removed {
				usable = append(usable, e)
			}
		}
		evidence := make([]Evidence, len(usable))
		for i, e := range usable {
			evidence[i] = p.evidenceOf(now, e)
			p.hasOutcomes = p.hasOutcomes || evidence[i].Failures > minFailures || e.outcomes.isRestricted()
		}
		for i, limited := range LimitEngines(evidence) {
			p.applyLimit(now, usable[i], limited, &evidence[i])
		}
		p.updateBlocked(role)
	}
}

// minFailures is the decayed count of failures below which an engine's failures are forgotten.
const minFailures = 0.1

func (p *Placer) applyLimit(now time.Time, e *engine, limited bool, evidence *Evidence) {
	o := &e.outcomes
	if !o.returnUntil.IsZero() && now.After(o.returnUntil) {
		o.returnUntil, o.relapsed = time.Time{}, false
	}
	switch {
	case limited && !o.isLimited():
		o.record = OutcomeRecord{failures: evidence.Failures, answers: evidence.Answers, decayedAt: now}
		p.addOutcomeChange(now, e, true)
		o.limitedSince, o.probedAt, o.returnUntil, o.relapsed, o.inherited = now, now, time.Time{}, false, nil
	case !limited && o.isLimited():
		// The others fail as much.
		p.endLimit(now, e)
	}
}

// evidenceOf returns what is known of an engine. Streams that have run for a while count as
// answers, since their ends may take far longer than the failures of others.
func (p *Placer) evidenceOf(now time.Time, e *engine) Evidence {
	o := &e.outcomes
	if o.isLimited() {
		o.record.Freeze(now)
	}
	var evidence Evidence
	evidence.Failures, evidence.Answers = o.record.Counts(now)
	for node, record := range o.inherited {
		failures, answers := record.Counts(now)
		evidence.Failures += failures
		evidence.Answers += answers
		o.inherited[node] = record
	}
	evidence.Suspect = o.isLimited() || o.relapsed
	evidence.Tie = xxhash.Sum64String(p.settings.Issuer + "/" + string(e.Member))
	if e.Role == identifier.Decode && !o.isLimited() {
		for _, g := range e.grants {
			isOld := o.failedInARow >= failuresInARow && !g.grantedAt.After(o.rowBegan)
			if g.Decoding && !isOld && now.Sub(g.plannedStart) >= soundStreamTime+o.failsAfter {
				evidence.Answers++
			}
		}
	}
	return evidence
}

// updateBlocked updates which engines of a role get no grant now.
func (p *Placer) updateBlocked(role []*engine) {
	for _, e := range role {
		o := &e.outcomes
		switch {
		case o.isLimited():
			o.blocked = p.probeCredit[roleIndex(e)] < 1
		case !o.returnUntil.IsZero():
			o.blocked = o.returnCredit < 1
		default:
			o.blocked = false
		}
	}
}

// roleIndex returns the index of an engine's role in probeCredit.
func roleIndex(e *engine) int {
	if e.Role == identifier.Prefill {
		return 0
	}
	return 1
}

// countGrant counts a grant of an engine among those of its role, of which restricted engines
// get a part.
func (p *Placer) countGrant(now time.Time, chosen *engine) {
	if !p.hasOutcomes {
		return
	}
	role := p.decodes
	if chosen.Role == identifier.Prefill {
		role = p.prefills
	}
	credit := &p.probeCredit[roleIndex(chosen)]
	*credit = min(*credit+probeShare, 1)
	usable := 0
	for _, e := range role {
		if !e.Draining && !e.removed {
			usable++
		}
	}
	for _, e := range role {
		if !e.outcomes.returnUntil.IsZero() {
			e.outcomes.returnCredit = min(e.outcomes.returnCredit+returnFactor/float64(max(1, usable)), 1)
		}
	}
	switch o := &chosen.outcomes; {
	case o.isLimited():
		*credit = 0
		o.probedAt = now
	case !o.returnUntil.IsZero():
		o.returnCredit--
	}
	p.updateBlocked(role)
}

// probePreference returns how much a limited engine that may get a probe is preferred, the one
// without a probe for the longest first, or zero if the engine is not limited.
func (e *engine) probePreference(now time.Time, d *Demand) time.Duration {
	if !e.outcomes.isLimited() {
		return 0
	}
	chance := time.Duration(xxhash.Sum64String(string(d.Request)+"/"+string(e.Member)) % uint64(time.Millisecond))
	return time.Hour + now.Sub(e.outcomes.probedAt) + chance
}
