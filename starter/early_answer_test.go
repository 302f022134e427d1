package starter_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// earlyAnswerSeed selects the addresses of the processes.
	earlyAnswerSeed = 700_180
	// earlyAnswerRequests is the number of requests of each kind.
	earlyAnswerRequests = 20
)

// TestEarlyAnswerThroughProcess guards against a part of an answer that reaches its caller as the
// whole one: a back end answers a long upload without a length and resets the connection while the
// upload is still sent. Only processes have connections whose kernel tells of the reset.
func TestEarlyAnswerThroughProcess(t *testing.T) {
	s := newSoakRun(t, buildProgram(t, false), earlyAnswerSeed)
	s.kind, s.withRace = invalidSoak, false
	s.fleet.maxBodyBytes = soakMaxBodyBytes
	defer s.close()
	s.startNodes()
	for _, backend := range s.backends {
		s.backendProxies[backend.id].passResets()
		if backend.service == "desk" || backend.instance.Stage() == "decode" {
			backend.instance.SetFaults(emulator.InstanceFaults{EarlyAnswers: 100 * earlyAnswerRequests})
		}
	}
	body := strings.Repeat("x", soakBodyBytes)
	for name, kind := range map[string]func() request{"booking": booking, "stream": quote} {
		t.Run(name, func(t *testing.T) {
			statuses, cut := map[int]int{}, 0
			for range earlyAnswerRequests {
				c := kind()
				c.body, c.deadline = body, soakLongTimeout
				got := s.fleet.send(t.Context(), 0, c)
				switch {
				case !got.truncated:
					statuses[got.status]++
				case got.status == http.StatusOK:
					cut++ // Its first event came before the reset.
				}
				if got.status == http.StatusOK && !got.truncated {
					t.Errorf("%s got a part as the whole answer: %.80q", got.attempt, got.body)
				}
			}
			t.Logf("complete answers by status: %v; cut: %d", statuses, cut)
			if statuses[http.StatusBadGateway]+cut == 0 {
				t.Error("no request met an early answer")
			}
		})
	}
}
