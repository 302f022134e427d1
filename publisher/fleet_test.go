package publisher_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// hop is the time of one call between nodes.
const hop = time.Millisecond

// pipeListener accepts in-memory connections.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.connections <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
}

// fleet is a number of nodes before one platform. All of it lives in one bubble.
type fleet struct {
	t        testing.TB
	platform *emulator.Platform
	store    storer.Store
	ctx      context.Context

	mutex sync.Mutex
	nodes map[identifier.Address]*node
	order []*node
	// bytes counts the bodies between nodes, calls their number.
	bytes, calls int
	// cut tells which calls fail.
	cut func(from, to *node) bool
	// log takes the events of all nodes; nil drops them.
	log *logger.Logger
}

// node is one running publisher and what a checker saw of it.
type node struct {
	fleet  *fleet
	member assigner.Member
	*publisher.Publisher
	// store, when set, replaces the fleet's.
	store storer.Store
	stop  context.CancelFunc
	ended chan struct{}
	// numbers are the configurations in force, in order, over all restarts;
	// starts are the positions at which the process began anew.
	numbers []identifier.Configuration
	starts  []int
	at      map[identifier.Configuration]time.Time
	up      bool
}

func newFleet(t testing.TB, dataCentres, perCentre int) *fleet {
	f := &fleet{t: t, platform: emulator.NewPlatform(), nodes: map[identifier.Address]*node{}}
	f.setCut(nil)
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: f.platform}
	served := make(chan struct{})
	go func() { _ = server.Serve(listener); close(served) }()
	transport := &http.Transport{DialContext: listener.dial}
	f.store = storer.NewClient(storer.ClientOptions{
		URL: "http://platform", Transport: transport, CallTimeout: time.Second, WatchSilence: 5 * time.Second,
	})
	for d := range dataCentres {
		for n := range perCentre {
			f.add(identifier.DataCentre(fmt.Sprintf("dc%d", d)), n)
		}
	}
	t.Cleanup(func() {
		f.platform.SetFaults(emulator.PlatformFaults{})
		for _, node := range f.order {
			node.kill()
		}
		cancel()
		transport.CloseIdleConnections()
		_ = server.Close()
		<-served
		f.platform.Wait()
		synctest.Wait()
	})
	return f
}

// setCut replaces which calls between nodes fail.
func (f *fleet) setCut(cut func(from, to *node) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut = cut
}

func (f *fleet) add(dataCentre identifier.DataCentre, n int) {
	name := fmt.Sprintf("%s-n%02d", dataCentre, n)
	made := &node{fleet: f, at: map[identifier.Configuration]time.Time{}}
	made.member = assigner.Member{
		Node: identifier.Node(name), DataCentre: dataCentre,
		PeerAddress: identifier.Address(name + ":1"), State: assigner.Alive,
	}
	f.nodes[made.member.PeerAddress] = made
	f.order = append(f.order, made)
}

func (f *fleet) start() {
	for _, node := range f.order {
		node.start()
	}
}

// view is every node's perfect view; dead nodes leave it at once.
func (f *fleet) view(of *node) *assigner.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view := &assigner.View{Self: of.member}
	for _, node := range f.order {
		if node.up {
			view.Members = append(view.Members, node.member)
		}
	}
	return view
}

func (n *node) start() {
	ctx, stop := context.WithCancel(n.fleet.ctx)
	n.stop, n.ended = stop, make(chan struct{})
	store := n.fleet.store
	if n.store != nil {
		store = n.store
	}
	started := publisher.New(publisher.Options{
		Self: n.member.Node, DataCentre: n.member.DataCentre, Store: store, Log: n.fleet.log,
		View: func() *assigner.View { return n.fleet.view(n) }, Peers: n,
		InForce: func(s *tabulator.Snapshot) {
			if ctx.Err() != nil {
				return // A killed process takes a late push.
			}
			n.fleet.mutex.Lock()
			defer n.fleet.mutex.Unlock()
			n.numbers = append(n.numbers, s.Number)
			n.at[s.Number] = time.Now()
		},
	})
	n.fleet.mutex.Lock()
	n.up = true
	n.starts = append(n.starts, len(n.numbers))
	n.Publisher = started
	n.fleet.mutex.Unlock()
	ended := n.ended
	go func() { _ = started.Run(ctx); close(ended) }()
}

func (n *node) kill() {
	n.fleet.mutex.Lock()
	was := n.up
	n.up = false
	n.fleet.mutex.Unlock()
	if was {
		n.stop()
		<-n.ended
	}
}

// RoundTrip carries a call of the node to a peer in the same process.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	f := n.fleet
	time.Sleep(hop)
	f.mutex.Lock()
	to := f.nodes[identifier.Address(r.URL.Host)]
	var handler http.Handler
	if to != nil && to.up {
		_, handler = to.Handler()
	}
	lost := to == nil || !to.up || !n.up || f.cut != nil && f.cut(n, to)
	f.mutex.Unlock()
	if lost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, _ := io.ReadAll(r.Body)
	copied := r.Clone(r.Context())
	copied.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, copied)
	var wire bytes.Buffer
	copied.Body = io.NopCloser(bytes.NewReader(body))
	_ = copied.Write(&wire)
	response := recorder.Result()
	_ = response.Write(&wire)
	response.Body = io.NopCloser(bytes.NewReader(recorder.Body.Bytes()))
	f.mutex.Lock()
	f.bytes += wire.Len()
	f.calls++
	f.mutex.Unlock()
	time.Sleep(hop)
	return response, nil
}

// everywhere tells whether all running nodes have a number or a larger one.
func (f *fleet) everywhere(number identifier.Configuration) bool {
	for _, node := range f.order {
		if node.up && (node.Snapshot() == nil || node.Snapshot().Number < number) {
			return false
		}
	}
	return true
}

// await advances time until a condition holds, or fails.
func (f *fleet) await(what string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
	}
	synctest.Wait()
}

// falls lists the nodes on a process of which a number fell or came twice.
func (f *fleet) falls() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var falls []string
	for _, node := range f.order {
		for i := 1; i < len(node.numbers); i++ {
			if node.numbers[i] <= node.numbers[i-1] && !slices.Contains(node.starts, i) {
				falls = append(falls, fmt.Sprintf("node %s went %v", node.member.Node, node.numbers))
			}
		}
	}
	return falls
}

func (f *fleet) checkMonotonic() {
	f.t.Helper()
	for _, fall := range f.falls() {
		f.t.Error(fall)
	}
}

// inForceAt returns when a node had a configuration in force.
func (f *fleet) inForceAt(n *node, number identifier.Configuration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return n.at[number]
}

// pools returns a pools table whose desk has a member of the given names.
func pools(members ...string) *tabulator.Pools {
	desk := tabulator.Pool{Name: "desk", Kind: tabulator.Services}
	for _, member := range members {
		desk.Members = append(desk.Members, tabulator.Member{
			Name: identifier.Member(member), Address: "127.0.0.1:1", Role: identifier.Service,
		})
	}
	return &tabulator.Pools{Pools: []tabulator.Pool{desk}}
}

// routes returns a routes table with one route to a pool.
func routes(name, pool string) *tabulator.Routes {
	return &tabulator.Routes{Routes: []tabulator.Route{{Name: identifier.Route(name), Pool: identifier.Pool(pool)}}}
}

func (f *fleet) request(r *tabulator.Routes, p *tabulator.Pools) publisher.ApplyRequest {
	return publisher.ApplyRequest{Routes: r, Pools: p}
}

func (n *node) apply(r *tabulator.Routes, p *tabulator.Pools) publisher.ApplyOutcome {
	return n.Apply(n.fleet.ctx, n.fleet.request(r, p))
}

func (f *fleet) wantState(got publisher.ApplyOutcome, want publisher.ApplyState) publisher.ApplyOutcome {
	f.t.Helper()
	if got.State != want {
		f.t.Fatalf("apply: got %+v, want %s", got, want)
	}
	return got
}
