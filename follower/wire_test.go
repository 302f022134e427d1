package follower

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

const testKind storer.Kind = "things"

func newTestFollower() *Follower {
	return New(Options{
		Self:     "a",
		Kinds:    []storer.Kind{testKind},
		Compare:  compareNumbers,
		View:     func() *assigner.View { return &assigner.View{} },
		OnChange: func(storer.Kind, storer.Listing) {},
	})
}

func compareNumbers(a, b storer.Version) int {
	x, _ := strconv.Atoi(string(a))
	y, _ := strconv.Atoi(string(b))
	return x - y
}

// listingOf returns 500 objects, of which at most one has the version of the listing.
func listingOf(version int) storer.Listing {
	listing := storer.Listing{Version: storer.Version(fmt.Sprint(version))}
	for n := range 500 {
		object := storer.Object{Name: fmt.Sprintf("i-%03d", n), Version: "1", Spec: []byte(`{}`)}
		if n == version {
			object.Version = listing.Version
		}
		listing.Objects = append(listing.Objects, object)
	}
	return listing
}

// syncFromPeer sends one node's changes to another and returns the first collection.
func syncFromPeer(from, to *Follower) *rpc.Collection {
	held := map[storer.Kind]*rpc.Held{}
	for _, h := range to.newerRequest(0).GetHeld() {
		held[storer.Kind(h.GetKind())] = h
	}
	response, _, _ := from.changesSince(held)
	for _, collection := range response.GetCollections() {
		to.applyCollection(time.Now(), collection)
	}
	return response.GetCollections()[0]
}

// TestPeerSendsDelta checks that a node with a recent copy of a long list receives only
// the few changed entries and ends with an equal copy.
func TestPeerSendsDelta(t *testing.T) {
	from, to := newTestFollower(), newTestFollower()
	from.update(testKind, listingOf(2), time.Now())
	if first := syncFromPeer(from, to); len(first.GetObjects()) != 500 {
		t.Fatalf("a node without a copy received %d objects", len(first.GetObjects()))
	}
	for version := 3; version < 6; version++ {
		from.update(testKind, listingOf(version), time.Now())
	}
	if changes := syncFromPeer(from, to); len(changes.GetObjects()) > 4 {
		t.Errorf("%d objects for three changes", len(changes.GetObjects()))
	}
	if from.copies[testKind].digest != to.copies[testKind].digest {
		t.Error("the copies differ")
	}
}

// TestDigestMismatchFetchesFullList corrupts a copy. The next delta then produces a
// wrong digest, and the node must request the full list.
func TestDigestMismatchFetchesFullList(t *testing.T) {
	from, to := newTestFollower(), newTestFollower()
	from.update(testKind, listingOf(2), time.Now())
	syncFromPeer(from, to)
	to.copies[testKind].listing.Objects = to.copies[testKind].listing.Objects[1:]
	from.update(testKind, listingOf(3), time.Now())
	syncFromPeer(from, to)
	if again := syncFromPeer(from, to); len(again.GetObjects()) != 500 || from.copies[testKind].digest != to.copies[testKind].digest {
		t.Errorf("received %d objects", len(again.GetObjects()))
	}
}

// TestAbsurdAgeIsOld guards against a peer's age that overflows to a negative one, with which
// a copy of the store's objects would never become stale.
func TestAbsurdAgeIsOld(t *testing.T) {
	if age := ageOf(&rpc.Collection{AgeMilliseconds: math.MaxUint64}); age != identifier.MaxDuration {
		t.Errorf("the age is %v", age)
	}
}
