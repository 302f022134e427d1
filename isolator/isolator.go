// Package isolator quarantines poison requests. A request that was in flight at the
// crashes of two different backend servers most likely caused them, and its caller
// will resend it. Nodes broadcast each crash, so that a request is quarantined even if
// different nodes saw the two crashes.
//
// A request in flight at one crash only is a suspect. It may run again, preferably
// where no other suspect runs, so that the next crash identifies the cause. A
// suspect that finishes is cleared.
//
// Requests that have nothing else in common can also crash engines by one part of their
// prompts. Nodes exchange evidence of this, crashes and requests that ran well, and each
// judges it by itself: the verdict depends on the set of observations only, not on their
// order. Which part is deadly may not be known yet, so what is refused is a combination of
// parts, which shrinks as requests with some of them run well.
package isolator

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Topic is the gossip topic of this package's messages.
const Topic = "isolator"

// Options configures an isolator. Zero durations and counts take the defaults.
type Options struct {
	// Broadcast sends a payload to every other node, best effort.
	Broadcast func(topic string, payload []byte)
	// Expiry is how long a request is remembered after its last crash.
	Expiry time.Duration
	// Repeat is the interval at which this node's crash reports are broadcast again,
	// for nodes that missed the first broadcast or started later.
	Repeat time.Duration
	// Capacity bounds the remembered requests. The oldest are evicted first.
	Capacity int
	// Nodes returns the number of live nodes, which take turns in repeating what is
	// quarantined; nil means one.
	Nodes func() int
	// HasTurn reports whether this node is the one of the fleet that a key stands for now;
	// nil means always.
	HasTurn func(key string) bool
	Log     *logger.Logger
	Scope   tally.Scope
}

// Defaults of Options.
const (
	defaultExpiry   = 15 * time.Minute
	defaultRepeat   = 30 * time.Second
	defaultCapacity = 4096
)

// Gossip carries few and small messages only.
const (
	// maxFingerprintsPerMessage keeps a message below the gossip's size limit.
	maxFingerprintsPerMessage = 16
	// maxRepeatedMessages bounds one repetition; the newest crashes are sent first.
	maxRepeatedMessages = 64
)

// poisonThreshold is the number of different backend servers that must crash with a
// request in flight before it is quarantined.
const poisonThreshold = 2

// Isolator holds one node's records of crashes. It is safe for concurrent use.
type Isolator struct {
	options        Options
	refusalCounter tally.Counter
	crashCounter   tally.Counter
	trialCounter   tally.Counter
	// leftOutCounter counts the parts of long prompts that crash reports lack.
	leftOutCounter  tally.Counter
	incompleteGauge tally.Gauge
	// evictedCounter counts the records and observations removed for room.
	evictedCounter  tally.Counter
	quarantineGauge tally.Gauge
	mutex           sync.Mutex
	// records has the requests in flight at crashes, by fingerprint.
	records map[uint64]*requestRecord
	// evidence is about the parts of prompts.
	evidence *evidence
	// lastCrashes has the latest crash of each part in evidence.
	lastCrashes map[Part]time.Time
	// recent has the requests of this node that ran well, also with parts that are in no crash.
	recent recentRuns
	// verdict is that of verdictAt on evidence, which has changed since if verdictIsStale.
	verdict        *verdict
	verdictAt      time.Time
	verdictIsStale bool
	// nextVerdictAt is the earliest time of the next verdict.
	nextVerdictAt time.Time
	// quarantined has the combinations that the last verdict named.
	quarantined map[combinationKey]combination
	// ownTrials has the latest trial of this node for each combination.
	ownTrials map[combinationKey]ownTrial
	random    *rand.Rand
}

// requestRecord is the crash history of one request.
type requestRecord struct {
	// crashedAt has the latest crash of each member with the request in flight.
	crashedAt map[identifier.Member]time.Time
	// seenLocally has the latest crash of the members that this node observed itself.
	seenLocally map[identifier.Member]time.Time
	// lastCrash is the latest time in crashedAt, zero if only finishedAt is known yet.
	lastCrash time.Time
	// finishedAt is when the request last finished. Crashes until then do not count.
	finishedAt time.Time
}

// wireMessage reports a crash, or that suspects finished, to other nodes.
type wireMessage struct {
	Member       identifier.Member `json:"member,omitempty"`
	Fingerprints []uint64          `json:"fingerprints"`
	// AgeMilliseconds is how long ago the crash or finish was. It is used instead of a
	// time because the nodes' clocks differ.
	AgeMilliseconds int64 `json:"age-milliseconds"`
	Finished        bool  `json:"finished,omitempty"`
	// Evidence makes the message one about parts of prompts instead of requests.
	Evidence []wireEvidence `json:"evidence,omitempty"`
}

// New returns an isolator without records.
func New(options Options) *Isolator {
	if options.Expiry == 0 {
		options.Expiry = defaultExpiry
	}
	if options.Repeat == 0 {
		options.Repeat = defaultRepeat
	}
	if options.Capacity == 0 {
		options.Capacity = defaultCapacity
	}
	if options.Nodes == nil {
		options.Nodes = func() int { return 1 }
	}
	if options.HasTurn == nil {
		options.HasTurn = func(string) bool { return true }
	}
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Broadcast == nil {
		options.Broadcast = func(string, []byte) {}
	}
	scope := options.Scope.SubScope("isolator")
	return &Isolator{
		options:         options,
		refusalCounter:  scope.Counter("held"),
		crashCounter:    scope.Counter("crashes"),
		trialCounter:    scope.Counter("trials"),
		leftOutCounter:  scope.Counter("parts-left-out"),
		incompleteGauge: scope.Gauge("incomplete-reports"),
		evictedCounter:  scope.Counter("evicted"),
		quarantineGauge: scope.Gauge("quarantined-combinations"),
		records:         map[uint64]*requestRecord{},
		evidence:        newEvidence(),
		verdict:         &verdict{},
		lastCrashes:     map[Part]time.Time{},
		quarantined:     map[combinationKey]combination{},
		ownTrials:       map[combinationKey]ownTrial{},
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Run broadcasts this node's crash reports again within each Options.Repeat, and the evidence
// of quarantined parts in turn with the other nodes, and removes expired records, until ctx
// ends.
func (i *Isolator) Run(ctx context.Context) error {
	repeats := time.NewTimer(i.repeatDelay())
	defer repeats.Stop()
	verdicts := time.NewTimer(i.verdictDelay())
	defer verdicts.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-verdicts.C:
			i.repeatEvidence()
			verdicts.Reset(i.verdictDelay())
		case <-repeats.C:
			for _, message := range i.localCrashMessages() {
				i.broadcast(message)
			}
			repeats.Reset(i.repeatDelay())
		}
	}
}

// repeatDelay returns how long this node waits before it repeats its reports. Nodes that
// started together repeat theirs at different times.
func (i *Isolator) repeatDelay() time.Duration {
	return i.options.Repeat/2 + rand.N(i.options.Repeat/2)
}

// IsQuarantined reports whether a request must not be sent to any backend server.
func (i *Isolator) IsQuarantined(fingerprint uint64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	quarantined := i.crashCount(fingerprint) >= poisonThreshold
	if quarantined {
		i.refusalCounter.Inc(1)
	}
	return quarantined
}

// IsSuspect reports whether a request was in flight at any crash. A suspect should run
// where no other suspect runs.
func (i *Isolator) IsSuspect(fingerprint uint64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.crashCount(fingerprint) > 0
}

// ReportCrash records and broadcasts which requests of this node were in flight at a
// crash. It must not be called for a broken connection without a crash.
func (i *Isolator) ReportCrash(member identifier.Member, fingerprints []uint64) {
	if len(fingerprints) == 0 {
		return
	}
	i.crashCounter.Inc(1)
	i.options.Log.Log(eventCrash, logger.Fields{"member": member, "in-flight": len(fingerprints)})
	member = member.Short()
	for part := range slices.Chunk(fingerprints, maxFingerprintsPerMessage) {
		message := wireMessage{Member: member, Fingerprints: part}
		i.apply(message, 0, true)
		i.broadcast(message)
	}
}

// ReportFinished records and broadcasts that a request was answered completely, so that its
// crashes until now do not count.
func (i *Isolator) ReportFinished(fingerprint uint64) {
	if !i.IsSuspect(fingerprint) {
		return
	}
	message := wireMessage{Fingerprints: []uint64{fingerprint}, Finished: true}
	i.apply(message, 0, true)
	i.broadcast(message)
}

// Receive applies another node's message, which was sent age ago. It logs and drops a message
// that it cannot decode.
func (i *Isolator) Receive(payload []byte, age time.Duration) {
	var message wireMessage
	if err := json.Unmarshal(payload, &message); err != nil || message.AgeMilliseconds < 0 || message.AgeMilliseconds > i.options.Expiry.Milliseconds() {
		i.options.Log.Log(eventBadMessage, nil)
		return
	}
	i.apply(message, age, false)
}

func (i *Isolator) broadcast(message wireMessage) {
	payload, err := json.Marshal(message)
	if err != nil {
		return
	}
	i.options.Broadcast(Topic, payload)
}

func (i *Isolator) apply(message wireMessage, age time.Duration, local bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if len(message.Evidence) > 0 {
		i.applyEvidence(now, age, message.Evidence)
		return
	}
	at := now.Add(-age - time.Duration(message.AgeMilliseconds)*time.Millisecond)
	if now.Sub(at) > i.options.Expiry {
		return
	}
	i.removeExpired()
	for _, fingerprint := range message.Fingerprints {
		if message.Finished {
			i.recordFinish(fingerprint, at)
			continue
		}
		i.recordCrash(fingerprint, message.Member, at, local)
	}
}

func (i *Isolator) recordCrash(fingerprint uint64, member identifier.Member, at time.Time, local bool) {
	r := i.recordOf(fingerprint)
	before := r.countCrashes()
	r.crashedAt[member] = laterOf(r.crashedAt[member], at)
	if local {
		r.seenLocally[member] = at
	}
	r.lastCrash = laterOf(r.lastCrash, at)
	if before < poisonThreshold && r.countCrashes() >= poisonThreshold {
		i.options.Log.Log(eventQuarantined, logger.Fields{"fingerprint": fingerprint, "member": member})
	}
}

// recordFinish records that a request finished. The report of its crash may arrive later.
func (i *Isolator) recordFinish(fingerprint uint64, at time.Time) {
	r := i.recordOf(fingerprint)
	r.finishedAt = laterOf(r.finishedAt, at)
}

// recordOf returns the record of a request, a new one if there is none. The caller must hold
// the mutex.
func (i *Isolator) recordOf(fingerprint uint64) *requestRecord {
	r := i.records[fingerprint]
	if r == nil {
		i.evictIfFull()
		r = &requestRecord{crashedAt: map[identifier.Member]time.Time{}, seenLocally: map[identifier.Member]time.Time{}}
		i.records[fingerprint] = r
	}
	return r
}

// crashCount returns how many backend servers crashed with a request in flight since the
// request last finished, without those that a part of another prompt crashed; 0 if its record
// expired. A request that has this part itself is refused for it. The caller must hold the
// mutex.
func (i *Isolator) crashCount(fingerprint uint64) int {
	r := i.records[fingerprint]
	now := time.Now()
	if r == nil || now.Sub(r.lastCrash) > i.options.Expiry {
		return 0
	}
	count, verdict := 0, i.currentVerdict(now)
	for member, at := range r.crashedAt {
		if at.After(r.finishedAt) && !verdict.explains(member, at) {
			count++
		}
	}
	return count
}

func (r *requestRecord) countCrashes() int {
	count := 0
	for _, at := range r.crashedAt {
		if at.After(r.finishedAt) {
			count++
		}
	}
	return count
}

func (i *Isolator) removeExpired() {
	for fingerprint, r := range i.records {
		if time.Since(laterOf(r.lastCrash, r.finishedAt)) > i.options.Expiry {
			delete(i.records, fingerprint)
		}
	}
}

// evictIfFull removes a record if there are Options.Capacity records: the one with the
// oldest last crash, quarantined requests last. The caller must hold the mutex.
func (i *Isolator) evictIfFull() {
	if len(i.records) < i.options.Capacity {
		return
	}
	var oldest uint64
	var oldestRecord *requestRecord
	for fingerprint, r := range i.records {
		if oldestRecord == nil || r.evictBefore(oldestRecord) {
			oldest, oldestRecord = fingerprint, r
		}
	}
	delete(i.records, oldest)
	i.evictedCounter.Inc(1)
}

func (r *requestRecord) evictBefore(other *requestRecord) bool {
	quarantined, otherQuarantined := r.countCrashes() >= poisonThreshold, other.countCrashes() >= poisonThreshold
	if quarantined != otherQuarantined {
		return !quarantined
	}
	return laterOf(r.lastCrash, r.finishedAt).Before(laterOf(other.lastCrash, other.finishedAt))
}

// localCrashMessages returns messages of the crashes that this node observed itself.
func (i *Isolator) localCrashMessages() []wireMessage {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.removeExpired()
	type crash struct {
		member identifier.Member
		at     time.Time
	}
	grouped := map[crash][]uint64{}
	for fingerprint, r := range i.records {
		for member, at := range r.seenLocally {
			if at.After(r.finishedAt) {
				grouped[crash{member, at}] = append(grouped[crash{member, at}], fingerprint)
			}
		}
	}
	var messages []wireMessage
	for crash, fingerprints := range grouped {
		age := time.Since(crash.at).Milliseconds()
		for part := range slices.Chunk(fingerprints, maxFingerprintsPerMessage) {
			messages = append(messages, wireMessage{Member: crash.member, Fingerprints: part, AgeMilliseconds: age})
		}
	}
	slices.SortFunc(messages, func(a, b wireMessage) int { return cmp.Compare(a.AgeMilliseconds, b.AgeMilliseconds) })
	return messages[:min(len(messages), maxRepeatedMessages)]
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
