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
	// tokenTimeout is how long a caller waits for a token before it retries elsewhere.
	tokenTimeout = 8 * time.Second
	// retryTimeout is how long a caller keeps retrying.
	retryTimeout = 90 * time.Second
	// placementShard is the only shard of the model pool in these fleets.
	placementShard = "placement/summariser/0"
)

// modelRequest is a model request in flight, with its entry node and pool owner.
type modelRequest struct {
	f *fleet
	// entry is the node that gets the first attempt; owner owns the placement shard.
	entry, owner *node
	request      completion
	// cancel ends the caller's first connection.
	cancel context.CancelFunc
	// abandoned stops the caller's retries.
	abandoned bool
	// mayBeQuarantined allows the request to be refused as poison.
	mayBeQuarantined bool
	// noConfigurationFor is how long no node that reaches the engines has a configuration.
	noConfigurationFor time.Duration

	mutex  sync.Mutex
	offset int
	ended  bool
	result answer
	// connections counts the connections that the answer took.
	connections int
}

// modelSteps are the steps of a model request at which a fault is injected.
var modelSteps = []struct {
	name    string
	reached func(r *modelRequest) bool
}{
	{"accept", func(*modelRequest) bool { return true }},
	{"acquire", func(r *modelRequest) bool { return r.entry.server.InFlight() > 0 }},
	{"prefill", func(r *modelRequest) bool { return r.f.totalCounts().Prefills > 0 }},
	{"transfer", func(r *modelRequest) bool { return r.f.engineCounts(identifier.Decode).Held > 0 }},
	{"first-token", func(r *modelRequest) bool { return r.f.totalCounts().Decodes > 0 }},
	{"mid-stream", func(r *modelRequest) bool { return r.receivedTokens() >= 20 }},
	{"finish", func(r *modelRequest) bool { return r.receivedTokens() >= r.request.tokens-1 }},
}

// transparentFaults do not touch the caller's connection: the whole answer must
// arrive on the first connection.
var transparentFaults = map[string]bool{
	"owner-killed": true, "owner-paused": true, "owner-cut-off": true, "owner-leaves": true,
	"connections-silent": true, "peer-connections-silent": true,
	"decode-crash": true, "prefill-crash": true, "engines-slow": true, "transfers-stall": true,
	"answers-crossed": true, "node-joins": true, "store-down": true, "store-slow": true,
}

// modelFaults are faults of the nodes, connections and engines that a request uses.
var modelFaults = []struct {
	name   string
	inject func(r *modelRequest)
}{
	{"node-killed", func(r *modelRequest) { r.f.kill(r.entry.name) }},
	{"node-paused", func(r *modelRequest) { r.f.freeze(r.entry, 12*time.Second) }},
	{"owner-killed", func(r *modelRequest) { r.f.kill(r.owner.name) }},
	{"owner-paused", func(r *modelRequest) { r.f.freeze(r.owner, 12*time.Second) }},
	{"owner-cut-off", func(r *modelRequest) { r.f.cutFor(r.entry.host, r.owner.host, 12*time.Second) }},
	{"engines-cut-off", func(r *modelRequest) {
		for _, host := range r.f.engineHosts(identifier.Decode) {
			r.f.cutFor(r.entry.host, host, 5*time.Second)
		}
	}},
	{"connections-silent", func(r *modelRequest) {
		for _, host := range append(r.f.engineHosts(identifier.Decode), r.f.engineHosts(identifier.Prefill)...) {
			r.f.network.Silence(r.entry.host, host)
		}
	}},
	{"peer-connections-silent", func(r *modelRequest) { r.f.network.Silence(r.entry.host, r.owner.host) }},
	{"caller-connection-silent", func(r *modelRequest) { r.f.network.Silence(callerHost, r.entry.host) }},
	{"decode-crash", func(r *modelRequest) { r.f.crashBusiestEngine(identifier.Decode) }},
	{"prefill-crash", func(r *modelRequest) { r.f.crashBusiestEngine(identifier.Prefill) }},
	{"engines-slow", func(r *modelRequest) {
		// An import takes two round trips and must end before the eviction.
		for _, host := range r.f.engineHosts(identifier.Decode) {
			r.f.network.Slow(host, 100*time.Millisecond)
		}
	}},
	{"answers-crossed", func(r *modelRequest) {
		for _, engine := range r.f.engines {
			engine.InterleaveChunks()
		}
	}},
	{"transfers-stall", func(r *modelRequest) {
		for _, engine := range r.f.engines {
			engine.StallImports(1)
		}
	}},
	{"node-joins", func(r *modelRequest) { r.f.startNode("node-4") }},
	{"owner-leaves", func(r *modelRequest) { r.owner.stop() }},
	{"caller-cancels", func(r *modelRequest) {
		r.abandon()
	}},
	{"caller-cut-off", func(r *modelRequest) { r.cancel() }},
	{"store-down", func(r *modelRequest) { r.f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
	{"store-slow", func(r *modelRequest) { r.f.platform.SetFaults(emulator.PlatformFaults{Slow: seconds(1)}) }},
}

func init() {
	for _, step := range modelSteps {
		for _, fault := range modelFaults {
			addCell("whole-answer", fault.name, step.name, func(t *testing.T, f *fleet) {
				r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 60})
				f.waitFor(step.name, func() bool { return r.hasEnded() || step.reached(r) })
				fault.inject(r)
				r.check(t)
				if transparentFaults[fault.name] && r.connections != 1 {
					t.Errorf("the answer took %d connections", r.connections)
				}
			})
			if step.name == "finish" {
				continue
			}
			// The answer would take minutes, so only cancellation frees its memory.
			addCell("memory-freed", fault.name, step.name, func(t *testing.T, f *fleet) {
				r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 4000})
				f.waitFor(step.name, func() bool { return r.hasEnded() || step.reached(r) })
				fault.inject(r)
				r.abandon()
				r.check(t)
			})
		}
	}
}

// abandon ends the caller's connection and its retries.
func (r *modelRequest) abandon() {
	r.mutex.Lock()
	r.abandoned = true
	r.mutex.Unlock()
	r.cancel()
}

// startRequest starts a request whose caller retries until the answer is whole.
func (f *fleet) startRequest(t *testing.T, request completion) *modelRequest {
	ctx, cancel := context.WithCancel(t.Context())
	r := &modelRequest{f: f, request: request, cancel: cancel}
	r.owner = f.placementOwner()
	r.entry = f.entryFor(r.owner)
	go r.retry(ctx, t.Context())
	return r
}

// placementOwner returns the owner of the model pool's placement shard.
func (f *fleet) placementOwner() *node {
	return f.node(string(f.node("node-1").server.View().Owner(placementShard).Node))
}

// entryFor returns the first node that is not the owner, and in a fleet of several
// data centres not in the owner's data centre. Without such a node it returns owner.
func (f *fleet) entryFor(owner *node) *node {
	for _, n := range f.running() {
		if n != owner && (f.size.centres < 2 || n.centre != owner.centre) {
			return n
		}
	}
	return owner
}

// nodeOrder returns the nodes in the order of the caller's attempts: the entry,
// then, as in the answer of /v1/entries, nodes of its data centre before others.
func (r *modelRequest) nodeOrder() []*node {
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

// retry sends attempts through the nodes in turn until the answer is whole.
func (r *modelRequest) retry(firstAttempt, laterAttempts context.Context) {
	deadline := time.Now().Add(retryTimeout)
	order := r.nodeOrder()
	got, turns := answer{}, 0
	for turn := 0; !got.whole && time.Now().Before(deadline); turn++ {
		turns++
		request := r.request
		request.receivedTokens = len(got.tokens)
		request.resent = turn > 0
		parent := laterAttempts
		if turn == 0 {
			parent = firstAttempt
		}
		part := r.sendAttempt(parent, order[turn%len(order)], request)
		got.tokens = append(got.tokens, part.tokens...)
		got.whole, got.reason, got.outcome, got.status = part.whole, part.reason, part.outcome, part.status
		if !got.whole {
			r.f.t.Logf("connection %d: %d tokens, %q %q, %v", turns, len(part.tokens), part.outcome, part.reason, part.err)
		}
		if r.isAbandoned() {
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
	r.connections = turns
}

// sendAttempt makes one attempt and cancels it after tokenTimeout without a token.
func (r *modelRequest) sendAttempt(parent context.Context, n *node, request completion) answer {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silent := time.AfterFunc(tokenTimeout, cancel)
	defer silent.Stop()
	return r.f.complete(ctx, n, request, func(offset int) {
		silent.Reset(tokenTimeout)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.offset = offset
	})
}

func (r *modelRequest) receivedTokens() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.offset
}

func (r *modelRequest) hasEnded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended
}

func (r *modelRequest) isAbandoned() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.abandoned
}

// check waits until the caller is done. It asserts that the answer is whole, unless
// the caller abandoned it, and that all engine memory is freed.
func (r *modelRequest) check(t *testing.T) {
	t.Helper()
	r.f.waitFor("the caller's end", r.hasEnded)
	held := r.mayBeQuarantined && r.result.outcome == "unknown" && r.result.reason == "quarantined"
	if got := r.result; !held && !r.isAbandoned() && (!got.whole || got.text() != expectedText(r.request)) {
		t.Errorf("got %d tokens, whole %v, refusal %q %q, equal so far: %v", len(got.tokens), got.whole, got.outcome, got.reason,
			len(got.text()) <= len(expectedText(r.request)) && got.text() == expectedText(r.request)[:len(got.text())])
	}
	time.Sleep(r.noConfigurationFor)
	r.f.checkMemoryFreed(t)
	if got := r.result; got.outcome == "not-run" && r.f.totalCounts().Prefills > 0 {
		t.Errorf("refused as \"not run\" (%s), but an engine ran a prefill", got.reason)
	}
}
