package starter_test

import (
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// startInvalidAnswers lets a back end give answers that are not valid HTTP, or break off its
// answers to large bodies, or ends a node.
func (s *soakRun) startInvalidAnswers() (end func()) {
	n := s.random.IntN(len(s.processes))
	forms := emulator.InvalidForms()
	form := forms[s.random.IntN(len(forms))]
	backend := s.backends[limitable[s.random.IntN(len(limitable))]]
	switch s.random.IntN(5) {
	case 0, 1, 2:
		return s.setFaults(backend, emulator.InstanceFaults{InvalidAnswers: 1000, InvalidForm: form})
	case 3:
		end := s.breakEarly()
		s.sendLargeBodies(n)
		return end
	default:
		s.kill(n)
		return func() {}
	}
}

// breakEarly lets all servers that bookings go to break off their answers to large bodies. Their
// proxies pass the resets on.
func (s *soakRun) breakEarly() (end func()) {
	var ends []func()
	for _, backend := range s.backends {
		if backend.service == "desk" {
			s.backendProxies[backend.id].passResets()
			ends = append(ends, s.setFaults(backend, emulator.InstanceFaults{EarlyAnswers: 1000}))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// checkInvalid fails the seed's test if a caller got an answer that is not valid HTTP or was
// broken off.
func (s *soakRun) checkInvalid(o soakOutcome) {
	if !o.truncated && strings.Contains(o.body, emulator.InvalidBody) {
		s.errorf(o, "an invalid answer looks complete")
	}
	for name := range o.header {
		if !httpguts.ValidHeaderFieldName(name) {
			s.errorf(o, "an invalid field was passed on")
		}
	}
}
