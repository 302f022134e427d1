package follower

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/storer"
)

// routesContent returns a content of the given number of routes.
func routesContent(routes int) []byte {
	var content strings.Builder
	for n := range routes {
		fmt.Fprintf(&content, `{"name":"route-%x","host":"many.example","pathPrefix":"/%x/","timeoutMs":3000},`, 0x5bd1e995*uint32(n), 0x9e3779b1*uint32(n+1))
	}
	return []byte(content.String())
}

// TestContentIsSentAsChange checks that a content arrives whole, and that a small change of a
// large one takes few bytes.
func TestContentIsSentAsChange(t *testing.T) {
	base := routesContent(4000)
	changed := append(bytes.Replace(base, []byte("3000"), []byte("2500"), 1), routesContent(10)...)
	for _, test := range []struct {
		name     string
		base     []byte
		maxBytes int
	}{
		{"whole", nil, len(changed) / 2},
		{"change", base, 2000},
	} {
		encoded, err := encodeContent(changed, test.base)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeContent(encoded, test.base)
		if err != nil || !bytes.Equal(decoded, changed) {
			t.Errorf("%s: %d bytes decoded, want %d, error %v", test.name, len(decoded), len(changed), err)
		}
		if len(encoded) > test.maxBytes {
			t.Errorf("%s: %d bytes for %d, want at most %d", test.name, len(encoded), len(changed), test.maxBytes)
		}
	}
	encoded, err := encodeContent(changed, base)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := decodeContent(encoded, routesContent(3000)); err == nil && bytes.Equal(decoded, changed) {
		t.Error("decoded with another base")
	}
}

func largeListing(version, routes int) storer.Listing {
	v := storer.Version(fmt.Sprint(version))
	return storer.Listing{Version: v, Objects: []storer.Object{{Name: "main", Version: v, Spec: routesContent(routes)}}}
}

// TestNodeWithoutReferencesGetsContents guards against a node of an earlier release that takes
// an object without its content for the whole one.
func TestNodeWithoutReferencesGetsContents(t *testing.T) {
	f := newTestFollower()
	f.update(testKind, largeListing(2, 1000), time.Now())
	for _, accepts := range []bool{false, true} {
		response, err := (&peerServer{f}).Newer(t.Context(), &rpc.NewerRequest{AcceptsReferences: accepts})
		if err != nil {
			t.Fatal(err)
		}
		object := response.GetCollections()[0].GetObjects()[0]
		if hasContent := len(object.GetSpec()) > 0; hasContent == accepts || accepts && object.GetContentBytes() == 0 {
			t.Errorf("accepts references %t: %d bytes, reference to %d bytes", accepts, len(object.GetSpec()), object.GetContentBytes())
		}
	}
}

// TestBusyNodeNamesHolders guards against a large configuration that one node sends to all
// others over its own link.
func TestBusyNodeNamesHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower()
		f.update(testKind, largeListing(2, 1000), time.Now())
		server := &peerServer{f}
		request := func(node string) (*rpc.ContentResponse, *sendSlot) {
			slot := &sendSlot{}
			response, err := server.Content(context.WithValue(t.Context(), sendKey{}, slot),
				&rpc.ContentRequest{Kind: string(testKind), Name: "main", Version: "2", Node: node})
			if err != nil {
				t.Fatal(err)
			}
			return response, slot
		}
		_, first := request("first")
		first.release()
		for n := range maxContentSends {
			if response, _ := request(fmt.Sprint(n)); len(response.GetCompressed()) == 0 {
				t.Fatalf("request %d got no content", n)
			}
		}
		startedAt := time.Now()
		response, _ := request("late")
		if !response.GetBusy() || len(response.GetHolders()) != 1 || response.GetHolders()[0] != "first" || time.Since(startedAt) > 0 {
			t.Errorf("busy %t, holders %v after %v", response.GetBusy(), response.GetHolders(), time.Since(startedAt))
		}
	})
}

// deafStore has one large object whose changes its Changes does not report.
type deafStore struct {
	version, lists atomic.Int64
}

func (s *deafStore) List(context.Context, storer.Kind) (storer.Listing, error) {
	s.lists.Add(1)
	return largeListing(int(s.version.Load()), 1000), nil
}

func (s *deafStore) Changes(context.Context, storer.Kind, storer.Version) ([]storer.Event, storer.Version, error) {
	return nil, storer.Version(fmt.Sprint(s.version.Load() + 1)), nil
}

// TestReaderVerifiesLargeObject guards against a large configuration that stays as it was
// because the store did not report a change of it, and against one that is read whole at each
// interval.
func TestReaderVerifiesLargeObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &deafStore{}
		store.version.Store(2)
		f := newTestFollower()
		f.options.Store = store
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f.readStore(ctx)
		f.isReader.Store(true)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.verifyLarge(ctx)
		}()
		store.version.Store(5)
		for range 25 {
			f.readStore(ctx)
			time.Sleep(f.options.ReadInterval)
		}
		stop()
		<-ended
		if got := f.copies[testKind].listing.Objects[0].Version; got != "5" {
			t.Errorf("the copy has version %s", got)
		}
		if lists := store.lists.Load(); lists > 8 {
			t.Errorf("%d whole reads in 10 s", lists)
		}
	})
}

// TestRefreshAwaitsPendingContent guards against a request that is denied a route although its
// node has been told of a later configuration, whose content is on its way.
func TestRefreshAwaitsPendingContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower()
		f.update(testKind, largeListing(2, 1000), time.Now())
		announced := &rpc.Collection{
			Kind: string(testKind), Version: "5", Changed: true, Digest: 7,
			Objects: []*rpc.Object{{Name: "main", Version: "5", ContentBytes: 50000}},
		}
		f.receiveCollection(time.Now(), announced, "b")
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { f.update(testKind, largeListing(5, 1200), time.Now()) })
		f.Refresh(t.Context())
		if waited := time.Since(began); waited != 100*time.Millisecond || f.copies[testKind].listing.Version != "5" {
			t.Errorf("version %s after %v", f.copies[testKind].listing.Version, waited)
		}
		f.Refresh(t.Context())
		if waited := time.Since(began); waited != 100*time.Millisecond {
			t.Errorf("waited %v although nothing is pending", waited)
		}
	})
}
