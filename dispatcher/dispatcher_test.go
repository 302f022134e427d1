package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// fakeFleet fakes the network between dispatchers, their engines, the membership
// view and the configuration.
type fakeFleet struct {
	mutex         sync.Mutex
	handlers      map[string]http.Handler
	refusingHosts map[string]bool
	silentHosts   map[string]bool
	view          assigner.View
	snapshot      *tabulator.Snapshot
	// usedPieces is the memory that each engine holds, by request and stream.
	usedPieces map[identifier.Member]map[string]identifier.Pieces
	cancelled  []string
	// failingCancels is how many of the next cancels fail.
	failingCancels int
	// idleCloses is the number of calls of CloseIdleConnections.
	idleCloses int
}

func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mutex.Lock()
	handler, refusing, silent := f.handlers[r.URL.Host], f.refusingHosts[r.URL.Host], f.silentHosts[r.URL.Host]
	f.mutex.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if refusing || handler == nil {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

func (f *fakeFleet) Load(_ context.Context, _ identifier.Pool, member tabulator.Member, _ placer.CachePosition) (placer.Load, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	load := placer.Load{Free: member.Pieces}
	for _, pieces := range f.usedPieces[member.Name] {
		load.Free -= pieces
	}
	return load, nil
}

func (f *fakeFleet) Cancel(_ context.Context, _ identifier.Pool, member tabulator.Member, request identifier.Request, stream, _ uint64) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failingCancels > 0 {
		f.failingCancels--
		return errors.New("engine busy")
	}
	name := fmt.Sprintf("%s/%d", request, stream)
	delete(f.usedPieces[member.Name], name)
	f.cancelled = append(f.cancelled, string(member.Name)+" "+name)
	return nil
}

// holdMemory makes the decode engine hold the memory of a placement.
func (f *fakeFleet) holdMemory(demand placer.Demand, placed *placer.Placement) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.usedPieces[placed.Decode] == nil {
		f.usedPieces[placed.Decode] = map[string]identifier.Pieces{}
	}
	f.usedPieces[placed.Decode][fmt.Sprintf("%s/%d", demand.Request, placed.Stream)] = placed.Pieces
}

// heldRequests returns the number of requests that an engine holds memory for.
func (f *fakeFleet) heldRequests(engine identifier.Member) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.usedPieces[engine])
}

func (f *fakeFleet) cancelledStreams() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.cancelled...)
}

func (f *fakeFleet) CloseIdleConnections() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.idleCloses++
}

func (f *fakeFleet) setFault(hosts map[string]bool, node string, value bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	hosts[node] = value
}

// setState changes a node's state in every node's view.
func (f *fakeFleet) setState(node identifier.Node, state assigner.State) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	members := append([]assigner.Member(nil), f.view.Members...)
	for i := range members {
		if members[i].Node == node {
			members[i].State = state
		}
	}
	f.view.Members = members
}

func (f *fakeFleet) viewOf(node identifier.Node) func() *assigner.View {
	return func() *assigner.View {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		view := f.view
		view.Self, _ = view.Find(node)
		return &view
	}
}

func (f *fakeFleet) currentSnapshot() *tabulator.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot
}

// markLeaving marks a member as leaving without changing the snapshot's number.
func (f *fakeFleet) markLeaving(name identifier.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	marked := *f.snapshot
	pool := marked.Pools.Pools[0]
	pool.Members = append([]tabulator.Member(nil), pool.Members...)
	for i := range pool.Members {
		pool.Members[i].Leaving = pool.Members[i].Leaving || pool.Members[i].Name == name
	}
	marked.Pools.Pools = []tabulator.Pool{pool}
	f.snapshot = &marked
}

// node is a running dispatcher.
type node struct {
	*Dispatcher
	name identifier.Node
	stop context.CancelFunc
	done chan struct{}
}

const testPool identifier.Pool = "summariser"

// newFakeFleet returns a fleet with a prefill engine and two decode engines of 4 pieces.
func newFakeFleet(nodes ...identifier.Node) *fakeFleet {
	f := &fakeFleet{
		handlers:      map[string]http.Handler{},
		refusingHosts: map[string]bool{},
		silentHosts:   map[string]bool{},
		usedPieces:    map[identifier.Member]map[string]identifier.Pieces{},
	}
	for _, name := range nodes {
		f.view.Members = append(f.view.Members, assigner.Member{
			Node: name, Incarnation: 1, DataCentre: "plovdiv", PeerAddress: identifier.Address(name), State: assigner.Alive,
		})
	}
	members := []tabulator.Member{
		{Name: "p1", Address: "x", Role: identifier.Prefill, Pieces: 40},
		{Name: "d1", Address: "x", Role: identifier.Decode, Pieces: 4},
		{Name: "d2", Address: "x", Role: identifier.Decode, Pieces: 4},
	}
	pool := tabulator.Pool{Name: testPool, Kind: tabulator.Models, PieceTokens: 2000, KVBytesPerToken: 1, Members: members}
	f.snapshot = &tabulator.Snapshot{Number: 1, Pools: tabulator.Pools{Pools: []tabulator.Pool{pool}}}
	return f
}

func (f *fakeFleet) start(t *testing.T, name identifier.Node) *node {
	t.Helper()
	return f.startWithView(t, name, f.viewOf(name))
}

// startWithView starts a node whose view can differ from that of other nodes.
func (f *fakeFleet) startWithView(t *testing.T, name identifier.Node, view func() *assigner.View) *node {
	t.Helper()
	d := New(Options{
		Self:          name,
		View:          view,
		Snapshot:      f.currentSnapshot,
		PeerTransport: f,
		Engines:       f,
	})
	_, handler := d.Handler()
	f.mutex.Lock()
	f.handlers[string(name)] = handler
	f.mutex.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	n := &node{Dispatcher: d, name: name, stop: stop, done: make(chan struct{})}
	go func() {
		_ = d.Run(ctx)
		close(n.done)
	}()
	return n
}

// kill stops a node as in a crash: its last releases don't reach the other nodes.
func (f *fakeFleet) kill(n *node) {
	f.setFault(f.refusingHosts, string(n.name), true)
	n.options.PeerTransport = http.DefaultTransport
	n.stop()
	<-n.done
}

func newDemand(request string, attempt uint64) placer.Demand {
	return placer.Demand{
		Request: identifier.Request(request), Attempt: attempt, Pool: testPool, Account: "dealer",
		DataCentre: "plovdiv", Prompt: 1000, MaxOutput: 900, FirstTokenBudget: 2 * time.Second, MaxTokenInterval: 100 * time.Millisecond,
	}
}

// mustAcquire acquires a grant and fails the test if the demand is refused.
func (n *node) mustAcquire(t *testing.T, d placer.Demand) *placer.Placement {
	t.Helper()
	outcome := n.Acquire(t.Context(), d)
	if outcome.Placement == nil {
		t.Fatalf("%s was refused: %+v", d.Request, outcome.Refusal)
	}
	return outcome.Placement
}

// splitByOwner returns the shard's owner and the other nodes.
func (f *fakeFleet) splitByOwner(nodes ...*node) (*node, []*node) {
	name := f.viewOf(nodes[0].name)().Owner(shardID{pool: testPool}.String()).Node
	var owner *node
	var others []*node
	for _, n := range nodes {
		if n.name == name {
			owner = n
		} else {
			others = append(others, n)
		}
	}
	return owner, others
}

func TestAcquireFromEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet("n1", "n2", "n3")
		nodes := []*node{f.start(t, "n1"), f.start(t, "n2"), f.start(t, "n3")}
		time.Sleep(time.Second)
		for i, n := range nodes {
			d := newDemand(fmt.Sprint("r", i), 1)
			f.holdMemory(d, n.mustAcquire(t, d))
		}
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			if len(n.HeldGrants()) != 1 {
				t.Errorf("%s holds %v, want one grant", n.name, n.HeldGrants())
			}
			n.Release(n.HeldGrants()[0].Grant, placer.Result{Output: 10, Prefilled: true, Decoded: true})
		}
		time.Sleep(time.Second)
		owner, _ := f.splitByOwner(nodes...)
		if held := ownerGrants(owner); len(held) != 0 {
			t.Errorf("the owner still has the grants %v", held)
		}
		if cancelled := f.cancelledStreams(); len(cancelled) != 0 {
			t.Errorf("renewed grants were cancelled: %v", cancelled)
		}
		for _, n := range nodes {
			n.stop()
			<-n.done
		}
	})
}
