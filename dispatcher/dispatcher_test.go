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

// fabric is an in-memory network between dispatchers, and their engines.
type fabric struct {
	mutex    sync.Mutex
	handlers map[string]http.Handler
	// refusing hosts answer with an error, silent ones never.
	refusing map[string]bool
	silent   map[string]bool
	view     assigner.View
	snapshot *tabulator.Snapshot
	// memory is what each engine holds, by request and attempt.
	memory    map[identifier.Member]map[string]identifier.Pieces
	cancelled []string
	// stubborn is how many cancels the engines still refuse.
	stubborn int
	// closings counts how often all idle connections were closed.
	closings int
}

func (f *fabric) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mutex.Lock()
	handler, refusing, silent := f.handlers[r.URL.Host], f.refusing[r.URL.Host], f.silent[r.URL.Host]
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

func (f *fabric) Load(_ context.Context, _ identifier.Pool, member tabulator.Member, _ placer.CachePosition) (placer.Load, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	load := placer.Load{Free: member.Pieces}
	for _, pieces := range f.memory[member.Name] {
		load.Free -= pieces
	}
	return load, nil
}

func (f *fabric) Cancel(_ context.Context, _ identifier.Pool, member tabulator.Member, request identifier.Request, stream, _ uint64) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stubborn > 0 {
		f.stubborn--
		return errors.New("engine busy")
	}
	name := fmt.Sprintf("%s/%d", request, stream)
	delete(f.memory[member.Name], name)
	f.cancelled = append(f.cancelled, string(member.Name)+" "+name)
	return nil
}

// run makes an engine hold the memory of a placement.
func (f *fabric) run(demand placer.Demand, placed *placer.Placement) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.memory[placed.Decode] == nil {
		f.memory[placed.Decode] = map[string]identifier.Pieces{}
	}
	f.memory[placed.Decode][fmt.Sprintf("%s/%d", demand.Request, placed.Stream)] = placed.Pieces
}

// holds counts the requests that an engine holds memory for.
func (f *fabric) holds(engine identifier.Member) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.memory[engine])
}

func (f *fabric) cancels() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.cancelled...)
}

// CloseIdleConnections counts the calls.
func (f *fabric) CloseIdleConnections() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closings++
}

func (f *fabric) set(hosts map[string]bool, node string, value bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	hosts[node] = value
}

// state changes a node's state in everybody's view.
func (f *fabric) state(node identifier.Node, state assigner.State) {
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

func (f *fabric) viewOf(node identifier.Node) func() *assigner.View {
	return func() *assigner.View {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		view := f.view
		view.Self, _ = view.Find(node)
		return &view
	}
}

func (f *fabric) current() *tabulator.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot
}

// leave marks a member as leaving in a snapshot of the same number.
func (f *fabric) leave(name identifier.Member) {
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

// node is one running dispatcher of a test.
type node struct {
	*Dispatcher
	name identifier.Node
	stop context.CancelFunc
	done chan struct{}
}

const testPool identifier.Pool = "summariser"

// newFabric describes two decode engines of four pieces and a prefill engine.
func newFabric(nodes ...identifier.Node) *fabric {
	f := &fabric{
		handlers: map[string]http.Handler{},
		refusing: map[string]bool{},
		silent:   map[string]bool{},
		memory:   map[identifier.Member]map[string]identifier.Pieces{},
	}
	for _, name := range nodes {
		f.view.Members = append(f.view.Members, assigner.Member{
			Node: name, Incarnation: 1, DataCentre: "plovdiv", Peers: identifier.Address(name), State: assigner.Alive,
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

func (f *fabric) start(t *testing.T, name identifier.Node) *node {
	t.Helper()
	return f.restart(t, name, f.viewOf(name))
}

// restart starts a node with a view of its own.
func (f *fabric) restart(t *testing.T, name identifier.Node, view func() *assigner.View) *node {
	t.Helper()
	d := New(Options{
		Self:     name,
		View:     view,
		Snapshot: f.current,
		Peers:    f,
		Engines:  f,
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

// kill ends a node as if its process died: nothing it says arrives any more.
func (f *fabric) kill(n *node) {
	f.set(f.refusing, string(n.name), true)
	n.options.Peers = http.DefaultTransport
	n.stop()
	<-n.done
}

func demand(request string, attempt uint64) placer.Demand {
	return placer.Demand{
		Request: identifier.Request(request), Attempt: attempt, Pool: testPool, Account: "dealer",
		DataCentre: "plovdiv", Prompt: 1000, MaxOutput: 900, FirstTokenBudget: 2 * time.Second, MaxTokenInterval: 100 * time.Millisecond,
	}
}

// placed acquires and fails the test when the demand is refused.
func (n *node) placed(t *testing.T, d placer.Demand) *placer.Placement {
	t.Helper()
	outcome := n.Acquire(t.Context(), d)
	if outcome.Placement == nil {
		t.Fatalf("%s was refused: %+v", d.Request, outcome.Refusal)
	}
	return outcome.Placement
}

// owner splits nodes into the shard's owner and the others.
func (f *fabric) owner(nodes ...*node) (*node, []*node) {
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
		f := newFabric("n1", "n2", "n3")
		nodes := []*node{f.start(t, "n1"), f.start(t, "n2"), f.start(t, "n3")}
		time.Sleep(time.Second)
		for i, n := range nodes {
			d := demand(fmt.Sprint("r", i), 1)
			f.run(d, n.placed(t, d))
		}
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			if len(n.Held()) != 1 {
				t.Errorf("%s holds %v, want one grant", n.name, n.Held())
			}
			n.Release(n.Held()[0].Grant, placer.Result{Output: 10, Prefilled: true, Decoded: true})
		}
		time.Sleep(time.Second)
		owner, _ := f.owner(nodes...)
		if held := booked(owner); len(held) != 0 {
			t.Errorf("the owner still books %v", held)
		}
		if cancelled := f.cancels(); len(cancelled) != 0 {
			t.Errorf("renewed grants were cancelled: %v", cancelled)
		}
		for _, n := range nodes {
			n.stop()
			<-n.done
		}
	})
}
