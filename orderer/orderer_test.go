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

// fakeEngine is an engine with its own counts.
type fakeEngine struct {
	state orderer.State
	// goal is what the engine is loading until loaded.
	goal   orderer.Order
	loaded time.Time
	checks bool
	fence  identifier.Fence
	// orders are those carried out; roleWhileRunning counts role changes that
	// came while requests ran.
	orders []orderer.Order
	// arrived holds when each of orders came.
	arrived          []time.Time
	roleWhileRunning int
}

// firstOf returns when the first order of a version came.
func (e *fakeEngine) firstOf(version string) time.Time {
	for i, order := range e.orders {
		if order.Version == version {
			return e.arrived[i]
		}
	}
	return time.Time{}
}

// fakeFleet is all engines and the way to them. It implements orderer.Engines
// through senders.
type fakeFleet struct {
	mutex    sync.Mutex
	engines  map[identifier.Member]*fakeEngine
	loadTime time.Duration
	// mostLoads is the largest number of loads at once.
	mostLoads int
	// loseAnswers and loseOrders count the next orders whose answer, or which
	// themselves, are lost.
	loseAnswers, loseOrders int
}

// sender is one node's way to the engines, which a test can pause.
type sender struct {
	fleet *fakeFleet
	// paused holds orders between their sending and their arrival.
	paused chan struct{}
}

func (s *sender) pause(until chan struct{}) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.paused = until
}

func (s *sender) Order(ctx context.Context, member tabulator.Member, order orderer.Order) error {
	f := s.fleet
	f.mutex.Lock()
	paused := s.paused
	f.mutex.Unlock()
	if paused != nil {
		<-paused
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.loseOrders > 0 {
		f.loseOrders--
		return errors.New("lost")
	}
	e := f.engines[member.Name]
	f.settle()
	if e.checks && order.Fence < e.fence {
		return orderer.Fenced.New("fence %d is older than %d", order.Fence, e.fence)
	}
	e.fence = max(e.fence, order.Fence)
	if order.Role != e.state.Role && e.state.Running > 0 {
		e.roleWhileRunning++
	}
	e.orders, e.arrived = append(e.orders, order), append(e.arrived, time.Now())
	e.state.Role = order.Role
	if order.Model != "" && (order.Model != e.state.Model || order.Version != e.state.Version) {
		e.goal, e.loaded, e.state.Loading = order, time.Now().Add(f.loadTime), true
	}
	f.settle()
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return errors.New("answer lost")
	}
	return ctx.Err()
}

// settle ends the loads whose time has come and counts the others.
func (f *fakeFleet) settle() {
	loads := 0
	for _, e := range f.engines {
		if e.state.Loading && !time.Now().Before(e.loaded) {
			e.state.Loading = false
			e.state.Model, e.state.Adapter, e.state.Version = e.goal.Model, e.goal.Adapter, e.goal.Version
		}
		if e.state.Loading {
			loads++
		}
	}
	f.mostLoads = max(f.mostLoads, loads)
}

func (s *sender) State(_ context.Context, member tabulator.Member) (orderer.State, error) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.fleet.settle()
	return s.fleet.engines[member.Name].state, nil
}

// platformTransport calls the platform in this process; a lost answer is an error.
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

// scene is two nodes, of which one at a time should send orders.
type scene struct {
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

func newScene(t *testing.T, engines int, checks bool) *scene {
	s := &scene{
		t: t, platform: emulator.NewPlatform(),
		fleet:    &fakeFleet{engines: map[identifier.Member]*fakeEngine{}, loadTime: 40 * time.Second},
		owner:    map[identifier.Node]identifier.Node{"a": "a", "b": "a"},
		senders:  map[identifier.Node]*sender{},
		orderers: map[identifier.Node]*orderer.Orderer{}, stops: map[identifier.Node]func(){},
	}
	for i := range engines {
		name := identifier.Member(fmt.Sprintf("e%02d", i))
		s.fleet.engines[name] = &fakeEngine{checks: checks, state: orderer.State{Role: identifier.Decode}}
	}
	s.want("1", identifier.Decode)
	return s
}

// want puts a table in force that has all engines at a version and a role.
func (s *scene) want(version string, role identifier.Role) {
	pool := tabulator.Pool{Name: "p", Kind: tabulator.Models}
	for name, e := range s.fleet.engines {
		pool.Members = append(pool.Members, tabulator.Member{
			Name: name, Address: "127.0.0.1:1", Role: role, Model: "m", Version: version, ChecksFencing: e.checks,
		})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = &tabulator.Snapshot{Pools: tabulator.Pools{ConcurrentLoads: 2, Pools: []tabulator.Pool{pool}}}
}

// own makes a node see an owner of the orders.
func (s *scene) own(node, owner identifier.Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owner[node] = owner
}

func (s *scene) start(node identifier.Node) {
	s.senders[node] = &sender{fleet: s.fleet}
	store := storer.NewClient(storer.ClientOptions{
		URL: "http://platform", Transport: platformTransport{s.platform}, CallTimeout: time.Second,
	})
	o := orderer.New(orderer.Options{
		Self: node, Store: store, Engines: s.senders[node],
		Snapshot: func() *tabulator.Snapshot { s.mutex.Lock(); defer s.mutex.Unlock(); return s.snapshot },
		View: func() *assigner.View {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			owner := assigner.Member{Node: s.owner[node], State: assigner.Alive}
			return &assigner.View{Self: owner, Members: []assigner.Member{owner}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = o.Run(ctx); close(ended) }()
	s.orderers[node], s.stops[node] = o, func() { cancel(); <-ended }
}

func (s *scene) stop() {
	for _, stop := range s.stops {
		stop()
	}
	s.platform.Wait()
}

// await advances time until all engines are at a version and a role.
func (s *scene) await(version string, role identifier.Role, limit time.Duration) {
	s.t.Helper()
	began := time.Now()
	for !s.level(version, role) {
		if time.Since(began) > limit {
			s.t.Fatalf("engines are not at version %s, %s within %v", version, role, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Logf("version %s, %s after %v", version, role, time.Since(began))
}

func (s *scene) level(version string, role identifier.Role) bool {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.fleet.settle()
	for _, e := range s.fleet.engines {
		if e.state.Version != version || e.state.Role != role || e.state.Loading {
			return false
		}
	}
	return true
}

func TestEnginesComeLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 6, true)
		s.start("a")
		s.start("b")
		s.await("1", identifier.Decode, 5*time.Minute)
		time.Sleep(time.Minute)
		writes := s.platform.Counts().Writes
		time.Sleep(10 * time.Minute)
		t.Logf("level: %.2f lease writes a second", float64(s.platform.Counts().Writes-writes)/600)
		s.stop()
		if s.fleet.mostLoads > 2 {
			t.Errorf("%d loads at once, bound 2", s.fleet.mostLoads)
		}
		for name, e := range s.fleet.engines {
			if len(e.orders) != 1 {
				t.Errorf("engine %s got %d orders", name, len(e.orders))
			}
		}
	})
}

func TestRoleChangeDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 1, true)
		s.start("a")
		s.await("1", identifier.Decode, 2*time.Minute)
		engine := s.fleet.engines["e00"]
		running := func(n int) {
			s.fleet.mutex.Lock()
			defer s.fleet.mutex.Unlock()
			engine.state.Running = n
		}
		running(3)
		s.want("1", identifier.Prefill)
		time.Sleep(5 * time.Minute)
		if s.level("1", identifier.Prefill) {
			t.Error("role changed under running requests")
		}
		if phase := s.orderers["a"].Progress()[0].Phase; phase != orderer.PhaseDraining {
			t.Errorf("phase %s", phase)
		}
		running(0)
		s.await("1", identifier.Prefill, time.Minute)
		s.stop()
		if engine.roleWhileRunning != 0 {
			t.Errorf("%d role changes under running requests", engine.roleWhileRunning)
		}
	})
}

func TestLostOrdersAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 3, false)
		s.fleet.loseOrders, s.fleet.loseAnswers = 2, 3
		s.start("a")
		s.await("1", identifier.Decode, 10*time.Minute)
		s.stop()
	})
}

// TestPausedSender: node a's order is under way when its process stops; b takes
// over and orders otherwise; then a's order arrives. Engines end at what the
// table says, whether they check fencing numbers or not, and b has waited: for
// a's lease and the clock margin, and where the engine does not check, for the
// longest order and the margin as well.
func TestPausedSender(t *testing.T) {
	for checks, waitOut := range map[bool]time.Duration{true: 16 * time.Second, false: 20 * time.Second} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, 2, checks)
				s.start("a")
				s.await("1", identifier.Decode, 5*time.Minute)
				pause := make(chan struct{})
				s.senders["a"].pause(pause)
				s.want("2", identifier.Decode)
				time.Sleep(2 * time.Minute)
				s.own("b", "b")
				s.start("b")
				s.want("3", identifier.Decode)
				began := time.Now()
				s.await("3", identifier.Decode, 10*time.Minute)
				s.own("a", "b")
				close(pause)
				time.Sleep(5 * time.Minute)
				s.await("3", identifier.Decode, 10*time.Minute)
				s.stop()
				for name, e := range s.fleet.engines {
					if waited := e.firstOf("3").Sub(began); waited < waitOut {
						t.Errorf("engine %s got the new sender's order after %v, want %v", name, waited, waitOut)
					}
					for _, order := range e.orders {
						if checks && order.Version == "2" {
							t.Errorf("engine %s carried out the late order", name)
						}
					}
				}
			})
		})
	}
}

// TestCleanHandOver: a sender that stops leaves the lease free, and the next
// one goes on at once.
func TestCleanHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 2, false)
		s.start("a")
		s.await("1", identifier.Decode, 5*time.Minute)
		s.start("b")
		s.own("a", "b")
		s.own("b", "b")
		s.want("2", identifier.Decode)
		s.await("2", identifier.Decode, 50*time.Second)
		s.stop()
	})
}

// TestTwoOwners: split views let both nodes try; the store's lease decides, and
// no engine gets an order of an older fence after one of a newer.
func TestTwoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 4, false)
		s.own("b", "b")
		s.start("a")
		s.start("b")
		for version := range 4 {
			s.want(fmt.Sprint(version+1), identifier.Decode)
			s.platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 2})
			s.await(fmt.Sprint(version+1), identifier.Decode, 10*time.Minute)
		}
		s.stop()
		for name, e := range s.fleet.engines {
			for i := 1; i < len(e.orders); i++ {
				if e.orders[i].Fence < e.orders[i-1].Fence {
					t.Errorf("engine %s: fence %d after %d", name, e.orders[i].Fence, e.orders[i-1].Fence)
				}
			}
		}
	})
}

// TestStoreOut: during an outage nobody orders beyond the lease; afterwards the
// orders go on.
func TestStoreOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 2, false)
		s.start("a")
		s.await("1", identifier.Decode, 5*time.Minute)
		s.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
		time.Sleep(20 * time.Second)
		s.want("2", identifier.Decode)
		time.Sleep(10 * time.Minute)
		if s.level("2", identifier.Decode) {
			t.Error("orders went out without a lease")
		}
		s.platform.SetFaults(emulator.PlatformFaults{})
		s.await("2", identifier.Decode, 5*time.Minute)
		s.stop()
	})
}

// TestStoreRestored: the restored lease has an older fencing number than the
// engines have seen.
func TestStoreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t, 2, true)
		s.start("a")
		backup := s.platform.Backup()
		s.await("1", identifier.Decode, 5*time.Minute)
		s.fleet.mutex.Lock()
		for _, e := range s.fleet.engines {
			e.fence += 1000
		}
		s.fleet.mutex.Unlock()
		s.platform.Restore(backup)
		s.want("2", identifier.Decode)
		s.await("2", identifier.Decode, 10*time.Minute)
		s.stop()
	})
}
