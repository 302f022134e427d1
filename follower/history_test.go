package follower

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/foxtailspool/foxtailspool/storer"
)

// changed returns a copy of a collection with some random changes.
func changed(random *rand.Rand, objects []storer.Object, version int) []storer.Object {
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

// TestChangesLeadToTheSameCopy follows a collection through random changes: whatever
// copy a node has, either the changes since then lead to the latest, or they are not
// known.
func TestChangesLeadToTheSameCopy(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var past history
	copies := [][]storer.Object{{}}
	known := 0
	for version := 1; version <= 300; version++ {
		last := copies[len(copies)-1]
		next := changed(random, last, version)
		past.add(digestOf(last), last, next)
		copies = append(copies, next)
		from := copies[random.IntN(len(copies))]
		lacking, ok := past.since(digestOf(from))
		if !ok {
			continue
		}
		known++
		if got := lacking.apply(from); digestOf(got) != digestOf(next) || !slices.IsSortedFunc(got, compareNames) {
			t.Fatalf("version %d: %d objects, want %d", version, len(got), len(next))
		}
	}
	if known < 50 || len(past.steps) > historySteps {
		t.Errorf("%d copies were known, %d steps are kept", known, len(past.steps))
	}
}

// TestLargeObjectsDoNotStay bounds what is kept of a collection of large objects.
func TestLargeObjectsDoNotStay(t *testing.T) {
	var past history
	var last []storer.Object
	for version := range 20 {
		next := []storer.Object{{Name: "main", Version: storer.Version(fmt.Sprint(version)), Spec: make([]byte, 1<<20)}}
		past.add(digestOf(last), last, next)
		last = next
	}
	if past.bytes > historyBytes || len(past.steps) > 2 {
		t.Errorf("%d bytes in %d steps", past.bytes, len(past.steps))
	}
}

// TestEventsAreFollowed holds that events lead to the store's collection in whatever
// state the copy is between them, also where it already has some.
func TestEventsAreFollowed(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	var last []storer.Object
	var events []storer.Event
	copies := [][]storer.Object{nil}
	at := []int{0}
	for version := 1; version <= 60; version++ {
		next := changed(random, last, version)
		var past history
		past.add(1, last, next)
		for _, object := range past.steps[0].stored {
			events = append(events, storer.Event{Change: storer.Modified, Object: object})
		}
		for _, name := range past.steps[0].removed {
			events = append(events, storer.Event{Change: storer.Deleted, Object: storer.Object{Name: name, Version: storer.Version(fmt.Sprint(version))}})
		}
		last = next
		copies, at = append(copies, last), append(at, len(events))
	}
	for range 100 {
		from := random.IntN(len(copies))
		early := max(0, at[from]-random.IntN(5))
		if got := follow(copies[from], events[early:], compareNumbers); digestOf(got) != digestOf(last) {
			t.Fatalf("copy %d with the events from %d on: %d objects, want %d", from, early, len(got), len(last))
		}
	}
}
