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
	addCellWithShape(wide, "poison-held", "poison-request", "prefill", func(t *testing.T, f *fleet) { f.checkPoison(t, func() {}) })
	addCellWithShape(wide, "poison-held", "poison-and-node-killed", "prefill", func(t *testing.T, f *fleet) {
		f.checkPoison(t, func() { f.kill("node-2") })
	})
	addCellWithShape(wide, "poison-held", "poison-and-store-down", "prefill", func(t *testing.T, f *fleet) {
		f.checkPoison(t, func() { f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) })
	})
	addCellWithShape(wide, "poison-held", "engines-crash-alone", "mid-stream", checkUnrelatedCrashes)
}

// checkPoison sends a request that crashes every engine that runs it, among others.
// However often it is resent through any node, at most two engines may crash, it must
// be refused as quarantined, all others be answered, and the quarantine must expire.
func (f *fleet) checkPoison(t *testing.T, inject func()) {
	f.restartCrashedEngines()
	var group sync.WaitGroup
	for i := range 9 {
		request := completion{id: fmt.Sprintf("report-%d", i), prompt: fmt.Sprintf("%s case %d", longPrompt, i), tokens: 60}
		group.Go(func() { f.startRequest(t, request).checkAnswer(t) })
	}
	time.Sleep(200 * time.Millisecond)
	inject()
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
	if crashes := f.countCrashes(); crashes > 2 {
		t.Errorf("%d engines crashed by one request", crashes)
	}
	if told["quarantined"] == 0 {
		t.Errorf("the request was never refused as quarantined; reasons: %v", told)
	}
	f.checkMemoryFreed(t)
	time.Sleep(16 * time.Minute)
	before := f.countCrashes()
	f.complete(t.Context(), f.running()[0], poison, nil)
	if f.countCrashes() == before {
		t.Error("the request is still held long after its last crash")
	}
}

// checkUnrelatedCrashes crashes one engine after another under the same requests,
// which did not cause the crashes. A request that is answered between two crashes
// did not cause the earlier one: all must be answered, none quarantined.
func checkUnrelatedCrashes(t *testing.T, f *fleet) {
	f.restartCrashedEngines()
	for round, engine := range []string{"decode-1", "decode-2", "decode-3"} {
		var group sync.WaitGroup
		for i := range 9 {
			request := completion{id: fmt.Sprintf("report-%d-%d", round, i), prompt: fmt.Sprintf("%s case %d", longPrompt, i), tokens: 60}
			group.Go(func() { f.startRequest(t, request).checkAnswer(t) })
		}
		time.Sleep(3 * time.Second)
		f.engines[engine].Crash()
		group.Wait()
	}
	f.checkMemoryFreed(t)
}

// checkAnswer waits until the caller is done and checks that the answer is whole.
func (r *modelRequest) checkAnswer(t *testing.T) {
	r.f.waitFor("the caller's end", r.hasEnded)
	if !r.result.whole || r.result.text() != expectedText(r.request) {
		t.Errorf("%s got %d tokens, whole %v, refusal %q %q", r.request.id, len(r.result.tokens), r.result.whole, r.result.outcome, r.result.reason)
	}
}

// restartCrashedEngines restarts crashed engines every two seconds until close.
func (f *fleet) restartCrashedEngines() {
	stop := make(chan struct{})
	f.onClose(func() { close(stop) })
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

func (f *fleet) countCrashes() int {
	crashes := 0
	for _, engine := range f.engines {
		crashes += engine.Counts().Crashes
	}
	return crashes
}
