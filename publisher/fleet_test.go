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

// hopDelay is the one-way delay of a call between nodes.
const hopDelay = time.Millisecond

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
	clientSide, serverSide := net.Pipe()
	select {
	case l.connections <- serverSide:
		return clientSide, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
}

// fleet is a set of nodes that share one platform within one synctest bubble.
type fleet struct {
	t        testing.TB
	platform *emulator.Platform
	store    storer.Store
	ctx      context.Context

	mutex sync.Mutex
	nodes map[identifier.Address]*node
	order []*node
	// bytes and calls count the traffic between nodes, headers included.
	bytes, calls int
	// partitioned reports whether a call fails. It may be nil.
	partitioned func(from, to *node) bool
	// log receives the events of all nodes. It may be nil.
	log *logger.Logger
}

// node is one publisher and the configurations it activated.
type node struct {
	fleet  *fleet
	member assigner.Member
	*publisher.Publisher
	// store overrides the fleet's store if not nil.
	store   storer.Store
	stop    context.CancelFunc
	stopped chan struct{}
	// activeNumbers lists the activated configurations over all restarts.
	// restartPositions are the indexes in activeNumbers at which the node restarted.
	activeNumbers    []identifier.Configuration
	restartPositions []int
	activationTimes  map[identifier.Configuration]time.Time
	up               bool
}

func newFleet(t testing.TB, dataCentres, perDataCentre int) *fleet {
	f := &fleet{t: t, platform: emulator.NewPlatform(), nodes: map[identifier.Address]*node{}}
	f.setPartition(nil)
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: f.platform}
	served := make(chan struct{})
	go func() { _ = server.Serve(listener); close(served) }()
	transport := &http.Transport{DialContext: listener.dial}
	f.store = storer.NewClient(storer.ClientOptions{
		URL: "http://platform", Transport: transport, CallTimeout: time.Second, WatchIdleTimeout: 5 * time.Second,
	})
	for d := range dataCentres {
		for n := range perDataCentre {
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

func (f *fleet) setPartition(partitioned func(from, to *node) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.partitioned = partitioned
}

func (f *fleet) add(dataCentre identifier.DataCentre, n int) {
	name := fmt.Sprintf("%s-n%02d", dataCentre, n)
	added := &node{fleet: f, activationTimes: map[identifier.Configuration]time.Time{}}
	added.member = assigner.Member{
		Node: identifier.Node(name), DataCentre: dataCentre,
		PeerAddress: identifier.Address(name + ":1"), State: assigner.Alive,
	}
	f.nodes[added.member.PeerAddress] = added
	f.order = append(f.order, added)
}

func (f *fleet) start() {
	for _, node := range f.order {
		node.start()
	}
}

// view returns a view with exactly the running nodes.
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
	n.stop, n.stopped = stop, make(chan struct{})
	store := n.fleet.store
	if n.store != nil {
		store = n.store
	}
	started := publisher.New(publisher.Options{
		Self: n.member.Node, DataCentre: n.member.DataCentre, Store: store, Log: n.fleet.log,
		View: func() *assigner.View { return n.fleet.view(n) }, PeerTransport: n,
		OnActivated: func(s *tabulator.Snapshot) {
			if ctx.Err() != nil {
				return // Ignore a push that arrives after the node was killed.
			}
			n.fleet.mutex.Lock()
			defer n.fleet.mutex.Unlock()
			n.activeNumbers = append(n.activeNumbers, s.Number)
			n.activationTimes[s.Number] = time.Now()
		},
	})
	n.fleet.mutex.Lock()
	n.up = true
	n.restartPositions = append(n.restartPositions, len(n.activeNumbers))
	n.Publisher = started
	n.fleet.mutex.Unlock()
	ended := n.stopped
	go func() { _ = started.Run(ctx); close(ended) }()
}

func (n *node) kill() {
	n.fleet.mutex.Lock()
	wasUp := n.up
	n.up = false
	n.fleet.mutex.Unlock()
	if wasUp {
		n.stop()
		<-n.stopped
	}
}

// RoundTrip serves a call from this node by the peer's handler.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	f := n.fleet
	time.Sleep(hopDelay)
	f.mutex.Lock()
	to := f.nodes[identifier.Address(r.URL.Host)]
	var handler http.Handler
	if to != nil && to.up {
		_, handler = to.Handler()
	}
	failed := to == nil || !to.up || !n.up || f.partitioned != nil && f.partitioned(n, to)
	f.mutex.Unlock()
	if failed {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, _ := io.ReadAll(r.Body)
	clone := r.Clone(r.Context())
	clone.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, clone)
	var wire bytes.Buffer
	clone.Body = io.NopCloser(bytes.NewReader(body))
	_ = clone.Write(&wire)
	response := recorder.Result()
	_ = response.Write(&wire)
	response.Body = io.NopCloser(bytes.NewReader(recorder.Body.Bytes()))
	f.mutex.Lock()
	f.bytes += wire.Len()
	f.calls++
	f.mutex.Unlock()
	time.Sleep(hopDelay)
	return response, nil
}

// activeEverywhere reports whether all running nodes have at least the number.
func (f *fleet) activeEverywhere(number identifier.Configuration) bool {
	for _, node := range f.order {
		if node.up && (node.Snapshot() == nil || node.Snapshot().Number < number) {
			return false
		}
	}
	return true
}

// await waits until a condition is true and fails the test after the limit.
func (f *fleet) await(what string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
	}
	synctest.Wait()
}

// numberRegressions lists nodes that activated a number twice or a smaller one,
// other than after a restart.
func (f *fleet) numberRegressions() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var regressions []string
	for _, node := range f.order {
		for i := 1; i < len(node.activeNumbers); i++ {
			if node.activeNumbers[i] <= node.activeNumbers[i-1] && !slices.Contains(node.restartPositions, i) {
				regressions = append(regressions, fmt.Sprintf("node %s activated %v", node.member.Node, node.activeNumbers))
			}
		}
	}
	return regressions
}

func (f *fleet) checkMonotonic() {
	f.t.Helper()
	for _, regression := range f.numberRegressions() {
		f.t.Error(regression)
	}
}

func (f *fleet) activatedAt(n *node, number identifier.Configuration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return n.activationTimes[number]
}

// pools returns a pools table with a pool "desk" of the named members.
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
