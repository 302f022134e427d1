package prover

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// modelPairs are faults that strike together or one after the other, where the
// defence against the first leans on what the second takes away.
var modelPairs = []struct {
	name   string
	strike func(r *trial)
	// held allows that the request is held, because it was in flight at crashes
	// of two different engines.
	held bool
}{
	// The take-over by another node needs the owner's knowledge of the grant.
	{"node-and-owner-killed", func(r *trial) {
		r.f.kill(r.entry.name)
		r.f.kill(r.owner.name)
	}, false},
	// The second attempt runs while the owner is being replaced.
	{"decode-crash-and-owner-killed", func(r *trial) {
		r.f.crashWhere(identifier.Decode)
		r.f.kill(r.owner.name)
	}, false},
	// The attempt after the crash is struck as well.
	{"decode-crash-twice", func(r *trial) {
		r.f.crashWhere(identifier.Decode)
		r.f.after(time.Second, func() { r.f.crashWhere(identifier.Decode) })
	}, true},
	// The new connection of a resume falls silent too.
	{"connections-silent-twice", func(r *trial) {
		silence := func() {
			for _, host := range append(r.f.engineHosts(identifier.Decode), r.f.engineHosts(identifier.Prefill)...) {
				r.f.network.Silence(r.entry.host, host)
			}
		}
		silence()
		r.f.after(4*time.Second, silence)
	}, false},
	// The engine never learns from the connection that the stalled request was given up.
	{"transfers-stall-and-connections-silent", func(r *trial) {
		for _, engine := range r.f.engines {
			engine.StallImports(1)
		}
		r.f.after(time.Second, func() {
			for _, host := range r.f.engineHosts(identifier.Decode) {
				r.f.network.Silence(r.entry.host, host)
			}
		})
	}, false},
	// The node that comes back has no store to learn the configuration from.
	{"node-replaced-without-store", func(r *trial) {
		r.f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
		r.f.kill(r.entry.name)
		name := r.entry.name
		r.f.after(time.Second, func() { r.f.startNode(name) })
	}, false},
	// A paused owner comes back beside its successor.
	{"owner-paused-and-node-killed", func(r *trial) {
		r.f.freeze(r.owner, 12*time.Second)
		r.f.kill(r.entry.name)
	}, false},
	// The caller returns while the engine's crash is being found out.
	{"caller-cut-off-and-decode-crash", func(r *trial) {
		r.leave()
		r.f.crashWhere(identifier.Decode)
	}, false},
}

func init() {
	for _, step := range modelSteps {
		for _, pair := range modelPairs {
			add("whole-answer", pair.name, step.name, func(t *testing.T, f *fleet) {
				r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 60})
				f.waitFor(step.name, func() bool { return r.over() || step.reached(r) })
				pair.strike(r)
				r.mayBeHeld = pair.held
				r.check(t)
			})
		}
	}
	desk := shape{nodes: 3, prefills: 1, decodes: 1, services: 3}
	for _, fault := range lookUpFaults {
		addSized(desk, "look-ups-quick", fault.name, "look-up", func(t *testing.T, f *fleet) {
			f.lookUp(t.Context(), f.node("node-1"))
			f.lookUp(t.Context(), f.node("node-1"))
			f.lookUp(t.Context(), f.node("node-1"))
			fault.strike(f)
			f.lookUpsQuick(t)
		})
	}
}

// lookUpFaults strike one of three service members.
var lookUpFaults = []struct {
	name   string
	strike func(f *fleet)
}{
	{"service-killed", func(f *fleet) { f.network.Kill(serviceHost) }},
	{"service-cut-off", func(f *fleet) { f.network.Cut(f.node("node-1").host, serviceHost) }},
	{"connections-silent", func(f *fleet) { f.network.Silence(f.node("node-1").host, serviceHost) }},
	{"service-slow", func(f *fleet) { f.network.Slow(serviceHost, 2*time.Second) }},
	{"store-down", func(f *fleet) { f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
}

// lookUpsQuick checks that look-ups go on within half a second while one of the
// members does not answer: another is asked on a new connection.
func (f *fleet) lookUpsQuick(t *testing.T) {
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
