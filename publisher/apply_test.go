package publisher_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/storer"
)

func (f *fleet) tableStatus(name string) publisher.TableStatus {
	var status publisher.TableStatus
	object, _ := f.platform.Object("tables", name)
	_ = json.Unmarshal(object.Status, &status)
	return status
}

func TestApplyReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.start()
		outcome := f.wantState(f.order[5].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		if outcome.Configuration != 1 || len(outcome.Reach.Reached) != 3 {
			t.Fatalf("got %+v", outcome)
		}
		f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.activeEverywhere(1) })
		outcome = f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.await("configuration 2 everywhere", 12*time.Second, func() bool { return f.activeEverywhere(outcome.Configuration) })
		if state := f.tableStatus("pools").State; state != publisher.TableAccepted {
			t.Errorf("pools table is %q", state)
		}
		f.checkMonotonic()
	})
}

func TestInvalidEditIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		refused := f.wantState(f.order[1].apply(routes("book", "nowhere"), nil), publisher.ApplyRefused)
		if !strings.Contains(refused.Reasons[0], "nowhere") {
			t.Errorf("reasons %q", refused.Reasons)
		}
		if note := f.tableStatus("routes").RefusedApply; !strings.Contains(note, "nowhere") {
			t.Errorf("status notes %q", note)
		}
		// A direct edit of the object is refused too.
		f.platform.Put("tables", "routes", []byte(`{"routes":[{"name":"book","pool":"nowhere","rank":"urgent"}]}`))
		f.await("the direct edit is refused", 30*time.Second, func() bool {
			status := f.tableStatus("routes")
			return status.State == publisher.TableRefused && strings.Contains(status.Reason, "nowhere")
		})
		if number := f.order[0].Snapshot().Number; number != 1 {
			t.Errorf("configuration %d is active", number)
		}
		// An edit of the pools table is still accepted, and then corrected routes.
		f.wantState(f.order[1].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.platform.Put("tables", "routes", []byte(`{"routes":[{"name":"mended","pool":"desk","rank":"lesser"}]}`))
		f.await("the corrected routes are active", 12*time.Second, func() bool {
			s := f.order[3].Snapshot()
			return s.Routes.Routes[0].Name == "mended" && len(s.Pools.Pools[0].Members) == 2
		})
		f.checkMonotonic()
	})
}

// TestConcurrentEditsOfOneTable tests that one of several edits based on the same
// content is accepted and that each other outcome names the winner.
func TestConcurrentEditsOfOneTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		tables, err := f.order[0].Tables(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		outcomes := make(chan publisher.ApplyOutcome, len(f.order))
		for _, node := range f.order {
			go func() {
				outcomes <- node.Apply(f.ctx, publisher.ApplyRequest{
					Pools: pools("a", string(node.member.Node)), SeenPools: &tables.Pools.Content,
				})
			}()
		}
		accepted, raced := 0, 0
		for range f.order {
			switch outcome := <-outcomes; outcome.State {
			case publisher.ApplyAccepted:
				accepted++
			case publisher.ApplyRaced:
				raced++
				if !strings.Contains(outcome.Winner, "pools table") {
					t.Errorf("winner %q", outcome.Winner)
				}
			default:
				t.Errorf("got %+v", outcome)
			}
		}
		if accepted != 1 || raced != len(f.order)-1 {
			t.Errorf("%d accepted, %d raced", accepted, raced)
		}
	})
}

// TestConcurrentEditsOfDifferentTables tests that an edit is not lost when an
// edit of the other table publishes its snapshot first.
func TestConcurrentEditsOfDifferentTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		first := make(chan publisher.ApplyOutcome)
		go func() { first <- f.order[1].apply(routes("other", "desk"), nil) }()
		f.wantState(f.order[4].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.wantState(<-first, publisher.ApplyAccepted)
		f.await("both edits everywhere", 12*time.Second, func() bool {
			for _, node := range f.order {
				s := node.Snapshot()
				if s == nil || s.Routes.Routes[0].Name != "other" || len(s.Pools.Pools[0].Members) != 2 {
					return false
				}
			}
			return true
		})
		f.checkMonotonic()
	})
}

// TestStoreFaultsDuringApply tests that the outcome of an Apply matches the
// store's content even if the store's answers are lost, late or stale.
func TestStoreFaultsDuringApply(t *testing.T) {
	faults := map[string]emulator.PlatformFaults{
		"first answer lost":  {LoseAnswers: 1},
		"three answers lost": {LoseAnswers: 3},
		"late answers":       {LateAnswers: 3, Late: 3e9},
		"slow":               {Slow: 3e8},
		"too slow":           {Slow: 2e9},
		"refusing":           {Down: emulator.DownRefusing},
		"cutting":            {Down: emulator.DownCutting},
		"hanging":            {Down: emulator.DownHanging},
		"stale reads":        {Stale: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 2)
				f.start()
				f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
				f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.activeEverywhere(1) })
				f.platform.SetFaults(fault)
				outcome := f.order[1].apply(nil, pools("a", "b"))
				f.platform.SetFaults(emulator.PlatformFaults{})
				f.checkAgainstStore(outcome)
			})
		})
	}
}

// checkAgainstStore compares an outcome with the platform's objects.
func (f *fleet) checkAgainstStore(outcome publisher.ApplyOutcome) {
	f.t.Helper()
	object, _ := f.platform.Object("tables", "pools")
	edited := strings.Contains(string(object.Spec), `"b"`)
	f.t.Logf("outcome %s, edit stored: %v", outcome.State, edited)
	switch outcome.State {
	case publisher.ApplyAccepted:
		if !edited || f.storedNumber() < outcome.Configuration {
			f.t.Errorf("accepted %d, stored %d", outcome.Configuration, f.storedNumber())
		}
		f.await("accepted everywhere", 12*time.Second, func() bool { return f.activeEverywhere(outcome.Configuration) })
	case publisher.ApplyNotRun, publisher.ApplyRefused, publisher.ApplyRaced:
		// An edit of both tables may have written one, which is then restored.
		f.await("an edit with outcome "+string(outcome.State)+" is not stored", 2*time.Minute, func() bool {
			object, _ = f.platform.Object("tables", "pools")
			return !strings.Contains(string(object.Spec), `"b"`)
		})
		if f.storedNumber() != 1 {
			f.t.Errorf("configuration %d after an edit with outcome %s", f.storedNumber(), outcome.State)
		}
	case publisher.ApplyUnknown:
		f.await("both tables are accepted after an unknown outcome", 2*time.Minute, func() bool {
			return f.tableStatus("pools").State == publisher.TableAccepted &&
				f.tableStatus("routes").State == publisher.TableAccepted && f.activeEverywhere(f.storedNumber())
		})
	}
	f.checkMonotonic()
}

// storedNumber returns the number of the stored snapshot.
func (f *fleet) storedNumber() identifier.Configuration {
	var spec struct {
		Number identifier.Configuration `json:"number"`
	}
	object, _ := f.platform.Object("snapshots", "accepted")
	_ = json.Unmarshal(object.Spec, &spec)
	return spec.Number
}

// hookedStore calls a hook before a chosen read of the store.
type hookedStore struct {
	storer.Store
	// readsUntilHook counts down on each read; at zero the hook runs.
	readsUntilHook atomic.Int32
	hook           func()
}

func (s *hookedStore) Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error) {
	s.countRead()
	return s.Store.Get(ctx, kind, name)
}

func (s *hookedStore) List(ctx context.Context, kind storer.Kind) (storer.Listing, error) {
	s.countRead()
	return s.Store.List(ctx, kind)
}

func (s *hookedStore) countRead() {
	if s.readsUntilHook.Add(-1) == 0 {
		s.hook()
	}
}

// TestEditBetweenReads tests that no edit is lost when an edit of one table is
// accepted between the snapshot read and the table read of an edit of the other.
func TestEditBetweenReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		store := &hookedStore{Store: f.store}
		f.store = store
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		time.Sleep(10 * time.Second)
		store.hook = func() {
			f.wantState(f.order[1].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		}
		store.readsUntilHook.Store(2)
		f.wantState(f.order[0].apply(routes("other", "desk"), nil), publisher.ApplyAccepted)
		f.await("both edits everywhere", 12*time.Second, func() bool {
			for _, node := range f.order {
				s := node.Snapshot()
				if s.Routes.Routes[0].Name != "other" || len(s.Pools.Pools[0].Members) != 2 {
					return false
				}
			}
			return true
		})
	})
}
