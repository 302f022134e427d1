package starter_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// limitWindow is the span in which arrivals at a limited back end are counted.
	limitWindow = 4 * time.Second
	// limitGrace is how long after its first limit a back end may get more.
	limitGrace = 3 * time.Second
)

// checkLimit checks that a limited instance got in any span of limitWindow, from limitGrace
// after its first limited answer on, at most one and a half times what the limit allows, and
// five requests.
func checkLimit(t *testing.T, name string, instance *emulator.Instance, limit float64) {
	t.Helper()
	arrivals := instance.LimitedArrivals()
	if len(arrivals) == 0 {
		return
	}
	allowed := 1.5*limit*limitWindow.Seconds() + 5
	worst, from := 0, 0
	for at, arrival := range arrivals {
		for arrivals[from].Before(arrivals[0].Add(limitGrace)) && from < at || arrival.Sub(arrivals[from]) > limitWindow {
			from++
		}
		worst = max(worst, at-from+1)
	}
	if float64(worst) > allowed {
		t.Errorf("%s: %d requests in %v, %.0f allowed at %g a second", name, worst, limitWindow, allowed, limit)
	}
}

// load sends requests through all nodes in turn, each interval, until stop is called, which
// returns the number of requests by status. Nodes are skipped while skip reports them.
func (f *fleet) load(t *testing.T, interval time.Duration, skip func(n int) bool, kinds ...func() request) (stop func() map[int]int) {
	t.Helper()
	ended, done := make(chan struct{}), make(chan struct{})
	statuses := map[int]int{}
	go func() {
		defer close(done)
		var mutex sync.Mutex
		var sends sync.WaitGroup
		for n := 0; ; n++ {
			select {
			case <-ended:
				sends.Wait()
				return
			case <-time.After(interval):
			}
			node := n % len(f.nodes)
			if skip != nil && skip(node) {
				continue
			}
			sends.Go(func() {
				got := f.send(t.Context(), node, kinds[n/len(f.nodes)%len(kinds)]())
				mutex.Lock()
				defer mutex.Unlock()
				statuses[got.status]++
			})
		}
	}()
	return func() map[int]int {
		close(ended)
		<-done
		return statuses
	}
}

// setLimits makes instances name a limit.
func (f *fleet) setLimits(limit float64, ids ...string) {
	for _, id := range ids {
		f.instances[id].SetFaults(emulator.InstanceFaults{Limit: limit})
	}
}

// TestLimitedBackendGetsItsLimit guards against a back end that gets more requests a second
// from all nodes together than it says that it takes, through first sends, retries, hedges or
// prefills, while others of its pool have room.
func TestLimitedBackendGetsItsLimit(t *testing.T) {
	const limit = 0.5
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		limited := []string{f.instanceIDs("desk", "")[0], f.instanceIDs("llm", "prefill")[0], f.instanceIDs("llm", "decode")[0]}
		f.setLimits(limit, limited...)
		stop := f.load(t, 20*time.Millisecond, nil, booking, quote, lookUp, booking, lookUp)
		time.Sleep(20 * time.Second)
		statuses := stop()
		for _, id := range limited {
			checkLimit(t, id, f.instances[id], limit)
			if got := len(f.instances[id].LimitedArrivals()); got < 5 {
				t.Errorf("%s got %d requests in 20 s", id, got)
			}
		}
		if statuses[http.StatusOK] < 900 {
			t.Errorf("answers by status: %v", statuses)
		}
	})
}

// TestLimitHoldsInLargeFleet guards against a limit that each of many nodes rounds up for
// itself.
func TestLimitHoldsInLargeFleet(t *testing.T) {
	const limit = 1
	runFleet(t, 60, func(t *testing.T, f *fleet) {
		limited := f.instanceIDs("desk", "")[0]
		f.setLimits(limit, limited)
		stop := f.load(t, 5*time.Millisecond, nil, booking, lookUp)
		time.Sleep(15 * time.Second)
		stop()
		checkLimit(t, limited, f.instances[limited], limit)
	})
}

// TestLimitHoldsWhileNodesChange guards against nodes that start, end or lose the others, and
// take for themselves what the others still send.
func TestLimitHoldsWhileNodesChange(t *testing.T) {
	const limit = 2
	runFleet(t, 8, func(t *testing.T, f *fleet) {
		limited := f.instanceIDs("desk", "")[0]
		f.setLimits(limit, limited)
		var mutex sync.Mutex
		down := map[int]bool{}
		setDown := func(n int, is bool) {
			mutex.Lock()
			defer mutex.Unlock()
			down[n] = is
		}
		stop := f.load(t, 10*time.Millisecond, func(n int) bool {
			mutex.Lock()
			defer mutex.Unlock()
			return down[n]
		}, booking, lookUp)
		time.Sleep(6 * time.Second)
		for _, n := range []int{0, 1, 2} {
			setDown(n, true)
			f.kill(n)
			time.Sleep(time.Second)
			f.start(n)
			time.Sleep(2 * time.Second)
			setDown(n, false)
		}
		for _, n := range []int{3, 4} {
			for other, node := range f.nodes {
				if other != n {
					f.network.Cut(f.nodes[n].host, node.host)
				}
			}
		}
		time.Sleep(8 * time.Second)
		f.network.Heal()
		time.Sleep(4 * time.Second)
		stop()
		checkLimit(t, limited, f.instances[limited], limit)
	})
}

// TestLimitedServiceRefusesAtOnce guards against requests that wait, or are sent, although all
// back ends of their service get as much as they take.
func TestLimitedServiceRefusesAtOnce(t *testing.T) {
	const limit = 1
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		limited := f.instanceIDs("desk", "")
		f.setLimits(limit, limited...)
		stop := f.load(t, 50*time.Millisecond, nil, booking)
		time.Sleep(8 * time.Second)
		stop()
		for range 20 {
			began := time.Now()
			got := f.send(t.Context(), 0, booking())
			if got.status != http.StatusOK && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || time.Since(began) > 50*time.Millisecond) {
				t.Errorf("status %d, Retry-After %q after %v", got.status, got.header.Get("Retry-After"), time.Since(began))
			}
		}
		for _, id := range limited {
			checkLimit(t, id, f.instances[id], limit)
		}
	})
}

// TestLimitEnds guards against nodes that go on sparing a back end whose limit has ended.
func TestLimitEnds(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		limited := f.instanceIDs("desk", "")[0]
		f.setLimits(0.5, limited)
		stop := f.load(t, 20*time.Millisecond, nil, booking)
		defer stop()
		time.Sleep(8 * time.Second)
		f.instances[limited].SetFaults(emulator.InstanceFaults{})
		time.Sleep(8 * time.Second)
		before := f.instances[limited].Arrivals()
		time.Sleep(4 * time.Second)
		if got := f.instances[limited].Arrivals() - before; got < 40 {
			t.Errorf("%d of 200 requests in 4 s reached a back end without a limit", got)
		}
	})
}
