package prover

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// booking is a call that must not be executed twice, sent through several nodes.
type booking struct {
	f      *fleet
	key    string
	entry  *node
	cancel context.CancelFunc
	// faultRemaining is how long the fault lasts after the resends during it.
	faultRemaining time.Duration

	mutex sync.Mutex
	ended bool
	// answers are all responses received for the key.
	answers []answer
}

// bookingSteps are the steps of a booking at which a fault is injected.
var bookingSteps = []struct {
	name    string
	reached func(b *booking) bool
}{
	{"accept", func(*booking) bool { return true }},
	{"claim", func(b *booking) bool { return b.f.platform.Counts().Writes > b.f.writesBefore }},
	{"execute", func(b *booking) bool { return b.f.executions(b.key) > 0 }},
	{"finish", func(b *booking) bool { return b.hasEnded() }},
}

// bookingFaults are faults of the nodes, connections and services that a booking uses.
var bookingFaults = []struct {
	name   string
	inject func(b *booking)
}{
	{"node-killed", func(b *booking) { b.f.kill(b.entry.name) }},
	{"node-paused", func(b *booking) { b.f.freeze(b.entry, 12*time.Second) }},
	{"ledger-owners-killed", func(b *booking) { b.f.kill(b.f.otherNode(b.entry).name) }},
	{"ledger-owners-paused", func(b *booking) { b.f.freeze(b.f.otherNode(b.entry), 12*time.Second) }},
	{"nodes-cut-off", func(b *booking) {
		for _, n := range b.f.running() {
			if n != b.entry {
				b.f.cutFor(b.entry.host, n.host, 12*time.Second)
			}
		}
	}},
	{"connections-silent", func(b *booking) {
		for _, host := range b.f.hosts() {
			b.f.network.Silence(b.entry.host, host)
		}
	}},
	{"service-cut-off", func(b *booking) { b.f.cutFor(b.entry.host, serviceHost, 12*time.Second) }},
	{"service-killed", func(b *booking) {
		b.f.network.Kill(serviceHost)
		b.f.runAfter(12*time.Second, func() { b.f.serve(serviceHost, b.f.services["desk-1"]) })
	}},
	{"answer-lost", func(b *booking) { b.f.services["desk-1"].LoseAnswers(1) }},
	{"caller-cut-off", func(b *booking) { b.cancel() }},
	{"store-down", func(b *booking) { b.f.setStoreFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
	{"store-refusing", func(b *booking) { b.f.setStoreFaults(emulator.PlatformFaults{Down: emulator.DownRefusing}) }},
	{"store-slow", func(b *booking) { b.f.setStoreFaults(emulator.PlatformFaults{Slow: seconds(1)}) }},
	{"store-answers-lost", func(b *booking) { b.f.setStoreFaults(emulator.PlatformFaults{LoseAnswers: 3}) }},
	{"store-answers-late", func(b *booking) {
		b.f.setStoreFaults(emulator.PlatformFaults{LateAnswers: 3, Late: seconds(6)})
	}},
	{"store-stale", func(b *booking) { b.f.setStoreFaults(emulator.PlatformFaults{Stale: true}) }},
	{"node-joins", func(b *booking) { b.f.startNode("node-4") }},
	{"other-node-leaves", func(b *booking) { b.f.otherNode(b.entry).stop() }},
	{"sent-twice", func(b *booking) { go b.send(b.f.t.Context(), b.f.otherNode(b.entry), false) }},
}

const serviceHost = "10.1.3.1"

func init() {
	for _, step := range bookingSteps {
		for _, fault := range bookingFaults {
			addCell("at-most-once", fault.name, step.name, func(t *testing.T, f *fleet) {
				b := f.startBooking(t)
				f.waitFor(step.name, func() bool { return b.hasEnded() || step.reached(b) })
				fault.inject(b)
				b.check(t)
			})
		}
	}
}

// setStoreFaults sets faults of the store for 15 s.
func (f *fleet) setStoreFaults(faults emulator.PlatformFaults) {
	f.platform.SetFaults(faults)
	f.runAfter(15*time.Second, func() { f.platform.SetFaults(emulator.PlatformFaults{}) })
}

// otherNode returns a node other than n, always the same one.
func (f *fleet) otherNode(n *node) *node {
	for _, name := range []string{"node-3", "node-2", "node-1"} {
		if f.node(name) != n {
			return f.node(name)
		}
	}
	return n
}

func (f *fleet) startBooking(t *testing.T) *booking {
	ctx, cancel := context.WithCancel(t.Context())
	// Opens a pooled connection to the service that the booking may reuse.
	f.lookUp(t.Context(), f.node("node-1"))
	f.writesBefore = f.platform.Counts().Writes
	b := &booking{f: f, key: newKey(), entry: f.node("node-1"), cancel: cancel}
	go func() {
		b.send(ctx, b.entry, true)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.ended = true
	}()
	return b
}

// send sends the booking once and records the response.
func (b *booking) send(parent context.Context, n *node, first bool) {
	ctx, cancel := context.WithTimeout(parent, tokenTimeout)
	defer cancel()
	got := b.f.book(ctx, n, b.key, "visit to the Cartago museum", first)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.answers = append(b.answers, got)
}

func (b *booking) hasEnded() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ended
}

// check resends the booking through every node during and after the fault. It
// asserts that the booking ran at most once, that all successful answers are equal,
// and that it never ran if every response was "not run".
func (b *booking) check(t *testing.T) {
	t.Helper()
	b.f.waitFor("the first caller's end", b.hasEnded)
	b.f.checkNotRun(t, b)
	for round := range 8 {
		for _, name := range []string{"node-2", "node-3", "node-1"} {
			b.send(t.Context(), b.f.node(name), false)
		}
		time.Sleep(time.Duration(round) * time.Second)
	}
	b.f.checkNotRun(t, b)
	b.resendAfterFault(t)
	if count := b.f.executions(b.key); count > 1 {
		t.Errorf("executed %d times", count)
	}
	body := ""
	for _, got := range b.answers {
		if got.reason == "idempotency-key-too-old" {
			t.Error("the ledger did not take the key")
		}
		if got.status != 200 {
			continue
		}
		if body == "" {
			body = got.body
		}
		if got.body != body {
			t.Errorf("answers %q and %q differ", body, got.body)
		}
	}
	if last := b.answers[len(b.answers)-2]; last.err == nil && last.status != 200 && last.outcome != "unknown" {
		t.Errorf("after the fault a resend got %+v", last)
	}
}

// resendAfterFault resends through every node after a long fault has ended.
func (b *booking) resendAfterFault(t *testing.T) {
	t.Helper()
	if b.faultRemaining == 0 {
		return
	}
	time.Sleep(b.faultRemaining)
	for _, name := range []string{"node-2", "node-3", "node-1"} {
		b.send(t.Context(), b.f.node(name), false)
	}
	b.f.checkNotRun(t, b)
}

// checkNotRun checks that a call was not executed if every response for it was
// "not run".
func (f *fleet) checkNotRun(t *testing.T, b *booking) {
	t.Helper()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, got := range b.answers {
		if got.outcome != "not-run" {
			return
		}
	}
	if count := f.executions(b.key); count != 0 {
		t.Errorf("every response was %q, and the call was executed %d times", "not-run", count)
	}
}

// TestKeys checks the refusals of reused, malformed and expired idempotency keys.
func TestKeys(t *testing.T) {
	runWithFleet(t, smallShape, func(t *testing.T, f *fleet) {
		key := newKey()
		f.book(t.Context(), f.node("node-1"), key, "visit", true)
		reused := f.book(t.Context(), f.node("node-2"), key, "another visit", false)
		if reused.outcome != "not-run" || reused.reason != "idempotency-key-reused" {
			t.Errorf("a key used for another call: %+v", reused)
		}
		plain := f.book(t.Context(), f.node("node-1"), "no-time-in-it", "visit", true)
		if plain.outcome != "not-run" || plain.reason != "malformed" {
			t.Errorf("a key without a time: %+v", plain)
		}
		time.Sleep(11 * time.Minute)
		old := f.book(t.Context(), f.node("node-1"), key, "visit", false)
		if old.outcome != "unknown" || f.executions(key) != 1 {
			t.Errorf("a key older than the window: %+v, executed %d times", old, f.executions(key))
		}
	})
}
