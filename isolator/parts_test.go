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

func (n *testFleet) checkPart(t *testing.T, node string, part Part, quarantined bool) {
	t.Helper()
	if n.isolators[node].HasQuarantinedPart([]Part{part}) != quarantined {
		t.Errorf("node %s: part %d quarantined=%t", node, part, !quarantined)
	}
}

// TestPartOfDifferentRequestsIsQuarantined guards against one part of a prompt that crashes
// engine after engine because no two requests with it are alike. The parts that the
// requests share with sound ones stay in use, also those in flight at the same crashes.
func TestPartOfDifferentRequestsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range partThreshold {
			n.checkPart(t, "c", deadlyPart, false)
			crash(at, sharedPart, soundPart)
			crash(at, sharedPart, deadlyPart)
			time.Sleep(time.Second)
			n.isolators["c"].ReportPartsFinished([]Part{sharedPart, soundPart})
		}
		for node := range n.isolators {
			n.checkPart(t, node, deadlyPart, true)
			n.checkPart(t, node, sharedPart, false)
			n.checkPart(t, node, soundPart, false)
		}
	})
}

// TestSharedPartIsNotBlamed guards against a quarantine of the part that all requests share
// when no sound request has finished between the crashes.
func TestSharedPartIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range 2 * partThreshold {
			crash(at, sharedPart, deadlyPart)
			crash(at, sharedPart, soundPart+Part(at))
			time.Sleep(time.Second)
		}
		n.checkPart(t, "c", deadlyPart, true)
		n.checkPart(t, "c", sharedPart, false)
	})
}

// TestSimultaneousCrashesDoNotQuarantine guards against a part that is refused because
// several engines with requests of it lost power at the same moment.
func TestSimultaneousCrashesDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range 10 * partThreshold {
			crash(at, sharedPart, soundPart)
		}
		n.checkPart(t, "c", sharedPart, false)
		n.checkPart(t, "c", soundPart, false)
	})
}

// TestQuarantinedPartIsTriedAgain checks that a part is refused for a limited time, which
// grows when it crashes an engine again, and that a finished request ends the quarantine.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range partThreshold {
			crash(at, deadlyPart)
			time.Sleep(time.Second)
		}
		time.Sleep(partTrialDelay - 2*time.Second)
		n.checkPart(t, "c", deadlyPart, true)
		time.Sleep(2 * time.Second)
		n.checkPart(t, "c", deadlyPart, false)
		crash(partThreshold, deadlyPart)
		time.Sleep(partTrialDelay + time.Second)
		n.checkPart(t, "c", deadlyPart, true)
		n.isolators["a"].ReportPartsFinished([]Part{deadlyPart})
		n.checkPart(t, "c", deadlyPart, false)
	})
}

// TestRestartedEngineCrashesAgain guards against crashes that are not counted because the
// engine keeps its name when it starts again. Reports of one crash by several nodes are one.
func TestRestartedEngineCrashesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newPartsFleet()
		for at := range partThreshold {
			n.checkPart(t, "c", deadlyPart, false)
			for fingerprint, node := range []string{"a", "b", "c"} {
				n.isolators[node].ReportEngineCrash(Crash{Member: "decode", Fingerprint: uint64(10*at + fingerprint), Parts: []Part{deadlyPart}})
				time.Sleep(simultaneousCrashes + time.Millisecond)
			}
			time.Sleep(2 * sameCrash)
		}
		n.checkPart(t, "c", deadlyPart, true)
	})
}

// TestRestartedNodeLearnsQuarantinedParts guards against nodes that let a part crash
// engines again after their restart.
func TestRestartedNodeLearnsQuarantinedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, crash := newPartsFleet()
		for at := range partThreshold {
			crash(at, deadlyPart)
			time.Sleep(time.Second)
		}
		n.start("d", Options{})
		n.checkPart(t, "d", deadlyPart, false)
		n.repeat("c")
		n.checkPart(t, "d", deadlyPart, true)
	})
}
