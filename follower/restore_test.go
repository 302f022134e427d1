package follower

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/storer"
)

// compareGenerations orders versions "generation.revision".
func compareGenerations(a, b storer.Version) int {
	if g, h := generationOf(a), generationOf(b); g != h {
		return int(g) - int(h)
	}
	_, x, _ := strings.Cut(string(a), ".")
	_, y, _ := strings.Cut(string(b), ".")
	return compareNumbers(storer.Version(x), storer.Version(y))
}

func generationOf(v storer.Version) storer.Generation {
	first, _, _ := strings.Cut(string(v), ".")
	generation, _ := strconv.Atoi(first)
	return storer.Generation(generation)
}

// restoredStore is a store of a long list that is restored at a given call of Changes.
type restoredStore struct {
	generation, revision   int
	restoreAt, changeCalls int
}

func (s *restoredStore) version() storer.Version {
	return storer.Version(fmt.Sprintf("%d.%d", s.generation, s.revision))
}

func (s *restoredStore) List(context.Context, storer.Kind) (storer.Listing, error) {
	listing := storer.Listing{Version: s.version()}
	for n := range longListObjects {
		listing.Objects = append(listing.Objects, storer.Object{Name: fmt.Sprintf("i-%03d", n), Version: s.version()})
	}
	return listing, nil
}

func (s *restoredStore) Changes(_ context.Context, _ storer.Kind, after storer.Version) ([]storer.Event, storer.Version, error) {
	s.changeCalls++
	if s.changeCalls == s.restoreAt {
		s.generation, s.revision = s.generation+1, s.revision/2
	}
	if generationOf(after) != storer.Generation(s.generation) {
		return nil, "", storer.Expired.New("%s", after)
	}
	s.revision++
	changed := storer.Object{Name: "i-000", Version: s.version()}
	return []storer.Event{{Change: storer.Modified, Object: changed}}, s.version(), nil
}

func newRestorableFollower() *Follower {
	f := newTestFollower()
	f.options.Compare = compareGenerations
	f.options.GenerationOf = generationOf
	return f
}

// TestLongListAfterRestore guards against a long list that stays as it was before a restore,
// because it is read by changes, and against a node that misses the restore.
func TestLongListAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &restoredStore{generation: 1, revision: 100, restoreAt: 2}
		f := newRestorableFollower()
		f.options.Store = store
		var generations []storer.Generation
		f.options.OnGeneration = func(generation storer.Generation) { generations = append(generations, generation) }
		for range 5 {
			if !f.readStore(t.Context()) {
				t.Error("a read failed")
			}
			time.Sleep(f.options.ReadInterval)
		}
		if got := f.copies[testKind].listing.Version; got != store.version() {
			t.Errorf("the copy has version %s, the store %s", got, store.version())
		}
		if fmt.Sprint(generations) != "[1 2]" || f.generation != 2 {
			t.Errorf("generations %v, then %d", generations, f.generation)
		}
	})
}

// TestPeerPassesOnRestoredListing guards against a node that ignores a peer's copy from after
// a restore because its revision is lower.
func TestPeerPassesOnRestoredListing(t *testing.T) {
	from, to := newRestorableFollower(), newRestorableFollower()
	store := &restoredStore{generation: 1, revision: 100}
	for range 2 {
		listing, _ := store.List(t.Context(), testKind)
		from.update(testKind, listing, time.Now())
		syncFromPeer(from, to)
		if got := to.copies[testKind].listing.Version; got != listing.Version {
			t.Errorf("the peer has version %s, not %s", got, listing.Version)
		}
		store.generation, store.revision = store.generation+1, store.revision/2
	}
}

// TestLateAnswerFromBeforeRestore guards against a copy that goes back to the time before a
// restore because an answer of the store or a peer arrives late.
func TestLateAnswerFromBeforeRestore(t *testing.T) {
	f := newRestorableFollower()
	store := &restoredStore{generation: 1, revision: 100}
	before, _ := store.List(t.Context(), testKind)
	store.generation, store.revision = 2, 50
	after, _ := store.List(t.Context(), testKind)
	f.update(testKind, after, time.Now())
	f.update(testKind, before, time.Now())
	if got := f.copies[testKind].listing.Version; got != after.Version {
		t.Errorf("the copy has version %s", got)
	}
}

// supersedesByNumber treats each spec as a number that only grows.
func supersedesByNumber(_ storer.Kind, held, listed storer.Object) bool {
	x, _ := strconv.Atoi(string(held.Spec))
	y, _ := strconv.Atoi(string(listed.Spec))
	return x > y
}

// newRetainingFollower returns a follower that passes what it is given to passed.
func newRetainingFollower(passed *storer.Listing) *Follower {
	f := newRestorableFollower()
	f.options.Supersedes = supersedesByNumber
	f.options.OnChange = func(_ storer.Kind, listing storer.Listing) { *passed = listing }
	return f
}

// listingWith returns a listing of objects given as "name=spec", all of its version.
func listingWith(version storer.Version, objects ...string) storer.Listing {
	listing := storer.Listing{Version: version}
	for _, object := range objects {
		name, spec, _ := strings.Cut(object, "=")
		listing.Objects = append(listing.Objects, storer.Object{Kind: testKind, Name: name, Version: version, Spec: []byte(spec)})
	}
	return listing
}

// confirmAndMerge confirms the copy as of now, as a read of an unchanged store does.
func (f *Follower) confirmAndMerge() {
	f.confirm(testKind, f.copies[testKind].digest, time.Now())
	f.mergeAfterLapse()
}

func describe(listing storer.Listing) string {
	var parts []string
	for _, object := range listing.Objects {
		parts = append(parts, object.Name+"="+string(object.Spec))
	}
	return strings.Join(parts, " ")
}

// TestRestoreUndoesNothingKnown guards against a node that takes back what it knew because
// the store was restored, once or twice, and against one that never takes up what is written
// after a restore.
func TestRestoreUndoesNothingKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed storer.Listing
		f := newRetainingFollower(&passed)
		step := func(want string, listing storer.Listing) {
			t.Helper()
			f.update(testKind, listing, time.Now())
			if got := describe(passed); got != want {
				t.Errorf("at %s: %s, want %s", listing.Version, got, want)
			}
		}
		step("a=1 b=1 c=1", listingWith("1.10", "a=1", "b=1", "c=1"))
		step("a=2 c=1", listingWith("1.20", "a=2", "c=1"))
		step("a=2 c=1", listingWith("2.10", "a=1", "b=1", "c=1"))
		step("a=2 c=3", listingWith("2.11", "a=1", "b=1", "c=3"))
		step("a=2 c=3", listingWith("3.10", "a=1", "b=1", "c=1"))
		step("a=2 b=2 c=3", listingWith("3.11", "a=1", "b=2", "c=1"))
		step("a=4 b=2 c=3", listingWith("3.12", "a=4", "b=2", "c=1"))
		step("a=4 b=2", listingWith("3.13", "a=4", "b=2"))
		step("a=4 b=2", listingWith("4.10", "a=1", "b=1", "c=1"))
		time.Sleep(f.options.LapseTime)
		f.confirmAndMerge()
		if got := describe(passed); got != "a=4 b=2 c=1" {
			t.Errorf("after the lapse time: %s", got)
		}
	})
}

// TestObjectNewerThanBackup guards against a copy that lacks an object until it is written
// again after a restore, or that keeps one that is not.
func TestObjectNewerThanBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed storer.Listing
		f := newRetainingFollower(&passed)
		f.update(testKind, listingWith("1.20", "a=1", "b=1", "c=0"), time.Now())
		f.update(testKind, listingWith("2.10", "a=1"), time.Now())
		if got := describe(passed); got != "a=1 b=1 c=0" {
			t.Errorf("at the restore: %s", got)
		}
		time.Sleep(f.options.RewriteTime / 2)
		f.update(testKind, listingWith("2.11", "a=1", "b=0"), time.Now())
		if got := describe(passed); got != "a=1 b=1 c=0" {
			t.Errorf("while b may be of the backup: %s", got)
		}
		time.Sleep(f.options.RewriteTime / 2)
		f.confirmAndMerge()
		if got := describe(passed); got != "a=1 b=1" {
			t.Errorf("after the rewrite time: %s", got)
		}
	})
}

// TestOldCopyAddsNothingToRestoredListing guards against an object that was removed while a
// node was cut off and that the node, or one that asks it, uses again after a restore.
func TestOldCopyAddsNothingToRestoredListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed, askersPassed storer.Listing
		f, asker := newRetainingFollower(&passed), newRetainingFollower(&askersPassed)
		f.update(testKind, listingWith("1.20", "a=2", "b=0"), time.Now())
		time.Sleep(f.options.LapseTime)
		asker.update(testKind, listingWith("2.10", "a=1"), time.Now())
		syncFromPeer(f, asker)
		if got := describe(askersPassed); got != "a=2" {
			t.Errorf("the asking node: %s", got)
		}
		f.update(testKind, listingWith("2.10", "a=1"), time.Now())
		if got := describe(passed); got != "a=2" {
			t.Errorf("the node itself: %s", got)
		}
	})
}

// TestObjectOfBackupOnly guards against an object that had been removed before this node
// started and that a restore has brought back.
func TestObjectOfBackupOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed storer.Listing
		f := newRetainingFollower(&passed)
		f.update(testKind, listingWith("1.20", "a=1"), time.Now())
		f.update(testKind, listingWith("2.10", "a=1", "b=1", "c=1"), time.Now())
		f.update(testKind, listingWith("2.11", "a=1", "b=1", "c=2"), time.Now())
		if got := describe(passed); got != "a=1 c=2" {
			t.Errorf("after the restore: %s", got)
		}
		time.Sleep(f.options.LapseTime)
		f.mergeAfterLapse()
		if got := describe(passed); got != "a=1 c=2" {
			t.Errorf("after the lapse time, while the store is away: %s", got)
		}
		f.confirmAndMerge()
		if got := describe(passed); got != "a=1 b=1 c=2" {
			t.Errorf("after the lapse time: %s", got)
		}
	})
}

// TestPeersInEarlierGenerationTellWhatTheyKnow guards against a node that starts after a
// restore and asks only nodes that have not read the store since.
func TestPeersInEarlierGenerationTellWhatTheyKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed, startedPassed storer.Listing
		f, started := newRetainingFollower(&passed), newRetainingFollower(&startedPassed)
		f.update(testKind, listingWith("1.10", "a=1", "b=1"), time.Now())
		f.update(testKind, listingWith("1.20", "a=2", "c=0"), time.Now())
		started.update(testKind, listingWith("2.10", "a=1", "b=1", "d=1"), time.Now())
		syncFromPeer(f, started)
		if got := describe(startedPassed); got != "a=2 c=0 d=1" {
			t.Errorf("got %s", got)
		}
	})
}

// TestPeersAgreeAfterRestore guards against nodes that differ in what they know beyond a
// restored listing, also one without a copy, and against copies that are sent to and fro.
func TestPeersAgreeAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed [3]storer.Listing
		var nodes [3]*Follower
		for n := range nodes {
			nodes[n] = newRetainingFollower(&passed[n])
		}
		nodes[0].update(testKind, listingWith("1.10", "a=1", "b=1", "c=1"), time.Now())
		nodes[1].update(testKind, listingWith("1.10", "a=1", "b=1", "c=1"), time.Now())
		nodes[0].update(testKind, listingWith("1.20", "a=2", "b=1", "c=1"), time.Now())
		nodes[1].update(testKind, listingWith("1.21", "a=1", "c=1"), time.Now())
		for n := range nodes {
			nodes[n].update(testKind, listingWith("2.10", "a=1", "b=1", "c=1"), time.Now())
		}
		for _, pair := range [][2]int{{0, 1}, {1, 0}, {1, 2}} {
			syncFromPeer(nodes[pair[0]], nodes[pair[1]])
		}
		for n := range nodes {
			if got := describe(passed[n]); got != "a=2 c=1" {
				t.Errorf("node %d: %s", n, got)
			}
			held := map[storer.Kind]*rpc.Held{}
			for _, h := range nodes[n].newerRequest(0).GetHeld() {
				held[storer.Kind(h.GetKind())] = h
			}
			if response, changed, _ := nodes[0].changesSince(held); changed || len(response.GetCollections()) != 1 {
				t.Errorf("node %d gets %v again", n, response)
			}
		}
	})
}

// TestRetainedObjectsDoNotAnswerLongPoll guards against nodes that poll without a pause
// because they retain different objects, and against messages that an older release takes
// for a change at each poll.
func TestRetainedObjectsDoNotAnswerLongPoll(t *testing.T) {
	var passed storer.Listing
	f := newRetainingFollower(&passed)
	f.update(testKind, listingWith("1.10", "a=2"), time.Now())
	f.update(testKind, listingWith("2.10", "a=1"), time.Now())
	held := map[storer.Kind]*rpc.Held{testKind: {Kind: string(testKind), Version: "2.10", Digest: f.copies[testKind].digest}}
	if response, changed, _ := f.changesSince(held); changed || len(response.GetCollections()) != 1 {
		t.Errorf("an older release gets %v", response)
	}
	held[storer.Kind(retainedKind(testKind))] = &rpc.Held{}
	if response, changed, _ := f.changesSince(held); changed || len(response.GetCollections()) != 2 {
		t.Errorf("another node gets %v, at once: %t", response, changed)
	}
}

// TestRetainedObjectsAreBounded lists ever new objects for two minutes, and checks that the
// removed ones are forgotten.
func TestRetainedObjectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed storer.Listing
		f := newRetainingFollower(&passed)
		most := 0
		for revision := range 1200 {
			var objects []string
			for n := range 10 {
				objects = append(objects, fmt.Sprintf("%05d-%d=1", revision, n))
			}
			f.update(testKind, listingWith(storer.Version(fmt.Sprintf("1.%d", revision)), objects...), time.Now())
			most = max(most, len(f.copies[testKind].retained))
			time.Sleep(100 * time.Millisecond)
		}
		if most > maxRetained {
			t.Errorf("%d retained objects", most)
		}
		f.update(testKind, listingWith("1.5000"), time.Now())
		time.Sleep(maxRemovalAge + time.Second)
		f.mergeAfterLapse()
		if left := len(f.copies[testKind].retained); left != 0 {
			t.Errorf("%d retained objects are left", left)
		}
	})
}

// TestSuspendedNodeRemovesNoObject guards against a back end that all nodes drop after a
// restore because one that was suspended across it had never seen its entry.
func TestSuspendedNodeRemovesNoObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed, passedSuspended storer.Listing
		f, suspended := newRetainingFollower(&passed), newRetainingFollower(&passedSuspended)
		suspended.update(testKind, listingWith("1.10", "a=1"), time.Now())
		f.update(testKind, listingWith("1.10", "a=1"), time.Now())
		f.update(testKind, listingWith("1.11", "a=1", "b=1"), time.Now())
		time.Sleep(100 * time.Millisecond)
		f.update(testKind, listingWith("2.11", "a=1", "b=1"), time.Now())
		suspended.update(testKind, listingWith("2.11", "a=1", "b=1"), time.Now())
		held := map[storer.Kind]*rpc.Held{}
		for _, h := range f.newerRequest(0).GetHeld() {
			held[storer.Kind(h.GetKind())] = h
		}
		answer, _, _ := suspended.changesSince(held)
		for _, c := range answer.GetCollections() {
			f.applyCollection(time.Now(), c)
		}
		if got := describe(passed); got != "a=1 b=1" {
			t.Errorf("after the suspended node's answer: %s", got)
		}
	})
}

// TestCopyOfRecentRestoreForgetsNoRemoval guards against a back end that is used again although
// it had left: a node that starts after a restore has its entry from the backup, and ignored
// what the others know of its removal after the next restore.
func TestCopyOfRecentRestoreForgetsNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var passed, passedStarted storer.Listing
		f, started := newRetainingFollower(&passed), newRetainingFollower(&passedStarted)
		f.update(testKind, listingWith("1.10", "a=1", "b=1"), time.Now())
		f.update(testKind, listingWith("1.12", "a=1"), time.Now())
		time.Sleep(100 * time.Millisecond)
		for _, version := range []storer.Version{"2.11", "3.11"} {
			f.update(testKind, listingWith(version, "a=1", "b=1"), time.Now())
			started.update(testKind, listingWith(version, "a=1", "b=1"), time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		held := map[storer.Kind]*rpc.Held{}
		for _, h := range started.newerRequest(0).GetHeld() {
			held[storer.Kind(h.GetKind())] = h
		}
		answer, _, _ := f.changesSince(held)
		for _, c := range answer.GetCollections() {
			started.applyCollection(time.Now(), c)
		}
		if got := describe(passedStarted); got != "a=1" {
			t.Errorf("after the answer of a node that knows of the removal: %s", got)
		}
	})
}
