package prover

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// patience is how long a caller waits for the next token before it comes
	// back through another node, and insistence for how long it keeps coming.
	patience   = 8 * time.Second
	insistence = 90 * time.Second
	// placementShard is the only shard of the model pool in these fleets.
	placementShard = "placement/summariser/0"
)

// trial is one model request under way, with the nodes that play a part.
type trial struct {
	f *fleet
	// entry is the node that the caller asked first; owner places for the pool.
	entry, owner *node
	request      completion
	// leave ends the caller's first connection.
	leave context.CancelFunc
	// away tells the caller not to come back.
	away bool
	// mayBeHeld allows the request to be held as poison.
	mayBeHeld bool
	// blind is how long no node that reaches the engines knows of them.
	blind time.Duration

	mutex  sync.Mutex
	offset int
	ended  bool
	result answer
	// parts counts the connections that the answer took.
	parts int
}

// modelSteps wait until a request is at a step of its life.
var modelSteps = []struct {
	name    string
	reached func(r *trial) bool
}{
	{"accept", func(*trial) bool { return true }},
	{"acquire", func(r *trial) bool { return r.entry.server.Running() > 0 }},
	{"prefill", func(r *trial) bool { return r.f.total().Prefills > 0 }},
	{"transfer", func(r *trial) bool { return r.f.engine(identifier.Decode).Held > 0 }},
	{"first-token", func(r *trial) bool { return r.f.total().Decodes > 0 }},
	{"mid-stream", func(r *trial) bool { return r.received() >= 20 }},
	{"finish", func(r *trial) bool { return r.received() >= r.request.tokens-1 }},
}

// hidden faults leave the caller's connection alone: the answer has to come
// whole on the connection that it began on.
var hidden = map[string]bool{
	"owner-killed": true, "owner-paused": true, "owner-cut-off": true, "owner-leaves": true,
	"connections-silent": true, "peer-connections-silent": true,
	"decode-crash": true, "prefill-crash": true, "engines-slow": true, "transfers-stall": true,
	"answers-crossed": true, "node-joins": true, "store-down": true, "store-slow": true,
}

// modelFaults strike the path of a request.
var modelFaults = []struct {
	name   string
	strike func(r *trial)
}{
	{"node-killed", func(r *trial) { r.f.kill(r.entry.name) }},
	{"node-paused", func(r *trial) { r.f.freeze(r.entry, 12*time.Second) }},
	{"owner-killed", func(r *trial) { r.f.kill(r.owner.name) }},
	{"owner-paused", func(r *trial) { r.f.freeze(r.owner, 12*time.Second) }},
	{"owner-cut-off", func(r *trial) { r.f.cutFor(r.entry.host, r.owner.host, 12*time.Second) }},
	{"engines-cut-off", func(r *trial) {
		for _, host := range r.f.engineHosts(identifier.Decode) {
			r.f.cutFor(r.entry.host, host, 5*time.Second)
		}
	}},
	{"connections-silent", func(r *trial) {
		for _, host := range append(r.f.engineHosts(identifier.Decode), r.f.engineHosts(identifier.Prefill)...) {
			r.f.network.Silence(r.entry.host, host)
		}
	}},
	{"peer-connections-silent", func(r *trial) { r.f.network.Silence(r.entry.host, r.owner.host) }},
	{"caller-connection-silent", func(r *trial) { r.f.network.Silence(callerHost, r.entry.host) }},
	{"decode-crash", func(r *trial) { r.f.crashWhere(identifier.Decode) }},
	{"prefill-crash", func(r *trial) { r.f.crashWhere(identifier.Prefill) }},
	{"engines-slow", func(r *trial) {
		// An import takes two round trips and has to end before the eviction.
		for _, host := range r.f.engineHosts(identifier.Decode) {
			r.f.network.Slow(host, 100*time.Millisecond)
		}
	}},
	{"answers-crossed", func(r *trial) {
		for _, engine := range r.f.engines {
			engine.InterleaveChunks()
		}
	}},
	{"transfers-stall", func(r *trial) {
		for _, engine := range r.f.engines {
			engine.StallImports(1)
		}
	}},
	{"node-joins", func(r *trial) { r.f.startNode("node-4") }},
	{"owner-leaves", func(r *trial) { r.owner.stop() }},
	{"caller-cancels", func(r *trial) {
		r.goAway()
	}},
	{"caller-cut-off", func(r *trial) { r.leave() }},
	{"store-down", func(r *trial) { r.f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
	{"store-slow", func(r *trial) { r.f.platform.SetFaults(emulator.PlatformFaults{Slow: seconds(1)}) }},
}

func init() {
	for _, step := range modelSteps {
		for _, fault := range modelFaults {
			add("whole-answer", fault.name, step.name, func(t *testing.T, f *fleet) {
				r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 60})
				f.waitFor(step.name, func() bool { return r.over() || step.reached(r) })
				fault.strike(r)
				r.check(t)
				if hidden[fault.name] && r.parts != 1 {
					t.Errorf("the answer took %d connections", r.parts)
				}
			})
			if step.name == "finish" {
				continue
			}
			// The answer would take minutes, so that only a cancel frees its memory.
			add("memory-freed", fault.name, step.name, func(t *testing.T, f *fleet) {
				r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 4000})
				f.waitFor(step.name, func() bool { return r.over() || step.reached(r) })
				fault.strike(r)
				r.goAway()
				r.check(t)
			})
		}
	}
}

// goAway ends the caller's connection for good.
func (r *trial) goAway() {
	r.mutex.Lock()
	r.away = true
	r.mutex.Unlock()
	r.leave()
}

// try sends a request and lets its caller insist on the whole answer.
func (f *fleet) try(t *testing.T, request completion) *trial {
	ctx, cancel := context.WithCancel(t.Context())
	r := &trial{f: f, request: request, leave: cancel}
	r.owner = f.placementOwner()
	r.entry = f.entryFor(r.owner)
	go r.insist(ctx, t.Context())
	return r
}

// placementOwner returns the node that places for the model pool.
func (f *fleet) placementOwner() *node {
	return f.node(string(f.node("node-1").server.View().Owner(placementShard).Node))
}

// entryFor returns the first node that is not the owner. In a fleet of several
// data centres it lies in another one than the owner.
func (f *fleet) entryFor(owner *node) *node {
	for _, n := range f.running() {
		if n != owner && (f.size.centres < 2 || n.centre != owner.centre) {
			return n
		}
	}
	return owner
}

// order lists the nodes that a caller asks in turn: the entry first, then the
// others as the fleet's address answer puts data centres, the near one first.
func (r *trial) order() []*node {
	if r.f.size.centres < 2 {
		return []*node{r.entry, r.f.node("node-1"), r.f.node("node-2"), r.f.node("node-3")}
	}
	order := []*node{r.entry}
	for _, near := range []bool{true, false} {
		for _, n := range r.f.running() {
			if n != r.entry && (n.centre == r.entry.centre) == near {
				order = append(order, n)
			}
		}
	}
	return order
}

// insist comes back through one node after the other until the answer is whole.
func (r *trial) insist(first, later context.Context) {
	deadline := time.Now().Add(insistence)
	order := r.order()
	got, turns := answer{}, 0
	for turn := 0; !got.whole && time.Now().Before(deadline); turn++ {
		turns++
		request := r.request
		request.after = len(got.tokens)
		request.resent = turn > 0
		parent := later
		if turn == 0 {
			parent = first
		}
		part := r.listen(parent, order[turn%len(order)], request)
		got.tokens = append(got.tokens, part.tokens...)
		got.whole, got.reason, got.outcome, got.status = part.whole, part.reason, part.outcome, part.status
		if !got.whole {
			r.f.t.Logf("connection %d: %d tokens, %q %q, %v", turns, len(part.tokens), part.outcome, part.reason, part.err)
		}
		if r.isAway() {
			break
		}
		if !got.whole {
			time.Sleep(500 * time.Millisecond)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	r.result = got
	r.parts = turns
}

// listen makes one try and gives it up when no token comes for a while.
func (r *trial) listen(parent context.Context, n *node, request completion) answer {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silent := time.AfterFunc(patience, cancel)
	defer silent.Stop()
	return r.f.complete(ctx, n, request, func(offset int) {
		silent.Reset(patience)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.offset = offset
	})
}

func (r *trial) received() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.offset
}

func (r *trial) over() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended
}

func (r *trial) isAway() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.away
}

// check waits for the end: the answer is whole, unless its caller went away,
// and no engine memory stays held.
func (r *trial) check(t *testing.T) {
	t.Helper()
	r.f.waitFor("the caller's end", r.over)
	held := r.mayBeHeld && r.result.outcome == "unknown" && r.result.reason == "quarantined"
	if got := r.result; !held && !r.isAway() && (!got.whole || got.text() != expected(r.request)) {
		t.Errorf("got %d tokens, whole %v, refusal %q %q, equal so far: %v", len(got.tokens), got.whole, got.outcome, got.reason,
			len(got.text()) <= len(expected(r.request)) && got.text() == expected(r.request)[:len(got.text())])
	}
	time.Sleep(r.blind)
	r.f.freed(t)
	if got := r.result; got.outcome == "not-run" && r.f.total().Prefills > 0 {
		t.Errorf("told \"not run\" (%s), and an engine worked for it", got.reason)
	}
}
