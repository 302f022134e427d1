package orderer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/orderer"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// fakeEngine is an engine that records the orders it carries out.
type fakeEngine struct {
	state orderer.State
	// loadingOrder is the order whose weights the engine loads until loadDoneAt.
	loadingOrder  orderer.Order
	loadDoneAt    time.Time
	checksFencing bool
	largestFence  identifier.Fence
	// orders are the orders carried out.
	orders []orderer.Order
	// arrivedAt is when each of the orders arrived.
	arrivedAt               []time.Time
	roleChangesWhileRunning int
}

// firstArrival returns when the first order for a version arrived, or zero.
func (e *fakeEngine) firstArrival(version string) time.Time {
	for i, order := range e.orders {
		if order.Version == version {
			return e.arrivedAt[i]
		}
	}
	return time.Time{}
}

// fakeFleet is the state of all engines. Each node reaches them through its own sender.
type fakeFleet struct {
	mutex    sync.Mutex
	engines  map[identifier.Member]*fakeEngine
	loadTime time.Duration
	// peakLoads is the largest number of concurrent loads.
	peakLoads int
	// answersToLose is the number of next orders that are carried out but answered with
	// an error; ordersToLose is the number of next orders that never arrive.
	answersToLose, ordersToLose int
}

// sender implements orderer.Engines for one node. A test can pause it.
type sender struct {
	fleet *fakeFleet
	// resume delays orders in flight until it is closed; nil means no delay.
	resume chan struct{}
}

func (s *sender) pauseUntil(resume chan struct{}) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.resume = resume
}

func (s *sender) SendOrder(ctx context.Context, member tabulator.Member, order orderer.Order) error {
	f := s.fleet
	f.mutex.Lock()
	resume := s.resume
	f.mutex.Unlock()
	if resume != nil {
		<-resume
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.ordersToLose > 0 {
		f.ordersToLose--
		return errors.New("lost")
	}
	e := f.engines[member.Name]
	f.finishLoads()
	if e.checksFencing && order.Fence < e.largestFence {
		return orderer.Fenced.New("fence %d is older than %d", order.Fence, e.largestFence)
	}
	e.largestFence = max(e.largestFence, order.Fence)
	if order.Role != e.state.Role && e.state.Running > 0 {
		e.roleChangesWhileRunning++
	}
	e.orders, e.arrivedAt = append(e.orders, order), append(e.arrivedAt, time.Now())
	e.state.Role = order.Role
	if order.Model != "" && (order.Model != e.state.Model || order.Version != e.state.Version) {
		e.loadingOrder, e.loadDoneAt, e.state.Loading = order, time.Now().Add(f.loadTime), true
	}
	f.finishLoads()
	if f.answersToLose > 0 {
		f.answersToLose--
		return errors.New("answer lost")
	}
	return ctx.Err()
}

// finishLoads ends the loads that are done and updates peakLoads. The caller must hold
// the mutex.
func (f *fakeFleet) finishLoads() {
	loads := 0
	for _, e := range f.engines {
		if e.state.Loading && !time.Now().Before(e.loadDoneAt) {
			e.state.Loading = false
			e.state.Model, e.state.Adapter, e.state.Version = e.loadingOrder.Model, e.loadingOrder.Adapter, e.loadingOrder.Version
		}
		if e.state.Loading {
			loads++
		}
	}
	f.peakLoads = max(f.peakLoads, loads)
}

func (s *sender) State(_ context.Context, member tabulator.Member) (orderer.State, error) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.fleet.finishLoads()
	return s.fleet.engines[member.Name].state, nil
}

// platformTransport calls the platform in this process. A lost answer is an error.
type platformTransport struct{ platform *emulator.Platform }

func (t platformTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	recorder := httptest.NewRecorder()
	t.platform.ServeHTTP(recorder, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}

// testCluster has two nodes. At any time at most one of them is allowed to send orders.
type testCluster struct {
	t        *testing.T
	platform *emulator.Platform
	fleet    *fakeFleet
	mutex    sync.Mutex
	snapshot *tabulator.Snapshot
	owner    map[identifier.Node]identifier.Node
	senders  map[identifier.Node]*sender
	orderers map[identifier.Node]*orderer.Orderer
	stops    map[identifier.Node]func()
}

func newTestCluster(t *testing.T, engines int, checksFencing bool) *testCluster {
	c := &testCluster{
		t: t, platform: emulator.NewPlatform(),
		fleet:    &fakeFleet{engines: map[identifier.Member]*fakeEngine{}, loadTime: 40 * time.Second},
		owner:    map[identifier.Node]identifier.Node{"a": "a", "b": "a"},
		senders:  map[identifier.Node]*sender{},
		orderers: map[identifier.Node]*orderer.Orderer{}, stops: map[identifier.Node]func(){},
	}
	for i := range engines {
		name := identifier.Member(fmt.Sprintf("e%02d", i))
		c.fleet.engines[name] = &fakeEngine{checksFencing: checksFencing, state: orderer.State{Role: identifier.Decode}}
	}
	c.setTable("1", identifier.Decode)
	return c
}

// setTable publishes a table with all engines at a version and a role.
func (c *testCluster) setTable(version string, role identifier.Role) {
	pool := tabulator.Pool{Name: "p", Kind: tabulator.Models}
	for name, e := range c.fleet.engines {
		pool.Members = append(pool.Members, tabulator.Member{
			Name: name, Address: "127.0.0.1:1", Role: role, Model: "m", Version: version, ChecksFencing: e.checksFencing,
		})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.snapshot = &tabulator.Snapshot{Pools: tabulator.Pools{ConcurrentLoads: 2, Pools: []tabulator.Pool{pool}}}
}

// setOwner makes a node see owner as the owner of the orders.
func (c *testCluster) setOwner(node, owner identifier.Node) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owner[node] = owner
}

func (c *testCluster) start(node identifier.Node) {
	c.senders[node] = &sender{fleet: c.fleet}
	store := storer.NewClient(storer.ClientOptions{
		URL: "http://platform", Transport: platformTransport{c.platform}, CallTimeout: time.Second,
	})
	o := orderer.New(orderer.Options{
		Self: node, Store: store, Engines: c.senders[node],
		Snapshot: func() *tabulator.Snapshot { c.mutex.Lock(); defer c.mutex.Unlock(); return c.snapshot },
		View: func() *assigner.View {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			owner := assigner.Member{Node: c.owner[node], State: assigner.Alive}
			return &assigner.View{Self: owner, Members: []assigner.Member{owner}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = o.Run(ctx); close(ended) }()
	c.orderers[node], c.stops[node] = o, func() { cancel(); <-ended }
}

func (c *testCluster) stop() {
	for _, stop := range c.stops {
		stop()
	}
	c.platform.Wait()
}

// waitUntilAllAt fails the test unless all engines reach a version and a role in time.
func (c *testCluster) waitUntilAllAt(version string, role identifier.Role, limit time.Duration) {
	c.t.Helper()
	began := time.Now()
	for !c.allAt(version, role) {
		if time.Since(began) > limit {
			c.t.Fatalf("engines are not at version %s, %s within %v", version, role, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Logf("version %s, %s after %v", version, role, time.Since(began))
}

func (c *testCluster) allAt(version string, role identifier.Role) bool {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	c.fleet.finishLoads()
	for _, e := range c.fleet.engines {
		if e.state.Version != version || e.state.Role != role || e.state.Loading {
			return false
		}
	}
	return true
}

func TestEnginesReachTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 6, true)
		c.start("a")
		c.start("b")
		c.waitUntilAllAt("1", identifier.Decode, 5*time.Minute)
		time.Sleep(time.Minute)
		writes := c.platform.Counts().Writes
		time.Sleep(10 * time.Minute)
		t.Logf("engines unchanged: %.2f lease writes a second", float64(c.platform.Counts().Writes-writes)/600)
		c.stop()
		if c.fleet.peakLoads > 2 {
			t.Errorf("%d loads at once, bound 2", c.fleet.peakLoads)
		}
		for name, e := range c.fleet.engines {
			if len(e.orders) != 1 {
				t.Errorf("engine %s got %d orders", name, len(e.orders))
			}
		}
	})
}

func TestRoleChangeDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, true)
		c.start("a")
		c.waitUntilAllAt("1", identifier.Decode, 2*time.Minute)
		engine := c.fleet.engines["e00"]
		setRunning := func(n int) {
			c.fleet.mutex.Lock()
			defer c.fleet.mutex.Unlock()
			engine.state.Running = n
		}
		setRunning(3)
		c.setTable("1", identifier.Prefill)
		time.Sleep(5 * time.Minute)
		if c.allAt("1", identifier.Prefill) {
			t.Error("role changed under running requests")
		}
		if phase := c.orderers["a"].Progress()[0].Phase; phase != orderer.PhaseDraining {
			t.Errorf("phase %s", phase)
		}
		setRunning(0)
		c.waitUntilAllAt("1", identifier.Prefill, time.Minute)
		c.stop()
		if engine.roleChangesWhileRunning != 0 {
			t.Errorf("%d role changes under running requests", engine.roleChangesWhileRunning)
		}
	})
}

func TestLostOrdersAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 3, false)
		c.fleet.ordersToLose, c.fleet.answersToLose = 2, 3
		c.start("a")
		c.waitUntilAllAt("1", identifier.Decode, 10*time.Minute)
		c.stop()
	})
}

// TestPausedSender pauses node a's process while its order is in flight. Node b takes
// over and sends a different order, then a's order arrives. All engines must end at the
// table's version, whether they check fencing numbers or not. Node b must first wait
// for a's lease and the clock margin (16 s), and for an engine that does not check,
// also for the longest order and another margin (20 s).
func TestPausedSender(t *testing.T) {
	for checksFencing, minWait := range map[bool]time.Duration{true: 16 * time.Second, false: 20 * time.Second} {
		t.Run(fmt.Sprintf("checks %v", checksFencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 2, checksFencing)
				c.start("a")
				c.waitUntilAllAt("1", identifier.Decode, 5*time.Minute)
				resume := make(chan struct{})
				c.senders["a"].pauseUntil(resume)
				c.setTable("2", identifier.Decode)
				time.Sleep(2 * time.Minute)
				c.setOwner("b", "b")
				c.start("b")
				c.setTable("3", identifier.Decode)
				began := time.Now()
				c.waitUntilAllAt("3", identifier.Decode, 10*time.Minute)
				c.setOwner("a", "b")
				close(resume)
				time.Sleep(5 * time.Minute)
				c.waitUntilAllAt("3", identifier.Decode, 10*time.Minute)
				c.stop()
				for name, e := range c.fleet.engines {
					if waited := e.firstArrival("3").Sub(began); waited < minWait {
						t.Errorf("engine %s got the new sender's order after %v, want %v", name, waited, minWait)
					}
					for _, order := range e.orders {
						if checksFencing && order.Version == "2" {
							t.Errorf("engine %s carried out the late order", name)
						}
					}
				}
			})
		})
	}
}

// TestReleasedLeaseIsTakenAtOnce checks that a sender that stops releases the lease, so
// that the next sender need not wait until it expires.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, false)
		c.start("a")
		c.waitUntilAllAt("1", identifier.Decode, 5*time.Minute)
		c.start("b")
		c.setOwner("a", "b")
		c.setOwner("b", "b")
		c.setTable("2", identifier.Decode)
		c.waitUntilAllAt("2", identifier.Decode, 50*time.Second)
		c.stop()
	})
}

// TestConflictingOwners makes both nodes owners in their own view. The lease must keep
// an engine from getting an order with a smaller fencing number than an earlier one.
func TestConflictingOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4, false)
		c.setOwner("b", "b")
		c.start("a")
		c.start("b")
		for version := range 4 {
			c.setTable(fmt.Sprint(version+1), identifier.Decode)
			c.platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 2})
			c.waitUntilAllAt(fmt.Sprint(version+1), identifier.Decode, 10*time.Minute)
		}
		c.stop()
		for name, e := range c.fleet.engines {
			for i := 1; i < len(e.orders); i++ {
				if e.orders[i].Fence < e.orders[i-1].Fence {
					t.Errorf("engine %s: fence %d after %d", name, e.orders[i].Fence, e.orders[i-1].Fence)
				}
			}
		}
	})
}

// TestStoreOutage checks that no order is sent after the lease has expired during an
// outage of the store, and that orders resume after it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, false)
		c.start("a")
		c.waitUntilAllAt("1", identifier.Decode, 5*time.Minute)
		c.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
		time.Sleep(20 * time.Second)
		c.setTable("2", identifier.Decode)
		time.Sleep(10 * time.Minute)
		if c.allAt("2", identifier.Decode) {
			t.Error("orders went out without a lease")
		}
		c.platform.SetFaults(emulator.PlatformFaults{})
		c.waitUntilAllAt("2", identifier.Decode, 5*time.Minute)
		c.stop()
	})
}

// TestStoreRestoredFromBackup restores a lease whose fencing number is smaller than the
// engines have seen. The sender must raise it.
func TestStoreRestoredFromBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, true)
		c.start("a")
		backup := c.platform.Backup()
		c.waitUntilAllAt("1", identifier.Decode, 5*time.Minute)
		c.fleet.mutex.Lock()
		for _, e := range c.fleet.engines {
			e.largestFence += 1000
		}
		c.fleet.mutex.Unlock()
		c.platform.Restore(backup)
		c.setTable("2", identifier.Decode)
		c.waitUntilAllAt("2", identifier.Decode, 10*time.Minute)
		c.stop()
	})
}
