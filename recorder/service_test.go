package recorder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// fleet is several nodes that call each other over twirp, in memory.
type fleet struct {
	mutex    sync.Mutex
	view     *assigner.View
	handlers map[string]http.Handler
	// Requests to nodes in dropRequests are lost, as are replies of nodes in dropReplies.
	dropRequests, dropReplies map[string]bool
	calls                     int
}

func newFleet(members ...assigner.Member) *fleet {
	return &fleet{
		view:         &assigner.View{Members: members},
		handlers:     map[string]http.Handler{},
		dropRequests: map[string]bool{},
		dropReplies:  map[string]bool{},
	}
}

func memberOf(node identifier.Node, incarnation identifier.Incarnation, state assigner.State) assigner.Member {
	return assigner.Member{Node: node, Incarnation: incarnation, PeerAddress: identifier.Address(node), State: state}
}

func (f *fleet) RoundTrip(request *http.Request) (*http.Response, error) {
	f.mutex.Lock()
	handler, dropRequest, dropReply := f.handlers[request.URL.Host], f.dropRequests[request.URL.Host], f.dropReplies[request.URL.Host]
	f.calls++
	f.mutex.Unlock()
	if dropRequest || handler == nil {
		return nil, errors.New("cut")
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	if dropReply {
		return nil, errors.New("reply lost")
	}
	return response.Result(), nil
}

func (f *fleet) setView(members ...assigner.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.view = &assigner.View{Members: members}
}

// start runs a node until the returned function is called.
func (f *fleet) start(t *testing.T, node identifier.Node, incarnation identifier.Incarnation, store *fakeStore) (*Recorder, func()) {
	t.Helper()
	r, stop := startStoppable(t, Options{
		Self: node, Incarnation: incarnation, Store: store, Peers: f, DrainTimeout: time.Second,
		View: func() *assigner.View {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.view
		},
	})
	_, handler := r.Handler()
	f.mutex.Lock()
	f.handlers[string(node)] = handler
	f.mutex.Unlock()
	return r, stop
}

// startPair starts node a, which owns nothing, and node b, which owns everything.
func startPair(t *testing.T, store *fakeStore) (*fleet, *Recorder, *Recorder) {
	t.Helper()
	f := newFleet(memberOf("a", 1, assigner.Leaving), memberOf("b", 1, assigner.Alive))
	a, stopA := f.start(t, "a", 1, store)
	b, stopB := f.start(t, "b", 1, store)
	t.Cleanup(stopA)
	t.Cleanup(stopB)
	return f, a, b
}

func TestClaimsGoToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f, a, b := startPair(t, store)
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		if f.calls != 1 {
			t.Fatalf("%d calls to the owner, want 1", f.calls)
		}
		waiting := make(chan ClaimResult, 1)
		go func() { waiting <- b.Await(ctx, newCall(key, 2, "b")) }()
		a.Settle(ctx, newCall(key, 1, "a"), &Answer{Status: 200, Body: []byte("paid")})
		claim := <-waiting
		expectVerdict(t, claim, Answered)
		if string(claim.Answer.Body) != "paid" {
			t.Fatalf("answer %q", claim.Answer.Body)
		}
	})
}

// The owner records a claim and its reply is lost. The node finds the claim in the
// ledger.
func TestLostReplyOfTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b := startPair(t, newFakeStore())
		ctx, key := context.Background(), newKey(1, 0)
		f.dropReplies["b"] = true
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "b")), Running)
	})
}

// The owner cannot be reached, so the node writes the page itself.
func TestUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b := startPair(t, newFakeStore())
		ctx, key := context.Background(), newKey(1, 0)
		f.dropRequests["b"] = true
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "b")), Running)
	})
}

// Another node wrote the claim after the owner cached the page. The owner must not
// drop the call's outcome because its stale page lacks the claim.
func TestOutcomeAtOwnerWithStalePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b := startPair(t, newFakeStore())
		ctx := context.Background()
		r1, r2 := keysAtSameLocation(t, b)
		expectVerdict(t, b.Claim(ctx, newCall(r1, 1, "b")), Run)
		f.dropRequests["b"] = true
		expectVerdict(t, a.Claim(ctx, newCall(r2, 1, "a")), Run)
		f.dropRequests["b"] = false
		a.Settle(ctx, newCall(r2, 1, "a"), &Answer{Status: 200})
		time.Sleep(5 * time.Second)
		expectVerdict(t, b.Claim(ctx, newCall(r2, 2, "b")), Answered)
	})
}

// The owner's stale page shows an earlier attempt, which was withdrawn. The owner
// must not drop the outcome of the present attempt.
func TestOutcomeAtOwnerWithStaleAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b := startPair(t, newFakeStore())
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, b.Claim(ctx, newCall(key, 1, "b")), Run)
		b.Settle(ctx, newCall(key, 1, "b"), nil)
		time.Sleep(5 * time.Second)
		f.dropRequests["b"] = true
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		f.dropRequests["b"] = false
		a.Settle(ctx, newCall(key, 1, "a"), &Answer{Status: 200})
		time.Sleep(5 * time.Second)
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "b")), Answered)
	})
}

// keysAtSameLocation returns two keys whose entries are in one page.
func keysAtSameLocation(t *testing.T, r *Recorder) (identifier.Key, identifier.Key) {
	t.Helper()
	known, ok := r.loadLayout(context.Background())
	if !ok {
		t.Fatal("no layout")
	}
	seen := map[location]identifier.Key{}
	for n := 0; ; n++ {
		key := newKey(n, 0)
		parsed, err := parseKey(key, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		at := parsed.location(known)
		if other, taken := seen[at]; taken {
			return other, key
		}
		seen[at] = key
	}
}

func TestLossOfTheClaimingNode(t *testing.T) {
	for name, after := range map[string]assigner.Member{
		"dead":     memberOf("a", 1, assigner.Dead),
		"replaced": memberOf("a", 2, assigner.Alive),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, b := startPair(t, newFakeStore())
				ctx, key := context.Background(), newKey(1, 0)
				expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
				f.setView(after, memberOf("b", 1, assigner.Alive))
				expectVerdict(t, b.Await(ctx, newCall(key, 2, "b")), Lost)
				time.Sleep(time.Minute)
				expectVerdict(t, b.Claim(ctx, newCall(key, 3, "b")), Lost)
			})
		})
	}
}

// A resend does not wait for a call whose outcome will never be known.
func TestAbandonedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startPair(t, newFakeStore())
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		a.Abandon(ctx, newCall(key, 1, "a"))
		expectVerdict(t, b.Await(ctx, newCall(key, 2, "b")), Lost)
	})
}

// A paused owner's claim is written after pruning deleted the page and, with it, the
// entry of another attempt that ran. The claim must not run.
func TestWriteAfterPruning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := startRecorder(t, singleNodeOptions(store)), startRecorder(t, singleNodeOptions(store))
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, a.Claim(ctx, newCall(newKey(2, 0), 1, "a")), Run)
		time.Sleep(10*time.Minute - time.Second)
		store.mutex.Lock()
		store.extraLatency = func(method, _ string) time.Duration {
			if method == "create" {
				store.extraLatency = nil
				return 2 * time.Minute
			}
			return 0
		}
		store.mutex.Unlock()
		paused := make(chan ClaimResult, 1)
		go func() { paused <- a.Claim(ctx, newCall(key, 1, "a")) }()
		synctest.Wait()
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "a")), Run)
		b.Settle(ctx, newCall(key, 2, "a"), &Answer{Status: 200})
		expectVerdict(t, <-paused, TooOld)
	})
}

// Pages past the window are deleted, also by a node that starts later.
func TestPruning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f := newFleet(memberOf("a", 1, assigner.Alive))
		a, stop := f.start(t, "a", 1, store)
		for i := range 700 {
			expectVerdict(t, a.Claim(context.Background(), newCall(newKey(i, 0), 1, "a")), Run)
		}
		stop()
		store.setFault(alwaysFault(unavailable))
		_, stop = f.start(t, "a", 2, store)
		time.Sleep(time.Hour)
		store.setFault(nil)
		time.Sleep(10 * time.Minute)
		stop()
		for name := range store.objects {
			if strings.HasPrefix(name, "page-") {
				t.Errorf("%s was not deleted", name)
			}
		}
	})
}

// Once a page is full, new keys go to the location's next part. A claim also finds the
// keys of all parts on a node whose own MaxPageEntries is higher than the page's size.
func TestFullPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		options := singleNodeOptions(store)
		options.Shards, options.MaxPageEntries, options.BucketWidth = 1, 4, time.Minute
		a := startRecorder(t, options)
		options.MaxPageEntries = 300
		b := startRecorder(t, options)
		ctx := context.Background()
		var keys []identifier.Key
		for i := range 18 {
			keys = append(keys, newKey(i, 0))
			expectVerdict(t, a.Claim(ctx, newCall(keys[i], 1, "a")), Run)
		}
		for _, key := range keys {
			expectVerdict(t, b.Claim(ctx, newCall(key, 2, "a")), Running)
		}
		if len(store.objects) < 5 {
			t.Fatalf("%d objects", len(store.objects))
		}
	})
}

// A node whose settings differ uses the layout that another node stored first.
func TestStoredLayoutOverridesSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		options := singleNodeOptions(store)
		a := startRecorder(t, options)
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		options.Shards, options.BucketWidth = 7, 3*time.Second
		b := startRecorder(t, options)
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "a")), Running)
	})
}

// boundKey returns a key that is bound to the first incarnation of node a.
func boundKey(n int) identifier.Key {
	return newKey(n, 0) + identifier.Key(BindingSuffix("a", 1))
}

func TestBoundKeyRunsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setFault(alwaysFault(unavailable))
		f, a, b := startPair(t, store)
		ctx, key := context.Background(), boundKey(1)
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "b")), Running)
		a.Settle(ctx, newCall(key, 1, "a"), &Answer{Status: 200})
		expectVerdict(t, b.Claim(ctx, newCall(key, 3, "b")), Answered)
		f.dropRequests["a"] = true
		expectVerdict(t, b.Claim(ctx, newCall(key, 4, "b")), Unknown)
		store.setFault(nil)
		time.Sleep(3 * time.Second)
		expectVerdict(t, b.Claim(ctx, newCall(key, 5, "b")), Answered)
	})
}

// A node must not run a key bound to it once another node has reported the key as not run.
func TestBoundKeyIsSealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b := startPair(t, newFakeStore())
		ctx, key := context.Background(), boundKey(1)
		expectVerdict(t, b.Claim(ctx, newCall(key, 1, "b")), NotRun)
		expectVerdict(t, a.Claim(ctx, newCall(key, 2, "a")), NotRun)
		f.setView(memberOf("a", 2, assigner.Alive), memberOf("b", 1, assigner.Alive))
		expectVerdict(t, b.Claim(ctx, newCall(boundKey(2), 1, "b")), Lost)
		first := newCall(boundKey(3), 1, "b")
		first.First = true
		expectVerdict(t, b.Claim(ctx, first), NotRun)
	})
}
