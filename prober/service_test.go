package prober_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/prober"
)

// network connects listeners by address through pipes that can be silenced.
type network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	conns     []*conn
}

type listener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { close(l.closed); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// conn discards what is written once it is silent, and returns no error.
type conn struct {
	net.Conn
	from, to string
	mutex    sync.Mutex
	silent   bool
}

func (c *conn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	silent := c.silent
	c.mutex.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (n *network) listen(address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := &listener{address, make(chan net.Conn), make(chan struct{})}
	n.listeners[address] = l
	return l
}

// networkOf returns the network as seen from one node.
func (n *network) networkOf(node string) connector.Network {
	return connector.Network{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mutex.Lock()
		l := n.listeners[address]
		n.mutex.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		c := &conn{Conn: near, from: node, to: address}
		n.mutex.Lock()
		n.conns = append(n.conns, c)
		n.mutex.Unlock()
		select {
		case l.accepted <- far:
			return c, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
}

// silence makes the open connections of a node discard what it writes.
func (n *network) silence(node string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, c := range n.conns {
		if c.from == node {
			c.mutex.Lock()
			c.silent = true
			c.mutex.Unlock()
		}
	}
}

type node struct {
	*prober.Prober
	stop     func()
	received chan string
	// ages has the age of each message in received.
	ages chan time.Duration
}

func (n *network) start(name string, transport *connector.Transport) *node {
	limits := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 2}
	p := prober.New(prober.Options{
		Self: assigner.Member{
			Node: identifier.Node(name), Incarnation: identifier.Incarnation(time.Now().UnixNano()),
			PeerAddress: identifier.Address(name + ":1"), CallerAddress: identifier.Address(name + ":2"),
		},
		Seeds:        []identifier.Address{"a:1", "b:1"},
		Transport:    transport,
		NewTransport: func() http.RoundTripper { return n.networkOf(name).Transport(limits) },
	})
	started := &node{Prober: p, received: make(chan string, 8), ages: make(chan time.Duration, 8)}
	p.SubscribeWithAge("topic", func(payload []byte, age time.Duration) {
		started.received <- string(payload)
		started.ages <- age
	})
	prefix, handler := p.Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	server := &http.Server{Handler: mux}
	l := n.listen(name + ":1")
	served, ran := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { served <- server.Serve(l) }()
	go func() { ran <- p.Run(ctx) }()
	started.stop = func() {
		cancel()
		<-ran
		_ = server.Close()
		<-served
		transport.CloseIdleConnections()
	}
	return started
}

// TestFleetOverHTTP runs four nodes over HTTP. They join, still see each other as alive
// after connections went silent, receive a rumour, and see one node leave and end.
func TestFleetOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{listeners: map[string]*listener{}}
		nodes := map[string]*node{}
		for _, name := range []string{"a", "b", "c", "d"} {
			limits := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 2}
			nodes[name] = n.start(name, n.networkOf(name).Transport(limits))
			<-nodes[name].Joined()
		}
		time.Sleep(2 * time.Second)
		expect := func(of identifier.Node, want assigner.State, by ...string) {
			t.Helper()
			for _, name := range by {
				if member, _ := nodes[name].View().Find(of); member.State != want {
					t.Errorf("%s sees %s %q, want %q", name, of, member.State, want)
				}
			}
		}
		expect("a", assigner.Alive, "a", "b", "c", "d")
		expect("d", assigner.Alive, "a", "b", "c", "d")
		n.silence("b")
		time.Sleep(20 * time.Second)
		expect("b", assigner.Alive, "a", "c", "d")
		expect("c", assigner.Alive, "b")
		nodes["b"].Broadcast("topic", []byte("once"))
		nodes["c"].AnnounceConfiguration(3)
		time.Sleep(5 * time.Second)
		for name, each := range nodes {
			if len(each.received) != 1 {
				t.Errorf("%s received %d rumours", name, len(each.received))
			}
			if member, _ := each.View().Find("c"); member.Configuration != 3 {
				t.Errorf("%s sees configuration %d of c", name, member.Configuration)
			}
		}
		if err := nodes["d"].Leave(t.Context()); err != nil {
			t.Error(err)
		}
		expect("d", assigner.Leaving, "a", "b", "c", "d")
		for _, name := range []string{"d", "c", "b", "a"} {
			nodes[name].stop()
			if name == "d" {
				time.Sleep(time.Second)
				expect("d", assigner.Dead, "a", "b", "c")
			}
		}
	})
}

// TestMessagesTellTheirAge guards against observations that look new to a node that joins
// minutes later.
func TestMessagesTellTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{listeners: map[string]*listener{}}
		limits := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 2}
		start := func(name string) *node {
			started := n.start(name, n.networkOf(name).Transport(limits))
			<-started.Joined()
			return started
		}
		a, b := start("a"), start("b")
		defer a.stop()
		defer b.stop()
		a.Broadcast("topic", []byte("once"))
		sent := time.Now()
		for name, each := range map[string]*node{"a": a, "b": b} {
			if age := <-each.ages; age > time.Second {
				t.Errorf("age %v at %s", age, name)
			}
		}
		time.Sleep(time.Minute)
		late := start("c")
		defer late.stop()
		if age, want := <-late.ages, time.Since(sent); (age - want).Abs() > time.Second {
			t.Errorf("age %v at the node that joined, want %v", age, want)
		}
	})
}

// TestViewSuspendedAfterPause checks that the first view after a pause owns no shards,
// even before a timer of the paused process has run.
func TestViewSuspendedAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := prober.New(prober.Options{Self: assigner.Member{Node: "a", PeerAddress: "a:1"}})
		ctx, cancel := context.WithCancel(t.Context())
		ran := make(chan error, 1)
		go func() { ran <- p.Run(ctx) }()
		synctest.Wait()
		if p.View().Suspended {
			t.Error("suspended without a pause")
		}
		cancel()
		<-ran
		time.Sleep(3 * time.Second) // Run has ended, so no tick runs, as in a paused process.
		if !p.View().Suspended {
			t.Error("not suspended after a pause")
		}
	})
}
