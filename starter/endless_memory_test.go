package starter_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// endlessSeed selects the loopback addresses of TestEndlessAnswersBesideSoundRequests, apart
	// from those of other seeds.
	endlessSeed = 198
	// endlessCallers is how many callers of each kind send requests to one node at once, and
	// soundCallers how many send requests to a sound service, which has slots for them.
	endlessCallers = 50
	soundCallers   = 10
)

// TestEndlessAnswersBesideSoundRequests guards against a process that keeps bytes without end
// of faulty back ends, in any part of an answer, until it runs out of memory and ends the
// requests of all callers: it stays within its memory, each request has its answer in time,
// and requests of a sound service are served.
func TestEndlessAnswersBesideSoundRequests(t *testing.T) {
	// The race detector's own memory and time would hide those of the node.
	s := newSoakRun(t, buildProgram(t, false), endlessSeed)
	s.kind, s.withRace = strainedSoak, false
	defer s.close()
	s.startNodes()
	watched := make(chan struct{})
	s.background.Go(func() { s.watchMemory(watched) })
	defer func() {
		close(watched)
		s.background.Wait()
		t.Logf("the most memory of a process was %d MB", s.peakMemory)
	}()
	for _, form := range emulator.EndlessForms() {
		t.Run(string(form), func(t *testing.T) {
			for _, at := range limitable {
				s.backends[at].instance.SetFaults(emulator.InstanceFaults{EndlessAnswers: 1000, EndlessForm: form})
			}
			defer func() {
				for _, at := range limitable {
					s.backends[at].instance.SetFaults(emulator.InstanceFaults{})
				}
			}()
			s.sendBesideEndless(t)
		})
	}
}

// sendBesideEndless sends requests of all kinds to node 0 at once, and checks that those to the
// service "other", which is sound, are served.
func (s *soakRun) sendBesideEndless(t *testing.T) {
	t.Helper()
	probe := request{method: http.MethodGet, path: probePrefix(s.operator.newestVersion())}
	var group sync.WaitGroup
	for kind, c := range []request{booking(), lookUp(), quote(), probe} {
		callers := endlessCallers
		if c.path == probe.path {
			callers = soundCallers
		}
		for range callers {
			group.Go(func() {
				caller := &soakCaller{run: s, node: 0}
				defer caller.disconnect()
				for range 2 {
					o := caller.send(soakRequest{request: c, routeTimeout: 3 * time.Second, atMostOnce: kind%2 == 0})
					s.check(o)
					if c.path == probe.path && o.status != http.StatusOK {
						t.Errorf("a sound request: status %d, %v", o.status, o.failure)
					}
				}
			})
		}
	}
	group.Wait()
}
