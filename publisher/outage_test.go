package publisher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/publisher"
)

// TestStoreOutageDuringApply tests that an outcome is correct when the store
// fails after each write of an Apply, with and without the node being killed.
func TestStoreOutageDuringApply(t *testing.T) {
	const writes = 5
	modes := []emulator.DownMode{emulator.DownCutting, emulator.DownRefusing, emulator.DownHanging}
	if raceDetector {
		modes = modes[:1]
	}
	for writesBefore := 1; writesBefore <= writes; writesBefore++ {
		for _, mode := range modes {
			for _, lost := range []int{0, writesBefore} {
				for _, killed := range []bool{false, true} {
					name := fmt.Sprintf("after write %d, %s, %d answers lost, killed %v", writesBefore, mode, lost, killed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { testOutageAfterWrites(t, writesBefore, mode, lost, killed) })
					})
				}
			}
		}
	}
}

func testOutageAfterWrites(t *testing.T, writesBefore int, mode emulator.DownMode, lostAnswers int, killed bool) {
	f := newFleet(t, 2, 3)
	f.start()
	f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
	f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.activeEverywhere(1) })
	f.platform.SetFaults(emulator.PlatformFaults{Down: mode, DownAfter: writesBefore, LoseAnswers: lostAnswers})
	outcome := f.order[1].apply(routes("other", "desk"), pools("a", "b"))
	if killed {
		f.order[1].kill()
	}
	if outcome.State == publisher.ApplyAccepted {
		f.await("accepted everywhere during the outage", 12*time.Second, func() bool {
			return f.activeEverywhere(outcome.Configuration)
		})
		// Restart all nodes but two, without state and while the store is down.
		for _, node := range f.order[2:] {
			node.kill()
			node.start()
			f.await("the restarted node has the accepted configuration", 12*time.Second, func() bool {
				return f.activeEverywhere(outcome.Configuration)
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
			t.Errorf("half an edit is active: %+v", s)
		}
	}
	// Another edit is accepted afterwards.
	last := f.wantState(f.order[3].apply(nil, pools("z")), publisher.ApplyAccepted)
	f.await("the last edit everywhere", 12*time.Second, func() bool { return f.activeEverywhere(last.Configuration) })
	f.checkMonotonic()
}

// TestLongOutage tests that replaced nodes get the configuration from peers during
// an outage, that edits do not run until it ends, and that the store is not
// overloaded when it returns.
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
			f.await("the replaced node is up to date", 12*time.Second, func() bool { return f.activeEverywhere(before.Configuration) })
		}
		f.wantState(f.order[2].apply(nil, pools("c")), publisher.ApplyNotRun)
		time.Sleep(20 * time.Minute)
		counts := f.platform.Counts()
		f.platform.SetFaults(emulator.PlatformFaults{})
		time.Sleep(10 * time.Second)
		later := f.platform.Counts()
		t.Logf("12 nodes, 10 s after the store came back: %d reads, %d watches", later.Reads-counts.Reads, later.Watches-counts.Watches)
		if calls := later.Reads + later.Watches - counts.Reads - counts.Watches; calls > 30 {
			t.Errorf("%d calls in the first 10 s", calls)
		}
		after := f.wantState(f.order[2].apply(nil, pools("c")), publisher.ApplyAccepted)
		if after.Configuration != before.Configuration+1 {
			t.Errorf("number %d after %d", after.Configuration, before.Configuration)
		}
		f.await("the edit after the outage everywhere", 12*time.Second, func() bool { return f.activeEverywhere(after.Configuration) })
		f.checkMonotonic()
	})
}

// TestStoreRestoredFromBackup tests that nodes keep their configuration and write
// it back when the store is restored from an older backup.
func TestStoreRestoredFromBackup(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		backup := f.platform.Backup()
		f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		third := f.wantState(f.order[0].apply(routes("other", "desk"), nil), publisher.ApplyAccepted)
		f.platform.Restore(backup)
		f.await("the store is up to date", time.Minute, func() bool { return f.storedNumber() >= third.Configuration })
		f.await("everywhere", 12*time.Second, func() bool { return f.activeEverywhere(f.storedNumber()) })
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

// TestApplyAfterRestore tests an edit right after a restore, before any write-back.
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
		f.await("everywhere", 12*time.Second, func() bool { return f.activeEverywhere(third.Configuration) })
		if s := f.order[3].Snapshot(); len(s.Pools.Pools[0].Members) != 2 {
			t.Errorf("the second edit was lost: %+v", s)
		}
		f.checkMonotonic()
	})
}

// TestWatchFaults tests that direct edits are activated although the owner's
// watches lapse, expire, go silent or skip changes.
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
				f.await("the direct edit everywhere", 3*time.Minute, func() bool { return f.activeEverywhere(2) })
				took := time.Since(began)
				time.Sleep(10 * time.Minute)
				now := f.platform.Counts()
				calls := now.Reads + now.Watches - counts.Reads - counts.Watches
				t.Logf("active after %v; %d store calls in %v", took, calls, time.Since(began))
				// Five watches with a mean backoff of 8 s each make a list and a watch
				// call, about 15 calls a minute, and more until the backoff has grown.
				if limit := 5 * 20 * (time.Since(began).Minutes() + 1); float64(calls) > limit {
					t.Errorf("%d store calls, want at most %.0f", calls, limit)
				}
				f.checkMonotonic()
			})
		})
	}
}

// TestPublisherKilledBeforePush tests that the watches distribute a stored
// snapshot if its publisher is killed before any push arrives.
func TestPublisherKilledBeforePush(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		time.Sleep(time.Minute)
		isolated := f.order[2]
		f.setPartition(func(from, _ *node) bool { return from == isolated })
		outcome := f.wantState(isolated.apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		isolated.kill()
		t.Logf("outcome: %+v", outcome)
		f.await("everywhere by the watches", 12*time.Second, func() bool { return f.activeEverywhere(outcome.Configuration) })
		f.checkMonotonic()
	})
}

// TestDataCentrePartition tests that a data centre cut off from all other nodes
// is reported as unreached and gets the configuration after the partition.
func TestDataCentrePartition(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		time.Sleep(time.Minute)
		f.setPartition(func(from, to *node) bool { return (from.member.DataCentre == "dc2") != (to.member.DataCentre == "dc2") })
		outcome := f.wantState(f.order[0].apply(nil, pools("a", "b")), publisher.ApplyAccepted)
		if len(outcome.Reach.Unreached) != 1 || outcome.Reach.Unreached[0] != "dc2" {
			t.Errorf("reach %+v", outcome.Reach)
		}
		time.Sleep(time.Minute)
		f.setPartition(nil)
		f.await("everywhere after the partition", 12*time.Second, func() bool { return f.activeEverywhere(outcome.Configuration) })
		f.checkMonotonic()
	})
}
