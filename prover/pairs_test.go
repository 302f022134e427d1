package prover

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// modelPairs are pairs of faults, concurrent or in sequence, where the recovery from
// the first depends on something that the second removes.
var modelPairs = []struct {
	name   string
	inject func(r *modelRequest)
	// mayBeQuarantined allows a refusal as poison, because the request was in flight
	// at crashes of two different engines.
	mayBeQuarantined bool
}{
	// Another node needs the owner's record of the grant to take over.
	{"node-and-owner-killed", func(r *modelRequest) {
		r.f.kill(r.entry.name)
		r.f.kill(r.owner.name)
	}, false},
	// The second attempt runs while the owner is being replaced.
	{"decode-crash-and-owner-killed", func(r *modelRequest) {
		r.f.crashBusiestEngine(identifier.Decode)
		r.f.kill(r.owner.name)
	}, false},
	// The attempt after the crash fails as well.
	{"decode-crash-twice", func(r *modelRequest) {
		r.f.crashBusiestEngine(identifier.Decode)
		r.f.runAfter(time.Second, func() { r.f.crashBusiestEngine(identifier.Decode) })
	}, true},
	// The new connection of a resume falls silent too.
	{"connections-silent-twice", func(r *modelRequest) {
		silence := func() {
			for _, host := range append(r.f.engineHosts(identifier.Decode), r.f.engineHosts(identifier.Prefill)...) {
				r.f.network.Silence(r.entry.host, host)
			}
		}
		silence()
		r.f.runAfter(4*time.Second, silence)
	}, false},
	// The engine cannot learn from the connection that the stalled request was cancelled.
	{"transfers-stall-and-connections-silent", func(r *modelRequest) {
		for _, engine := range r.f.engines {
			engine.StallImports(1)
		}
		r.f.runAfter(time.Second, func() {
			for _, host := range r.f.engineHosts(identifier.Decode) {
				r.f.network.Silence(r.entry.host, host)
			}
		})
	}, false},
	// The restarted node cannot read the configuration from the store.
	{"node-replaced-without-store", func(r *modelRequest) {
		r.f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
		r.f.kill(r.entry.name)
		name := r.entry.name
		r.f.runAfter(time.Second, func() { r.f.startNode(name) })
	}, false},
	// A paused owner resumes while its successor is active.
	{"owner-paused-and-node-killed", func(r *modelRequest) {
		r.f.freeze(r.owner, 12*time.Second)
		r.f.kill(r.entry.name)
	}, false},
	// The caller retries before the engine's crash is detected.
	{"caller-cut-off-and-decode-crash", func(r *modelRequest) {
		r.cancel()
		r.f.crashBusiestEngine(identifier.Decode)
	}, false},
}

func init() {
	for _, step := range modelSteps {
		for _, pair := range modelPairs {
			addCell("whole-answer", pair.name, step.name, func(t *testing.T, f *fleet) {
				r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 60})
				f.waitFor(step.name, func() bool { return r.hasEnded() || step.reached(r) })
				pair.inject(r)
				r.mayBeQuarantined = pair.mayBeQuarantined
				r.check(t)
			})
		}
	}
	desk := shape{nodes: 3, prefills: 1, decodes: 1, services: 3}
	for _, fault := range lookUpFaults {
		addCellWithShape(desk, "look-ups-quick", fault.name, "look-up", func(t *testing.T, f *fleet) {
			f.lookUp(t.Context(), f.node("node-1"))
			f.lookUp(t.Context(), f.node("node-1"))
			f.lookUp(t.Context(), f.node("node-1"))
			fault.inject(f)
			f.checkLookUpLatency(t)
		})
	}
}

// lookUpFaults are faults of one of three service members, or of the store.
var lookUpFaults = []struct {
	name   string
	inject func(f *fleet)
}{
	{"service-killed", func(f *fleet) { f.network.Kill(serviceHost) }},
	{"service-cut-off", func(f *fleet) { f.network.Cut(f.node("node-1").host, serviceHost) }},
	{"connections-silent", func(f *fleet) { f.network.Silence(f.node("node-1").host, serviceHost) }},
	{"service-slow", func(f *fleet) { f.network.Slow(serviceHost, 2*time.Second) }},
	{"store-down", func(f *fleet) { f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
}

// checkLookUpLatency checks that look-ups succeed within 500 ms while one member does
// not answer: the node must retry at another member on a new connection.
func (f *fleet) checkLookUpLatency(t *testing.T) {
	t.Helper()
	for i := range 9 {
		start := time.Now()
		got := f.lookUp(t.Context(), f.node("node-1"))
		if took := time.Since(start); got.status != 200 || took > 500*time.Millisecond {
			t.Errorf("look-up %d: status %d, %s after %v", i, got.status, got.reason, took)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
