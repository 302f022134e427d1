package starter_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestBackendThatSaysItLeavesGetsNoRequests guards against requests at a back end whose
// answers say that it leaves while the store still lists it as ready.
func TestBackendThatSaysItLeavesGetsNoRequests(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		var leaving []*emulator.Instance
		for _, id := range []string{f.instanceIDs("desk", "")[0], f.instanceIDs("llm", "prefill")[0], f.instanceIDs("llm", "decode")[0]} {
			f.instances[id].SetFaults(emulator.InstanceFaults{Leaving: true})
			leaving = append(leaving, f.instances[id])
		}
		for _, instance := range leaving {
			f.waitFor(t, recoveryTimeout, "a request at each back end", func() bool {
				f.sendAcrossBackends(t)
				return instance.Arrivals() > 0
			})
		}
		before := arrivals(leaving)
		for range 6 {
			f.sendAcrossBackends(t)
		}
		if after := arrivals(leaving); after != before {
			t.Errorf("%d requests reached back ends that had said that they leave", after-before)
		}
	})
}

// TestPausedBackendGetsNoRequests guards against requests at a back end that has asked
// this node to stay away for a while. Afterwards it is used again.
func TestPausedBackendGetsNoRequests(t *testing.T) {
	const pause = 3 * time.Second
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		var paused []*emulator.Instance
		for _, id := range []string{f.instanceIDs("desk", "")[0], f.instanceIDs("llm", "prefill")[0], f.instanceIDs("llm", "decode")[0]} {
			f.instances[id].SetFaults(emulator.InstanceFaults{Shed: 1, Pause: pause})
			paused = append(paused, f.instances[id])
		}
		// Requests that are on their way when the back end declines one are allowed.
		declinedAt, arrived := map[*emulator.Instance]time.Time{}, map[*emulator.Instance]int{}
		for began := time.Now(); time.Since(began) < pause-time.Second; {
			f.sendAcrossBackends(t)
			for _, instance := range paused {
				switch at, declined := declinedAt[instance]; {
				case !declined && instance.Arrivals() > 0:
					declinedAt[instance], arrived[instance] = time.Now(), instance.Arrivals()
				case declined && time.Since(at) < pause && instance.Arrivals() > arrived[instance]:
					t.Fatalf("a request reached a back end %v after it had asked for a pause of %v", time.Since(at), pause)
				}
			}
		}
		if len(declinedAt) != len(paused) {
			t.Fatalf("%d of %d back ends declined a request", len(declinedAt), len(paused))
		}
		time.Sleep(pause)
		before := arrivals(paused)
		for range 10 {
			f.send(t.Context(), 0, booking())
			f.send(t.Context(), 0, quote())
		}
		if arrivals(paused) == before {
			t.Error("no request reached a back end after its pause")
		}
	})
}

// TestServiceThatPausesRefusesAtOnce checks that a request for which all back ends have
// asked for a pause is refused at once, with the time at which the first pause ends.
func TestServiceThatPausesRefusesAtOnce(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for _, id := range f.instanceIDs("desk", "") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Shed: 100, Pause: 2 * time.Second})
		}
		f.send(t.Context(), 0, booking())
		began := time.Now()
		got := f.send(t.Context(), 0, booking())
		f.checkResponse(t, got, true)
		after, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		if got.status != http.StatusServiceUnavailable || err != nil || after < time.Second || time.Since(began) > 50*time.Millisecond {
			t.Errorf("%+v after %v", got, time.Since(began))
		}
	})
}

// sendAcrossBackends sends a request of each kind and three model requests at once with
// prompts of their own, so that no engine is left out because it has no prompt cached.
func (f *fleet) sendAcrossBackends(t *testing.T) {
	t.Helper()
	requests := []request{booking(), lookUp()}
	for range 3 {
		own := quote()
		own.header = own.header.Clone()
		own.header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,91bd:800", 1+f.sentCount.Add(1)))
		requests = append(requests, own)
	}
	answers := make(chan clientResponse, len(requests))
	for _, c := range requests {
		go func() { answers <- f.send(t.Context(), 0, c) }()
	}
	for range requests {
		if got := <-answers; got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
}

func arrivals(instances []*emulator.Instance) int {
	total := 0
	for _, instance := range instances {
		total += instance.Arrivals()
	}
	return total
}
