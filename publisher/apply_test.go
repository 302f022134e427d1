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

// settled waits until both tables are accepted in the platform's own objects.
func (f *fleet) settled(name string) publisher.TableStatus {
	var status publisher.TableStatus
	object, _ := f.platform.Object("tables", name)
	_ = json.Unmarshal(object.Status, &status)
	return status
}

func TestApplyIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.start()
		outcome := f.wantState(f.order[5].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		if outcome.Configuration != 1 || len(outcome.Reach.Held) != 3 {
			t.Fatalf("got %+v", outcome)
		}
		f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.everywhere(1) })
		outcome = f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.await("configuration 2 everywhere", 12*time.Second, func() bool { return f.everywhere(outcome.Configuration) })
		if state := f.settled("pools").State; state != publisher.TableAccepted {
			t.Errorf("pools table is %q", state)
		}
		f.checkMonotonic()
	})
}

func TestBreakingEditIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		refused := f.wantState(f.order[1].apply(routes("book", "nowhere"), nil), publisher.ApplyRefused)
		if !strings.Contains(refused.Reasons[0], "nowhere") {
			t.Errorf("reasons %q", refused.Reasons)
		}
		if note := f.settled("routes").RefusedApply; !strings.Contains(note, "nowhere") {
			t.Errorf("status notes %q", note)
		}
		// The same by a direct edit of the object.
		f.platform.Put("tables", "routes", []byte(`{"routes":[{"name":"book","pool":"nowhere","rank":"urgent"}]}`))
		f.await("the direct edit is refused", 30*time.Second, func() bool {
			status := f.settled("routes")
			return status.State == publisher.TableRefused && strings.Contains(status.Reason, "nowhere")
		})
		if number := f.order[0].Snapshot().Number; number != 1 {
			t.Errorf("configuration %d in force", number)
		}
		// An edit of the other table goes through meanwhile, and a mend after it.
		f.wantState(f.order[1].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.platform.Put("tables", "routes", []byte(`{"routes":[{"name":"mended","pool":"desk","rank":"lesser"}]}`))
		f.await("the mend is in force", 12*time.Second, func() bool {
			s := f.order[3].Snapshot()
			return s.Routes.Routes[0].Name == "mended" && len(s.Pools.Pools[0].Members) == 2
		})
		f.checkMonotonic()
	})
}

// TestRacingOperators: of edits made from one content, one wins and each loser
// is told the winner.
func TestRacingOperators(t *testing.T) {
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

// TestEditsOfBothTablesRace: edits of different tables both come into force,
// whichever snapshot is first.
func TestEditsOfBothTablesRace(t *testing.T) {
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

// TestStoreFaultsDuringApply: whatever answer is lost or late, the outcome told
// agrees with the store's own state.
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
				f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.everywhere(1) })
				f.platform.SetFaults(fault)
				outcome := f.order[1].apply(nil, pools("a", "b"))
				f.platform.SetFaults(emulator.PlatformFaults{})
				f.checkAgainstStore(outcome)
			})
		})
	}
}

// checkAgainstStore compares an outcome with what the platform holds.
func (f *fleet) checkAgainstStore(outcome publisher.ApplyOutcome) {
	f.t.Helper()
	object, _ := f.platform.Object("tables", "pools")
	edited := strings.Contains(string(object.Spec), `"b"`)
	f.t.Logf("outcome %s, edit stored: %v", outcome.State, edited)
	switch outcome.State {
	case publisher.ApplyAccepted:
		if !edited || f.stored() < outcome.Configuration {
			f.t.Errorf("accepted %d, stored %d", outcome.Configuration, f.stored())
		}
		f.await("accepted everywhere", 12*time.Second, func() bool { return f.everywhere(outcome.Configuration) })
	case publisher.ApplyNotRun, publisher.ApplyRefused, publisher.ApplyRaced:
		// A half that was written is taken back.
		f.await("an edit told as "+string(outcome.State)+" is not stored", 2*time.Minute, func() bool {
			object, _ = f.platform.Object("tables", "pools")
			return !strings.Contains(string(object.Spec), `"b"`)
		})
		if f.stored() != 1 {
			f.t.Errorf("configuration %d after an edit told as %s", f.stored(), outcome.State)
		}
	case publisher.ApplyUnknown:
		f.await("an unknown edit settles", 2*time.Minute, func() bool {
			return f.settled("pools").State == publisher.TableAccepted &&
				f.settled("routes").State == publisher.TableAccepted && f.everywhere(f.stored())
		})
	}
	f.checkMonotonic()
}

// stored is the number in the platform's own object.
func (f *fleet) stored() identifier.Configuration {
	var spec struct {
		Number identifier.Configuration `json:"number"`
	}
	object, _ := f.platform.Object("snapshots", "accepted")
	_ = json.Unmarshal(object.Spec, &spec)
	return spec.Number
}

// interposer runs something between two reads of the store.
type interposer struct {
	storer.Store
	// reads counts down to the read before which between runs once.
	reads   atomic.Int32
	between func()
}

func (i *interposer) Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error) {
	i.step()
	return i.Store.Get(ctx, kind, name)
}

func (i *interposer) List(ctx context.Context, kind storer.Kind) (storer.Listing, error) {
	i.step()
	return i.Store.List(ctx, kind)
}

func (i *interposer) step() {
	if i.reads.Add(-1) == 0 {
		i.between()
	}
}

// TestEditBetweenReads: an edit of one table is accepted while an edit of the
// other has read half of what it builds on. Both are in force in the end.
func TestEditBetweenReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		store := &interposer{Store: f.store}
		f.store = store
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		time.Sleep(10 * time.Second)
		store.between = func() {
			f.wantState(f.order[1].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		}
		store.reads.Store(2)
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
