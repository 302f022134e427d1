package follower

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/storer"
)

const kindTest storer.Kind = "things"

func newTestFollower() *Follower {
	return New(Options{
		Self:    "a",
		Kinds:   []storer.Kind{kindTest},
		Compare: compareNumbers,
		View:    func() *assigner.View { return &assigner.View{} },
		Changed: func(storer.Kind, storer.Listing) {},
	})
}

func compareNumbers(a, b storer.Version) int {
	x, _ := strconv.Atoi(string(a))
	y, _ := strconv.Atoi(string(b))
	return x - y
}

// listingOf has 500 objects, of which one has the version of the listing.
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

// tell passes on what the other node lacks and returns the message.
func tell(from, to *Follower) *rpc.Collection {
	held := map[storer.Kind]*rpc.Held{}
	for _, h := range to.request(0).GetHeld() {
		held[storer.Kind(h.GetKind())] = h
	}
	response, _, _ := from.since(held)
	for _, collection := range response.GetCollections() {
		to.heard(time.Now(), collection)
	}
	return response.GetCollections()[0]
}

// TestNewsAreWhatChanged holds that a node that has a recent copy of a long list is
// told the few entries that changed, and comes to the same copy.
func TestNewsAreWhatChanged(t *testing.T) {
	from, to := newTestFollower(), newTestFollower()
	from.take(kindTest, listingOf(2), time.Now())
	if first := tell(from, to); len(first.GetObjects()) != 500 {
		t.Fatalf("a node without a copy was told %d objects", len(first.GetObjects()))
	}
	for version := 3; version < 6; version++ {
		from.take(kindTest, listingOf(version), time.Now())
	}
	if news := tell(from, to); len(news.GetObjects()) > 4 {
		t.Errorf("%d objects for three changes", len(news.GetObjects()))
	}
	if from.copies[kindTest].digest != to.copies[kindTest].digest {
		t.Error("the copies differ")
	}
}

// TestNewsThatDoNotFit has a copy that differs from what its digest says: the changes
// do not lead to the other node's copy, and all objects are asked for.
func TestNewsThatDoNotFit(t *testing.T) {
	from, to := newTestFollower(), newTestFollower()
	from.take(kindTest, listingOf(2), time.Now())
	tell(from, to)
	to.copies[kindTest].listing.Objects = to.copies[kindTest].listing.Objects[1:]
	from.take(kindTest, listingOf(3), time.Now())
	tell(from, to)
	if again := tell(from, to); len(again.GetObjects()) != 500 || from.copies[kindTest].digest != to.copies[kindTest].digest {
		t.Errorf("told %d objects", len(again.GetObjects()))
	}
}
