// Package isolator holds back poison requests: a request that was in flight at
// the crashes of two different backend servers most likely caused them, and its
// caller sends it again. Every node learns of each crash, so that the second
// crash may be seen by another node than the first.
//
// A request that was in flight at one crash only is a suspect: it goes on, and
// is best placed where no other suspect runs, so that the next crash tells
// them apart. A suspect that finishes is cleared.
package isolator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Topic is the gossip topic of this package's messages.
const Topic = "isolator"

// Options sets up an isolator. Zero durations and counts take the defaults.
type Options struct {
	// Broadcast sends a payload to every other node, best effort.
	Broadcast func(topic string, payload []byte)
	// Expiry is how long after a request's last crash it is remembered.
	Expiry time.Duration
	// Repeat is the time between two broadcasts of what this node saw, for
	// nodes that missed the first or have started since.
	Repeat time.Duration
	// Capacity bounds the remembered requests; the oldest are forgotten first.
	Capacity int
	// Log takes this package's events, Scope its metrics.
	Log   *logger.Logger
	Scope tally.Scope
}

// The defaults of Options.
const (
	defaultExpiry   = 15 * time.Minute
	defaultRepeat   = 30 * time.Second
	defaultCapacity = 4096
)

// Gossip carries small messages only, and few at once.
const (
	// messageFingerprints is the most fingerprints of one message.
	messageFingerprints = 16
	// repeatedMessages is the most messages of one repetition, newest crashes first.
	repeatedMessages = 64
)

// poisonCrashes is how many different backend servers must have crashed with a
// request in flight before it is held.
const poisonCrashes = 2

// Isolator is one node's knowledge of crashes.
type Isolator struct {
	options Options
	held    tally.Counter
	crashes tally.Counter
	mutex   sync.Mutex
	// records holds the requests in flight at crashes, none expired after a
	// sweep.
	records map[uint64]*record
}

// record is what is known of one request.
type record struct {
	// members crashed with the request in flight, at these times.
	members map[identifier.Member]time.Time
	// seen holds the members whose crash this node saw itself.
	seen map[identifier.Member]bool
	// last is the latest time in members.
	last time.Time
	// cleared is when the request last finished; crashes until then do not count.
	cleared time.Time
}

// wireMessage tells other nodes of crashes, or of suspects that finished.
type wireMessage struct {
	Member       identifier.Member `json:"member,omitempty"`
	Fingerprints []uint64          `json:"fingerprints"`
	// AgeMilliseconds is how long ago it happened: nodes' clocks differ.
	AgeMilliseconds int64 `json:"age-milliseconds"`
	Finished        bool  `json:"finished,omitempty"`
}

// New returns an isolator that knows of no crash.
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
		options: options,
		held:    scope.Counter("held"),
		crashes: scope.Counter("crashes"),
		records: map[uint64]*record{},
	}
}

// Run repeats this node's sightings and forgets expired ones until ctx ends.
func (i *Isolator) Run(ctx context.Context) error {
	ticker := time.NewTicker(i.options.Repeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, message := range i.sightings() {
				i.broadcast(message)
			}
		}
	}
}

// Held tells whether a request must not be sent to any backend server.
func (i *Isolator) Held(fingerprint uint64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	held := i.crashesOf(fingerprint) >= poisonCrashes
	if held {
		i.held.Inc(1)
	}
	return held
}

// Suspect tells whether a request was in flight at any crash. It should run
// where no other suspect does.
func (i *Isolator) Suspect(fingerprint uint64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.crashesOf(fingerprint) > 0
}

// Crashed tells which requests of this node were in flight at a crash. A
// connection that broke without the backend server crashing is no crash.
func (i *Isolator) Crashed(member identifier.Member, fingerprints []uint64) {
	if len(fingerprints) == 0 {
		return
	}
	i.crashes.Inc(1)
	i.options.Log.Log(eventCrash, logger.Fields{"member": member, "in-flight": len(fingerprints)})
	for part := range slices.Chunk(fingerprints, messageFingerprints) {
		message := wireMessage{Member: member, Fingerprints: part}
		i.take(message, true)
		i.broadcast(message)
	}
}

// Finished tells that a request was answered in full: it is innocent of the
// crashes until now.
func (i *Isolator) Finished(fingerprint uint64) {
	if !i.Suspect(fingerprint) {
		return
	}
	message := wireMessage{Fingerprints: []uint64{fingerprint}, Finished: true}
	i.take(message, true)
	i.broadcast(message)
}

// Receive takes a payload that another node broadcast. One that cannot be read
// is dropped.
func (i *Isolator) Receive(payload []byte) {
	var message wireMessage
	if err := json.Unmarshal(payload, &message); err != nil || message.AgeMilliseconds < 0 {
		i.options.Log.Log(eventBadMessage, nil)
		return
	}
	i.take(message, false)
}

func (i *Isolator) broadcast(message wireMessage) {
	payload, err := json.Marshal(message)
	if err != nil {
		return
	}
	i.options.Broadcast(Topic, payload)
}

func (i *Isolator) take(message wireMessage, own bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	at := time.Now().Add(-time.Duration(message.AgeMilliseconds) * time.Millisecond)
	if time.Since(at) > i.options.Expiry {
		return
	}
	i.sweep()
	for _, fingerprint := range message.Fingerprints {
		if message.Finished {
			i.clear(fingerprint, at)
			continue
		}
		i.crash(fingerprint, message.Member, at, own)
	}
}

func (i *Isolator) crash(fingerprint uint64, member identifier.Member, at time.Time, own bool) {
	r := i.records[fingerprint]
	if r == nil {
		i.makeRoom()
		r = &record{members: map[identifier.Member]time.Time{}, seen: map[identifier.Member]bool{}}
		i.records[fingerprint] = r
	}
	before := r.crashes()
	r.members[member] = later(r.members[member], at)
	r.seen[member] = r.seen[member] || own
	r.last = later(r.last, at)
	if before < poisonCrashes && r.crashes() >= poisonCrashes {
		i.options.Log.Log(eventHeld, logger.Fields{"fingerprint": fingerprint, "member": member})
	}
}

func (i *Isolator) clear(fingerprint uint64, at time.Time) {
	if r := i.records[fingerprint]; r != nil {
		r.cleared = later(r.cleared, at)
	}
}

// crashesOf counts the backend servers that crashed with a request in flight.
func (i *Isolator) crashesOf(fingerprint uint64) int {
	r := i.records[fingerprint]
	if r == nil || time.Since(r.last) > i.options.Expiry {
		return 0
	}
	return r.crashes()
}

func (r *record) crashes() int {
	count := 0
	for _, at := range r.members {
		if at.After(r.cleared) {
			count++
		}
	}
	return count
}

func (i *Isolator) sweep() {
	for fingerprint, r := range i.records {
		if time.Since(r.last) > i.options.Expiry {
			delete(i.records, fingerprint)
		}
	}
}

// makeRoom forgets the request of the oldest crash when there are too many,
// held ones last.
func (i *Isolator) makeRoom() {
	if len(i.records) < i.options.Capacity {
		return
	}
	var oldest uint64
	var chosen *record
	for fingerprint, r := range i.records {
		if chosen == nil || r.goesBefore(chosen) {
			oldest, chosen = fingerprint, r
		}
	}
	delete(i.records, oldest)
}

func (r *record) goesBefore(other *record) bool {
	held, otherHeld := r.crashes() >= poisonCrashes, other.crashes() >= poisonCrashes
	if held != otherHeld {
		return !held
	}
	return r.last.Before(other.last)
}

// sightings is what this node saw itself, as messages.
func (i *Isolator) sightings() []wireMessage {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.sweep()
	type crash struct {
		member identifier.Member
		at     time.Time
	}
	grouped := map[crash][]uint64{}
	for fingerprint, r := range i.records {
		for member := range r.seen {
			if at := r.members[member]; at.After(r.cleared) {
				grouped[crash{member, at}] = append(grouped[crash{member, at}], fingerprint)
			}
		}
	}
	var messages []wireMessage
	for crash, fingerprints := range grouped {
		age := time.Since(crash.at).Milliseconds()
		for part := range slices.Chunk(fingerprints, messageFingerprints) {
			messages = append(messages, wireMessage{Member: crash.member, Fingerprints: part, AgeMilliseconds: age})
		}
	}
	slices.SortFunc(messages, func(a, b wireMessage) int { return cmp.Compare(a.AgeMilliseconds, b.AgeMilliseconds) })
	return messages[:min(len(messages), repeatedMessages)]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
