package starter_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// soakBodyBytes is the size of large bodies, and soakMaxBodyBytes the limit that the
	// configuration sets.
	soakBodyBytes    = 3_900_000
	soakMaxBodyBytes = 4_000_000
	// soakLargeBodies is how many large bodies are sent at once.
	soakLargeBodies = 16
	// soakCrowd is how many idle callers crowd a node: more than it has connections for.
	soakCrowd = 1050
	// soakTimeoutSlack is how long after its deadline a request must have its answer.
	soakTimeoutSlack = 500 * time.Millisecond
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 50 * time.Millisecond
)

// startStrain starts a fault of the first back end of a service or role, so that another one
// is sound, or lets callers strain a node, or ends one.
func (s *soakRun) startStrain() (end func()) {
	n := s.random.IntN(len(s.processes))
	forms := emulator.EndlessForms()
	form := forms[s.random.IntN(len(forms))]
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[s.random.IntN(3)]
	lead := time.Duration(s.random.Int64N(int64(6 * time.Second)))
	backend := s.backends[limitable[s.random.IntN(len(limitable))]]
	decode := s.backends[limitable[1]]
	switch s.random.IntN(8) {
	case 0:
		return s.setFaults(backend, emulator.InstanceFaults{Errors: 1000, ErrorStatus: status})
	case 1:
		return s.setFaults(decode, emulator.InstanceFaults{HeadLead: lead})
	case 2:
		return s.setFaults(decode, emulator.InstanceFaults{HeadLead: lead / 20, CutHeads: 20})
	case 3, 4:
		return s.setFaults(backend, emulator.InstanceFaults{EndlessAnswers: 1000, EndlessForm: form})
	case 5:
		return s.crowd(n)
	case 6:
		s.sendLargeBodies(n)
	default:
		s.kill(n)
	}
	return func() {}
}

func (s *soakRun) setFaults(backend *soakBackend, faults emulator.InstanceFaults) (end func()) {
	s.logFault("%s: %+v", backend.id, faults)
	backend.instance.SetFaults(faults)
	return func() {
		s.logFault("%s is sound", backend.id)
		backend.instance.SetFaults(emulator.InstanceFaults{})
	}
}

// crowd opens many connections to node n, one after the other, sends a look-up on each and
// keeps all of them open. Unless the node is disturbed, each must be answered.
func (s *soakRun) crowd(n int) (end func()) {
	if s.crowded {
		return func() {}
	}
	s.crowded = true
	s.logFault("idle callers crowd node %d", n)
	stopped := make(chan struct{})
	s.background.Go(func() {
		var callers []*soakCaller
		for range soakCrowd {
			caller := &soakCaller{run: s, node: n}
			s.check(caller.send(soakRequest{request: lookUp(), routeTimeout: 3 * time.Second}))
			callers = append(callers, caller)
		}
		<-stopped
		for _, caller := range callers {
			caller.disconnect()
		}
	})
	return func() { s.crowded = false; close(stopped) }
}

// sendLargeBodies sends bookings with large bodies to node n, all at once.
func (s *soakRun) sendLargeBodies(n int) {
	s.logFault("%d bodies of %d bytes to node %d", soakLargeBodies, soakBodyBytes, n)
	body := strings.Repeat("x", soakBodyBytes)
	for range soakLargeBodies {
		s.background.Go(func() {
			caller := &soakCaller{run: s, node: n}
			c := booking()
			c.body, c.deadline = body, soakLongTimeout
			s.check(caller.send(soakRequest{request: c, routeTimeout: 3 * time.Second, atMostOnce: true}))
			caller.disconnect()
		})
	}
}

// checkAnswered fails the seed's test if an undisturbed node ended a request that it had read
// without any answer, or much later than its deadline.
func (s *soakRun) checkAnswered(o soakOutcome) {
	if o.sent.IsZero() || s.isDisturbed(o.node, o.began.Add(-soakStableWindow), o.ended) {
		return
	}
	if o.status == 0 {
		s.errorf(o, "the request got no answer")
	}
	if late := o.ended.Sub(o.sent) - min(o.deadline, o.routeTimeout); late > soakTimeoutSlack {
		s.errorf(o, "the request ended too late")
	}
}

// watchMemory fails the seed's test if a process exceeds its memory. The race detector takes
// more than that itself.
func (s *soakRun) watchMemory(ended <-chan struct{}) {
	var once sync.Once
	for !s.withRace {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		for n := range s.processes {
			megabytes := s.memory(n)
			s.peakMemory = max(s.peakMemory, megabytes)
			if megabytes > soakMemoryMb {
				once.Do(func() {
					s.t.Errorf("seed %d: node %d has %d MB of memory, %d are allowed", s.seed, n, megabytes, soakMemoryMb)
				})
			}
		}
	}
}

// memory returns the anonymous memory of node n's process in megabytes, zero if it has ended.
func (s *soakRun) memory(n int) int {
	process := s.processes[n]
	process.mutex.Lock()
	pid := process.command.Process.Pid
	process.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}
