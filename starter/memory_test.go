package starter_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestStreamsDropTheirBodies guards against bodies that stay in memory for as long as their
// streams, which last much longer than their prefills.
func TestStreamsDropTheirBodies(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.kill(0)
		f.network.Heal()
		// Of 838 kB for requests, six have room with their bodies, and twelve without.
		f.nodes[0].settings.MemoryBytes = 4 << 20
		f.start(0)
		f.waitFor(t, recoveryTimeout, "the node is ready", func() bool { return f.readyNodes() == 1 })
		for _, id := range f.instanceIDs("llm", "decode") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Slow: 4})
		}
		var group sync.WaitGroup
		for range 12 {
			group.Go(func() {
				c := quote()
				c.body, c.deadline = strings.Repeat("x", 90_000), 3*time.Second
				if got := f.send(t.Context(), 0, c); got.status != http.StatusOK || countEvents(got.body) != 10 {
					t.Errorf("status %d with %d events: %.100s", got.status, countEvents(got.body), got.body)
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
		group.Wait()
	})
}
