package prover

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

func init() {
	wide := shape{nodes: 3, prefills: 3, decodes: 3, services: 1}
	addSized(wide, "poison-held", "poison-request", "prefill", func(t *testing.T, f *fleet) { f.poison(t, func() {}) })
	addSized(wide, "poison-held", "poison-and-node-killed", "prefill", func(t *testing.T, f *fleet) {
		f.poison(t, func() { f.kill("node-2") })
	})
	addSized(wide, "poison-held", "poison-and-store-down", "prefill", func(t *testing.T, f *fleet) {
		f.poison(t, func() { f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) })
	})
	addSized(wide, "poison-held", "engines-crash-alone", "mid-stream", innocentCrashes)
}

// poison sends a request that crashes each engine that runs it, in the middle
// of others. Two engines crash at the most however often its caller sends it
// again through any node, its caller is told, the others are answered, and
// after a while it is forgotten.
func (f *fleet) poison(t *testing.T, strike func()) {
	f.reviveEngines()
	var group sync.WaitGroup
	for i := range 9 {
		request := completion{id: fmt.Sprintf("report-%d", i), prompt: fmt.Sprintf("%s case %d", longPrompt, i), tokens: 60}
		group.Go(func() { f.try(t, request).checkAnswer(t) })
	}
	time.Sleep(200 * time.Millisecond)
	strike()
	poison := completion{id: "poison-1", prompt: "a poisoned humidity log", tokens: 20}
	told := map[string]int{}
	for round := range 4 {
		for _, n := range f.running() {
			poison.id = fmt.Sprintf("poison-%d-%s", round, n.name)
			told[f.complete(t.Context(), n, poison, nil).reason]++
			time.Sleep(time.Second)
		}
	}
	group.Wait()
	if crashes := f.crashes(); crashes > 2 {
		t.Errorf("%d engines crashed by one request", crashes)
	}
	if told["quarantined"] == 0 {
		t.Errorf("the caller was never told; it was told %v", told)
	}
	f.freed(t)
	time.Sleep(16 * time.Minute)
	before := f.crashes()
	f.complete(t.Context(), f.running()[0], poison, nil)
	if f.crashes() == before {
		t.Error("the request is still held long after its last crash")
	}
}

// innocentCrashes crashes one engine after the other under requests that did
// not cause it, the same ones each time: those that were answered in between
// are innocent of the earlier crash. All are answered, none is held.
func innocentCrashes(t *testing.T, f *fleet) {
	f.reviveEngines()
	for round, engine := range []string{"decode-1", "decode-2", "decode-3"} {
		var group sync.WaitGroup
		for i := range 9 {
			request := completion{id: fmt.Sprintf("report-%d-%d", round, i), prompt: fmt.Sprintf("%s case %d", longPrompt, i), tokens: 60}
			group.Go(func() { f.try(t, request).checkAnswer(t) })
		}
		time.Sleep(3 * time.Second)
		f.engines[engine].Crash()
		group.Wait()
	}
	f.freed(t)
}

// checkAnswer waits for the whole answer.
func (r *trial) checkAnswer(t *testing.T) {
	r.f.waitFor("the caller's end", r.over)
	if !r.result.whole || r.result.text() != expected(r.request) {
		t.Errorf("%s got %d tokens, whole %v, refusal %q %q", r.request.id, len(r.result.tokens), r.result.whole, r.result.outcome, r.result.reason)
	}
}

// reviveEngines brings each crashed engine back two seconds later.
func (f *fleet) reviveEngines() {
	stop := make(chan struct{})
	f.atEnd(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
				for _, engine := range f.engines {
					engine.Restart()
				}
			}
		}
	}()
}

func (f *fleet) crashes() int {
	crashes := 0
	for _, engine := range f.engines {
		crashes += engine.Counts().Crashes
	}
	return crashes
}
