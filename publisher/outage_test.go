package publisher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/publisher"
)

// TestOutageAtEachStep: the store goes out after each write of an Apply, with
// the publisher killed or not, and comes back. Whatever was told stays true.
func TestOutageAtEachStep(t *testing.T) {
	const writes = 5
	modes := []emulator.DownMode{emulator.DownCutting, emulator.DownRefusing, emulator.DownHanging}
	if raceDetector {
		modes = modes[:1]
	}
	for step := 1; step <= writes; step++ {
		for _, mode := range modes {
			for _, lost := range []int{0, step} {
				for _, killed := range []bool{false, true} {
					name := fmt.Sprintf("after write %d, %s, %d answers lost, killed %v", step, mode, lost, killed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { outageAtStep(t, step, mode, lost, killed) })
					})
				}
			}
		}
	}
}

func outageAtStep(t *testing.T, step int, mode emulator.DownMode, lost int, killed bool) {
	f := newFleet(t, 2, 3)
	f.start()
	f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
	f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.everywhere(1) })
	f.platform.SetFaults(emulator.PlatformFaults{Down: mode, DownAfter: step, LoseAnswers: lost})
	outcome := f.order[1].apply(routes("other", "desk"), pools("a", "b"))
	if killed {
		f.order[1].kill()
	}
	if outcome.State == publisher.ApplyAccepted {
		f.await("accepted everywhere during the outage", 12*time.Second, func() bool {
			return f.everywhere(outcome.Configuration)
		})
		// All nodes but one restart with nothing; the store is still out.
		for _, node := range f.order[2:] {
			node.kill()
			node.start()
			f.await("the restarted node has the accepted configuration", 12*time.Second, func() bool {
				return f.everywhere(outcome.Configuration)
			})
		}
	}
	time.Sleep(time.Minute)
	f.platform.SetFaults(emulator.PlatformFaults{})
	if killed {
		f.order[1].start()
	}
	f.checkAgainstStore(outcome)
	time.Sleep(12 * time.Second)
	for _, node := range f.order {
		s := node.Snapshot()
		if s.Routes.Routes[0].Name == "other" != (len(s.Pools.Pools[0].Members) == 2) {
			t.Errorf("half an edit is in force: %+v", s)
		}
	}
	// A last edit goes through after all that.
	last := f.wantState(f.order[3].apply(nil, pools("z")), publisher.ApplyAccepted)
	f.await("the last edit everywhere", 12*time.Second, func() bool { return f.everywhere(last.Configuration) })
	f.checkMonotonic()
}

// TestLongOutage: edits before, every node replaced during the outage, edits
// refused as not run meanwhile, edits after. The store is not stormed when it
// comes back.
func TestLongOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		before := f.wantState(f.order[1].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
		for _, node := range f.order {
			node.kill()
			time.Sleep(30 * time.Second)
			node.start()
			f.await("the replaced node is level", 12*time.Second, func() bool { return f.everywhere(before.Configuration) })
		}
		f.wantState(f.order[2].apply(nil, pools("c")), publisher.ApplyNotRun)
		time.Sleep(20 * time.Minute)
		counts := f.platform.Counts()
		f.platform.SetFaults(emulator.PlatformFaults{})
		time.Sleep(10 * time.Second)
		back := f.platform.Counts()
		t.Logf("12 nodes, 10 s after the store came back: %d reads, %d watches", back.Reads-counts.Reads, back.Watches-counts.Watches)
		if calls := back.Reads + back.Watches - counts.Reads - counts.Watches; calls > 30 {
			t.Errorf("%d calls in the first 10 s", calls)
		}
		after := f.wantState(f.order[2].apply(nil, pools("c")), publisher.ApplyAccepted)
		if after.Configuration != before.Configuration+1 {
			t.Errorf("number %d after %d", after.Configuration, before.Configuration)
		}
		f.await("the edit after the outage everywhere", 12*time.Second, func() bool { return f.everywhere(after.Configuration) })
		f.checkMonotonic()
	})
}

// TestStoreRestoredOlder: the store comes back with less than the nodes hold;
// they keep what they have and write it back.
func TestStoreRestoredOlder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		backup := f.platform.Backup()
		f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		third := f.wantState(f.order[0].apply(routes("other", "desk"), nil), publisher.ApplyAccepted)
		f.platform.Restore(backup)
		f.await("the store is level again", time.Minute, func() bool { return f.stored() >= third.Configuration })
		f.await("everywhere", 12*time.Second, func() bool { return f.everywhere(f.stored()) })
		for _, node := range f.order {
			s := node.Snapshot()
			if s.Routes.Routes[0].Name != "other" || len(s.Pools.Pools[0].Members) != 2 {
				t.Errorf("node %s reverted: %+v", node.member.Node, s)
			}
		}
		last := f.wantState(f.order[3].apply(nil, pools("z")), publisher.ApplyAccepted)
		if last.Configuration <= third.Configuration {
			t.Errorf("number %d after %d", last.Configuration, third.Configuration)
		}
		f.checkMonotonic()
	})
}

// TestApplyAfterRestore: an edit is the first to see the older store.
func TestApplyAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		backup := f.platform.Backup()
		second := f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		f.platform.Restore(backup)
		third := f.wantState(f.order[1].apply(routes("other", "desk"), nil), publisher.ApplyAccepted)
		if third.Configuration <= second.Configuration {
			t.Errorf("number %d after %d", third.Configuration, second.Configuration)
		}
		f.await("everywhere", 12*time.Second, func() bool { return f.everywhere(third.Configuration) })
		if s := f.order[3].Snapshot(); len(s.Pools.Pools[0].Members) != 2 {
			t.Errorf("the second edit was lost: %+v", s)
		}
		f.checkMonotonic()
	})
}

// TestWatchFaults: direct edits come into force although the owner's watches
// lapse, expire, go silent or skip changes.
func TestWatchFaults(t *testing.T) {
	faults := map[string]emulator.PlatformFaults{
		"lapsing":  {Watches: emulator.WatchesLapse},
		"expiring": {Watches: emulator.WatchesExpire},
		"silent":   {Watches: emulator.WatchesSilent},
		"skipping": {SkipEvents: 3},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 4)
				f.start()
				f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
				time.Sleep(time.Minute)
				f.platform.SetFaults(fault)
				time.Sleep(time.Minute)
				f.platform.Put("tables", "routes", []byte(`{"routes":[{"name":"direct","pool":"desk","rank":"lesser"}]}`))
				began, counts := time.Now(), f.platform.Counts()
				f.await("the direct edit everywhere", 3*time.Minute, func() bool { return f.everywhere(2) })
				took := time.Since(began)
				time.Sleep(10 * time.Minute)
				now := f.platform.Counts()
				calls := now.Reads + now.Watches - counts.Reads - counts.Watches
				t.Logf("in force after %v; %d store calls in %v", took, calls, time.Since(began))
				// Five feeds, each backing off to 8 s on average, then a list and a
				// watch: 15 calls a minute each, and some before that.
				if limit := 5 * 20 * (time.Since(began).Minutes() + 1); float64(calls) > limit {
					t.Errorf("%d store calls, want at most %.0f", calls, limit)
				}
				f.checkMonotonic()
			})
		})
	}
}

// TestPublisherKilledBeforePush: the snapshot is in the store and its publisher
// dies before it could tell anyone.
func TestPublisherKilledBeforePush(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		time.Sleep(time.Minute)
		alone := f.order[2]
		f.setCut(func(from, _ *node) bool { return from == alone })
		outcome := f.wantState(alone.apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		alone.kill()
		t.Logf("told: %+v", outcome)
		f.await("everywhere by the watches", 12*time.Second, func() bool { return f.everywhere(outcome.Configuration) })
		f.checkMonotonic()
	})
}

// TestDataCentreCutAndBack: a data centre without the others and the store gets
// the configuration after the cut, and the operator is told it was not reached.
func TestDataCentreCutAndBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		time.Sleep(time.Minute)
		f.setCut(func(from, to *node) bool { return (from.member.DataCentre == "dc2") != (to.member.DataCentre == "dc2") })
		outcome := f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		if len(outcome.Reach.Unreached) != 1 || outcome.Reach.Unreached[0] != "dc2" {
			t.Errorf("reach %+v", outcome.Reach)
		}
		time.Sleep(time.Minute)
		f.setCut(nil)
		f.await("everywhere after the cut", 12*time.Second, func() bool { return f.everywhere(outcome.Configuration) })
		f.checkMonotonic()
	})
}
