package follower

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/foxtailspool/foxtailspool/storer"
)

// mutateRandomly returns a copy of a collection with some random changes.
func mutateRandomly(random *rand.Rand, objects []storer.Object, version int) []storer.Object {
	next := slices.Clone(objects)
	for range 1 + random.IntN(4) {
		name := fmt.Sprintf("i-%02d", random.IntN(30))
		at := slices.IndexFunc(next, func(o storer.Object) bool { return o.Name == name })
		object := storer.Object{Name: name, Version: storer.Version(fmt.Sprint(version)), Spec: []byte(`{"state":"ready"}`)}
		switch {
		case at < 0:
			next = append(next, object)
		case random.IntN(3) == 0:
			next = slices.Delete(next, at, at+1)
		default:
			next[at] = object
		}
	}
	sortObjects(next)
	return next
}

// TestMergedDeltaReproducesLatest applies random changes to a collection. For whatever
// earlier copy a node has, the merged delta must produce the latest copy, or the
// history must report that it does not reach back that far.
func TestMergedDeltaReproducesLatest(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var recorded history
	copies := [][]storer.Object{{}}
	knownCopies := 0
	for version := 1; version <= 300; version++ {
		last := copies[len(copies)-1]
		next := mutateRandomly(random, last, version)
		recorded.add(objectsDigest(last), last, next)
		copies = append(copies, next)
		from := copies[random.IntN(len(copies))]
		changes, ok := recorded.mergedSince(objectsDigest(from))
		if !ok {
			continue
		}
		knownCopies++
		if got := changes.apply(from); objectsDigest(got) != objectsDigest(next) || !slices.IsSortedFunc(got, compareNames) {
			t.Fatalf("version %d: %d objects, want %d", version, len(got), len(next))
		}
	}
	if knownCopies < 50 || len(recorded.deltas) > maxHistoryDeltas {
		t.Errorf("%d copies were in the history, which keeps %d deltas", knownCopies, len(recorded.deltas))
	}
}

// TestHistoryBytesAreBounded records changes of an object of 1 MiB.
func TestHistoryBytesAreBounded(t *testing.T) {
	var recorded history
	var last []storer.Object
	for version := range 20 {
		next := []storer.Object{{Name: "main", Version: storer.Version(fmt.Sprint(version)), Spec: make([]byte, 1<<20)}}
		recorded.add(objectsDigest(last), last, next)
		last = next
	}
	if recorded.bytes > maxHistoryBytes || len(recorded.deltas) > 2 {
		t.Errorf("%d bytes in %d deltas", recorded.bytes, len(recorded.deltas))
	}
}

// TestApplyEventsSkipsKnownEvents checks that events lead to the store's collection
// from any earlier copy, including when the copy already contains some of them.
func TestApplyEventsSkipsKnownEvents(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	var last []storer.Object
	var events []storer.Event
	copies := [][]storer.Object{nil}
	eventCounts := []int{0}
	for version := 1; version <= 60; version++ {
		next := mutateRandomly(random, last, version)
		var recorded history
		recorded.add(1, last, next)
		for _, object := range recorded.deltas[0].stored {
			events = append(events, storer.Event{Change: storer.Modified, Object: object})
		}
		for _, name := range recorded.deltas[0].removed {
			events = append(events, storer.Event{Change: storer.Deleted, Object: storer.Object{Name: name, Version: storer.Version(fmt.Sprint(version))}})
		}
		last = next
		copies, eventCounts = append(copies, last), append(eventCounts, len(events))
	}
	for range 100 {
		from := random.IntN(len(copies))
		early := max(0, eventCounts[from]-random.IntN(5))
		if got := applyEvents(copies[from], events[early:], compareNumbers); objectsDigest(got) != objectsDigest(last) {
			t.Fatalf("copy %d with the events from %d on: %d objects, want %d", from, early, len(got), len(last))
		}
	}
}
