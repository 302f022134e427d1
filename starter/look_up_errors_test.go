package starter_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestLookUpsGetAnswersBesideErrors guards against nodes that do not earn or use their part of
// the fleet's retry budget: look-ups that a server answers with its own 500 go to another one.
func TestLookUpsGetAnswersBesideErrors(t *testing.T) {
	const failures = 6
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		desks := []*emulator.Instance{f.instances[f.instanceIDs("desk", "")[0]], f.instances[f.instanceIDs("desk", "")[1]]}
		before := arrivals(desks)
		stop := f.load(t, 50*time.Millisecond, nil, lookUp)
		time.Sleep(10 * time.Second)
		desks[0].SetFaults(emulator.InstanceFaults{Errors: failures})
		time.Sleep(3 * time.Second)
		statuses := stop()
		total := 0
		for _, count := range statuses {
			total += count
		}
		if statuses[http.StatusOK] != total || arrivals(desks)-before != total+failures {
			t.Errorf("%d requests reached the servers, of which %d failed there; callers got %v", arrivals(desks)-before, failures, statuses)
		}
	})
}
