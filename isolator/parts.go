package isolator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Part is the id of a part of a prompt that several requests can share.
type Part uint64

// Crash is the end of an engine's process with a request in flight.
type Crash struct {
	Member      identifier.Member
	Fingerprint uint64
	// Parts are the shared parts of the request's prompt, the one that most requests
	// share first.
	Parts []Part
}

const (
	// partThreshold is the number of crashes after which a part is quarantined. It is
	// larger than poisonThreshold: many requests share a part, so that one is more often
	// in flight at a crash with another cause.
	partThreshold = 3
	// simultaneousCrashes is the time within which crashes count as one. Processes that
	// end at the same moment have a common cause outside the requests.
	simultaneousCrashes = 250 * time.Millisecond
	// sameCrash is the time within which reports of an engine's end are of the same one. It
	// is shorter than an engine's restart, and an engine may keep its name in a restart.
	sameCrash = 1500 * time.Millisecond
	// maxCrashesPerPart bounds a record; the oldest crashes are dropped.
	maxCrashesPerPart = 16
	// partTrialDelay is the time after the last crash at which a quarantined part is tried
	// again; it doubles with each crash above partThreshold, up to Options.Expiry.
	partTrialDelay = time.Minute
	// verdictInterval is the mean time between two broadcasts of a quarantined part by any
	// node of the fleet: a node that starts or was cut off learns of it within seconds.
	verdictInterval = 500 * time.Millisecond
	// maxCrashesPerVerdict keeps a message below the gossip's size limit.
	maxCrashesPerVerdict = 4
	// maxPartsPerMessage keeps a message below the gossip's size limit.
	maxPartsPerMessage = 8
)

// partRecord is the crash history of a part.
type partRecord struct {
	// crashes has the crashes since finishedAt that no other part explains, in order of
	// time.
	crashes   []partCrash
	lastCrash time.Time
	// finishedAt is when a request with the part last finished.
	finishedAt time.Time
}

type partCrash struct {
	member identifier.Member
	at     time.Time
}

// isSame reports whether two reports are of the same crash.
func (c partCrash) isSame(other partCrash) bool {
	return c.member == other.member && c.at.Sub(other.at).Abs() < sameCrash
}

// wireParts is the part of a message that reports a crash with a prompt's parts in
// flight, or that a request with the parts finished.
type wireParts struct {
	Parts []Part `json:"parts"`
	// Member is the engine that crashed.
	Member identifier.Member `json:"member,omitempty"`
}

// wireVerdict tells why a part is quarantined.
type wireVerdict struct {
	Part Part `json:"part"`
	// Crashes has the latest crashes.
	Crashes []wireCrash `json:"crashes"`
}

type wireCrash struct {
	Member          identifier.Member `json:"member"`
	AgeMilliseconds int64             `json:"age-milliseconds"`
}

// ReportEngineCrash records and broadcasts the crash of an engine's process with a request
// of this node in flight. The engine must have ended; an engine that cannot be reached
// says nothing about the prompt.
func (i *Isolator) ReportEngineCrash(crash Crash) {
	i.ReportCrash(crash.Member, []uint64{crash.Fingerprint})
	parts := crash.Parts[:min(len(crash.Parts), maxPartsPerMessage)]
	if len(parts) == 0 {
		return
	}
	i.options.Log.Log(eventPartsCrash, logger.Fields{"member": crash.Member, "parts": formatParts(parts)})
	message := wireMessage{Prompt: &wireParts{Parts: parts, Member: crash.Member}}
	i.apply(message, true)
	i.broadcast(message)
}

// ReportPartsFinished records and broadcasts that a request with these parts finished, so
// that the crashes until now do not count.
func (i *Isolator) ReportPartsFinished(parts []Part) {
	i.mutex.Lock()
	var crashed []Part
	for _, part := range parts[:min(len(parts), maxPartsPerMessage)] {
		if r := i.parts[part]; r != nil && len(r.crashes) > 0 {
			crashed = append(crashed, part)
		}
	}
	i.mutex.Unlock()
	if len(crashed) == 0 {
		return
	}
	message := wireMessage{Prompt: &wireParts{Parts: crashed}, Finished: true}
	i.apply(message, true)
	i.broadcast(message)
}

// HasQuarantinedPart reports whether a request with these parts must not be sent to any
// engine.
func (i *Isolator) HasQuarantinedPart(parts []Part) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for _, part := range parts {
		if r := i.parts[part]; r != nil && i.isPartQuarantined(now, r) {
			i.refusalCounter.Inc(1)
			return true
		}
	}
	return false
}

func (i *Isolator) isPartQuarantined(now time.Time, r *partRecord) bool {
	crashes := r.countCrashes()
	if crashes < partThreshold {
		return false
	}
	delay := i.options.Expiry
	if doublings := crashes - partThreshold; doublings < 10 {
		delay = min(delay, partTrialDelay<<doublings)
	}
	return now.Sub(r.lastCrash) < delay
}

// countCrashes counts crashes that happened within simultaneousCrashes as one.
func (r *partRecord) countCrashes() int {
	count := 0
	var counted time.Time
	for _, crash := range r.crashes {
		if count == 0 || crash.at.Sub(counted) > simultaneousCrashes {
			count, counted = count+1, crash.at
		}
	}
	return count
}

// applyParts applies a message about parts. The caller must hold the mutex.
func (i *Isolator) applyParts(prompt *wireParts, at time.Time, finished bool) {
	parts := prompt.Parts[:min(len(prompt.Parts), maxPartsPerMessage)]
	if finished {
		for _, part := range parts {
			i.recordPartFinished(part, at)
		}
		return
	}
	crash := partCrash{prompt.Member, at}
	if i.isExplained(crash) {
		return
	}
	if culprit, known := i.knownCulprit(parts); known {
		i.recordPartCrash(culprit, crash)
		i.clearOthers(culprit)
		return
	}
	for _, part := range parts {
		i.recordPartCrash(part, crash)
	}
	if culprit, known := i.knownCulprit(parts); known {
		i.options.Log.Log(eventPartQuarantined, logger.Fields{"part": formatParts([]Part{culprit}), "crashes": len(i.parts[culprit].crashes)})
		i.clearOthers(culprit)
	}
}

// isExplained reports whether an engine crashed because of a part that has reached the
// threshold. The other requests that it ran are not suspects then.
func (i *Isolator) isExplained(crash partCrash) bool {
	for _, r := range i.parts {
		if r.has(crash) && r.countCrashes() >= partThreshold {
			return true
		}
	}
	return false
}

func (r *partRecord) has(crash partCrash) bool {
	return slices.ContainsFunc(r.crashes, crash.isSame)
}

// knownCulprit returns the last part that has reached the threshold: a part before it is
// shared with more requests, and would crash engines without it too.
func (i *Isolator) knownCulprit(parts []Part) (Part, bool) {
	for _, part := range slices.Backward(parts) {
		if r := i.parts[part]; r != nil && r.countCrashes() >= partThreshold {
			return part, true
		}
	}
	return 0, false
}

// clearOthers clears all other parts of the crashes of one that has reached the threshold.
func (i *Isolator) clearOthers(culprit Part) {
	for part, r := range i.parts {
		if part != culprit {
			r.crashes = slices.DeleteFunc(r.crashes, i.parts[culprit].has)
		}
	}
}

func (i *Isolator) recordPartCrash(part Part, crash partCrash) {
	r := i.parts[part]
	if r == nil {
		i.evictPartIfFull()
		r = &partRecord{}
		i.parts[part] = r
	}
	r.lastCrash = laterOf(r.lastCrash, crash.at)
	if !crash.at.After(r.finishedAt) || r.has(crash) {
		return
	}
	r.crashes = append(r.crashes, crash)
	slices.SortFunc(r.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	if excess := len(r.crashes) - maxCrashesPerPart; excess > 0 {
		r.crashes = slices.Delete(r.crashes, 0, excess)
	}
}

func (i *Isolator) recordPartFinished(part Part, at time.Time) {
	r := i.parts[part]
	if r == nil {
		return
	}
	r.finishedAt = laterOf(r.finishedAt, at)
	r.crashes = slices.DeleteFunc(r.crashes, func(crash partCrash) bool { return !crash.at.After(r.finishedAt) })
}

// evictPartIfFull removes the record of a part if there are Options.Capacity: the one with
// the fewest crashes, of those the one with the oldest. The caller must hold the mutex.
func (i *Isolator) evictPartIfFull() {
	if len(i.parts) < i.options.Capacity {
		return
	}
	var evicted Part
	var evictedRecord *partRecord
	for part, r := range i.parts {
		older := evictedRecord == nil || len(r.crashes) < len(evictedRecord.crashes) ||
			len(r.crashes) == len(evictedRecord.crashes) && r.lastCrash.Before(evictedRecord.lastCrash)
		if older {
			evicted, evictedRecord = part, r
		}
	}
	delete(i.parts, evicted)
}

// broadcastVerdicts tells the other nodes which parts are quarantined.
func (i *Isolator) broadcastVerdicts() {
	i.mutex.Lock()
	now := time.Now()
	var verdicts []wireVerdict
	for part, r := range i.parts {
		if i.isPartQuarantined(now, r) {
			verdicts = append(verdicts, r.verdict(now, part))
		}
	}
	i.mutex.Unlock()
	for _, verdict := range verdicts {
		i.broadcast(wireMessage{Verdict: &verdict})
	}
}

func (r *partRecord) verdict(now time.Time, part Part) wireVerdict {
	verdict := wireVerdict{Part: part}
	for _, crash := range r.crashes[max(0, len(r.crashes)-maxCrashesPerVerdict):] {
		verdict.Crashes = append(verdict.Crashes, wireCrash{crash.member, now.Sub(crash.at).Milliseconds()})
	}
	return verdict
}

// applyVerdict records the crashes that another node knows of. The caller must hold the
// mutex.
func (i *Isolator) applyVerdict(verdict *wireVerdict) {
	for _, crash := range verdict.Crashes {
		age := time.Duration(crash.AgeMilliseconds) * time.Millisecond
		if age >= 0 && age <= i.options.Expiry {
			i.recordPartCrash(verdict.Part, partCrash{crash.Member, time.Now().Add(-age)})
		}
	}
}

// verdictDelay returns how long this node waits before it broadcasts its verdicts again.
func (i *Isolator) verdictDelay() time.Duration {
	mean := verdictInterval * time.Duration(max(1, i.options.Nodes()))
	return mean/2 + rand.N(mean)
}

func formatParts(parts []Part) []string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, strconv.FormatUint(uint64(part), 16))
	}
	return texts
}
