package isolator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// The parts of the tests' prompts.
const (
	sharedPart Part = iota + 1
	deadlyPart
	soundPart
)

// newPartsFleet returns three connected nodes, of which two report in turn.
func newPartsFleet() (*testFleet, func(n int, parts ...Part)) {
	n := &testFleet{isolators: map[string]*Isolator{}, disconnected: map[string]bool{}}
	for _, name := range []string{"a", "b", "c"} {
		n.start(name, Options{Capacity: 100})
	}
	crash := func(at int, parts ...Part) {
		node := []string{"a", "b"}[at%2]
		n.isolators[node].ReportEngineCrash(Crash{
			Member:      identifier.Member(fmt.Sprint("decode-", at)),
			Fingerprint: uint64(100 + at),
			Parts:       parts,
		})
	}
	return n, crash
}

// checkPrompt checks whether a node refuses a request that no node has had before.
func (n *testFleet) checkPrompt(t *testing.T, node string, quarantined bool, parts ...Part) {
	t.Helper()
	n.requests++
	if n.isolators[node].IsPromptQuarantined(n.requests, parts) != quarantined {
		t.Errorf("node %s: a prompt with parts %d is refused: %t", node, parts, !quarantined)
	}
}

// TestPartOfDifferentRequestsIsQuarantined guards against one part of a prompt that crashes
// engine after engine because no two requests with it are alike. The parts that the
// requests share with sound ones stay in use, also those in flight at the same crashes.
func TestPartOfDifferentRequestsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range certainThreshold {
			n.checkPrompt(t, "c", false, deadlyPart)
			crash(at, sharedPart, soundPart)
			crash(at, sharedPart, deadlyPart)
			time.Sleep(time.Second)
			n.isolators["c"].ReportPartsSound([]Part{sharedPart, soundPart}, time.Now())
		}
		for node := range n.isolators {
			n.checkPrompt(t, node, true, deadlyPart)
			n.checkPrompt(t, node, false, sharedPart)
			n.checkPrompt(t, node, false, soundPart)
		}
	})
}

// TestSharedPartIsNotBlamed guards against a quarantine of the part that all requests share
// when no sound request has finished between the crashes. Either part of the deadly requests
// can be at fault then, so that only prompts with both are refused.
func TestSharedPartIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range 2 * certainThreshold {
			crash(at, sharedPart, deadlyPart)
			crash(at, sharedPart, soundPart+Part(at))
			time.Sleep(time.Second)
		}
		n.checkPrompt(t, "c", true, sharedPart, deadlyPart)
		n.checkPrompt(t, "c", true, sharedPart, deadlyPart, soundPart)
		n.checkPrompt(t, "c", false, sharedPart)
		n.checkPrompt(t, "c", false, sharedPart, soundPart)
		n.isolators["c"].ReportPartsSound([]Part{sharedPart, soundPart}, time.Now())
		n.checkPrompt(t, "a", true, deadlyPart)
		n.checkPrompt(t, "a", false, sharedPart)
	})
}

// TestSimultaneousCrashesDoNotQuarantine guards against a part that is refused because
// several engines with requests of it lost power at the same moment.
func TestSimultaneousCrashesDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range 10 * certainThreshold {
			crash(at, sharedPart, soundPart)
		}
		n.checkPrompt(t, "c", false, sharedPart)
		n.checkPrompt(t, "c", false, soundPart)
	})
}

// TestQuarantinedPartIsTriedAgain checks that a part is refused for a limited time, which
// grows when it crashes an engine again, that one request of the fleet tries it then, and that
// the quarantine ends when it runs well.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range certainThreshold {
			crash(at, deadlyPart)
			time.Sleep(time.Second)
		}
		time.Sleep(certainTrialDelay - 2*time.Second)
		n.checkPrompt(t, "c", true, deadlyPart)
		time.Sleep(time.Second)
		isTrial := func(node string, fingerprint uint64) bool {
			return !n.isolators[node].IsPromptQuarantined(fingerprint, []Part{deadlyPart})
		}
		for range 2 {
			if !isTrial("c", 7) {
				t.Error("no request tries the part, or it is refused on its way")
			}
		}
		for node := range n.isolators {
			n.checkPrompt(t, node, true, deadlyPart)
		}
		crash(certainThreshold, deadlyPart)
		if isTrial("c", 7) {
			t.Error("the request that crashed an engine is sent again")
		}
		time.Sleep(certainTrialDelay + time.Second)
		n.checkPrompt(t, "c", true, deadlyPart)
		time.Sleep(certainTrialDelay - time.Second)
		if !isTrial("a", 8) {
			t.Error("the part is not tried again")
		}
		n.isolators["a"].ReportPartsSound([]Part{deadlyPart}, time.Now())
		for node := range n.isolators {
			n.checkPrompt(t, node, false, deadlyPart)
		}
	})
}

// TestTrialWithoutOutcomeIsFollowedByAnother guards against parts that stay refused because
// the caller of the one request that tried them went away.
func TestTrialWithoutOutcomeIsFollowedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range certainThreshold {
			crash(at, deadlyPart)
			time.Sleep(time.Second)
		}
		time.Sleep(certainTrialDelay)
		for range 3 {
			n.checkPrompt(t, "a", false, deadlyPart)
			n.checkPrompt(t, "b", true, deadlyPart)
			time.Sleep(trialTimeout)
		}
	})
}

// TestRestartedEngineCrashesAgain guards against crashes that are not counted because the
// engine keeps its name when it starts again. Reports of one crash by several nodes are one.
func TestRestartedEngineCrashesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newPartsFleet()
		for at := range certainThreshold {
			n.checkPrompt(t, "c", false, deadlyPart)
			for fingerprint, node := range []string{"a", "b", "c"} {
				n.isolators[node].ReportEngineCrash(Crash{Member: "decode", Fingerprint: uint64(10*at + fingerprint), Parts: []Part{deadlyPart}})
				time.Sleep(simultaneousCrashes + time.Millisecond)
			}
			time.Sleep(2 * restartTime)
		}
		n.checkPrompt(t, "c", true, deadlyPart)
	})
}

// TestRestartedNodeLearnsQuarantinedParts guards against nodes that let a part crash
// engines again after their restart.
func TestRestartedNodeLearnsQuarantinedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range certainThreshold {
			crash(at, deadlyPart)
			time.Sleep(time.Second)
		}
		n.start("d", Options{})
		n.checkPrompt(t, "d", false, deadlyPart)
		n.repeat("c")
		n.checkPrompt(t, "d", true, deadlyPart)
	})
}
