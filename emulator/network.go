package emulator

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
)

// Network is an in-memory network with fault injection, for tests with a fake
// clock. A host is the IP part of an address.
type Network struct {
	mutex     sync.Mutex
	latency   time.Duration
	listeners map[string]*memoryListener
	// links holds every connection, also those closed by one end.
	links map[*link]struct{}
	// silenced holds the connections that Silence blocked for good.
	silenced []*link
	// cuts holds the directed pairs of hosts whose traffic is blocked.
	cuts map[direction]bool
	// generations counts the kills of each host. A process of an earlier generation
	// can no longer dial or listen.
	generations map[string]int
	slow        map[string]time.Duration
	// hostLinks holds the hosts whose link has a limited rate.
	hostLinks map[string]*hostLink
}

type direction struct {
	from, to string
}

// link is one connection between two hosts.
type link struct {
	client, server string
	// toServer and toClient carry the bytes of the two directions.
	toServer, toClient *pipe
}

// NewNetwork returns a network with the given one-way latency.
func NewNetwork(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		listeners: map[string]*memoryListener{},
		links:     map[*link]struct{}{},
		cuts:      map[direction]bool{},

		generations: map[string]int{},
		slow:        map[string]time.Duration{},
		hostLinks:   map[string]*hostLink{},
	}
}

// Host returns network access for a process on the host; it fails after Kill.
func (n *Network) Host(host string) connector.Network {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	generation := n.generations[host]
	return connector.Network{
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			if !n.isCurrent(host, generation) {
				return nil, refusedDial()
			}
			return n.dial(ctx, host, address)
		},
		Listen: func(_ context.Context, address string) (net.Listener, error) {
			if !n.isCurrent(host, generation) {
				return nil, net.ErrClosed
			}
			return n.listen(address)
		},
	}
}

func (n *Network) isCurrent(host string, generation int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.generations[host] == generation
}

func refusedDial() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

func (n *Network) listen(address string) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	listener := &memoryListener{network: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener, nil
}

// dial opens a connection. If either direction is cut, it blocks until ctx ends.
func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mutex.Lock()
	listener, listening := n.listeners[address]
	cut := n.cuts[direction{from, to}] || n.cuts[direction{to, from}]
	round := 2 * n.delay(from, to)
	n.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	if !pause(ctx, round) || !listening {
		return nil, refusedDial()
	}
	opened := &link{client: from, server: to, toServer: newPipe(), toClient: newPipe()}
	near := &memoryConn{network: n, link: opened, in: opened.toClient, out: opened.toServer, local: from, remote: address, reserve: n.passageFunc(from, to)}
	far := &memoryConn{network: n, link: opened, in: opened.toServer, out: opened.toClient, local: address, remote: from, reserve: n.passageFunc(to, from)}
	n.mutex.Lock()
	n.links[opened] = struct{}{}
	n.mutex.Unlock()
	select {
	case listener.accept <- far:
		return near, nil
	case <-listener.closed:
	case <-ctx.Done():
	}
	n.removeLink(opened)
	return nil, refusedDial()
}

// delay returns the one-way delay between two hosts. The caller must hold the mutex.
func (n *Network) delay(from, to string) time.Duration {
	return n.latency + n.slow[from] + n.slow[to]
}

func (n *Network) removeLink(closed *link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.links, closed)
}

// Slow sets an extra one-way delay for all traffic of a host; zero removes it.
func (n *Network) Slow(host string, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.slow[host] = delay
}

// Kill resets all connections of a host and closes its listeners, as if its
// process ended. A new process needs a new call of Host.
func (n *Network) Kill(host string) {
	n.mutex.Lock()
	n.generations[host]++
	for open := range n.links {
		if open.client == host || open.server == host {
			open.fail()
			delete(n.links, open)
		}
	}
	var ended []*memoryListener
	for address, listener := range n.listeners {
		if hostOf(address) == host {
			ended = append(ended, listener)
		}
	}
	n.mutex.Unlock()
	for _, listener := range ended {
		_ = listener.Close()
	}
}

// Close resets all connections, which unblocks their readers at the end of a test.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for open := range n.links {
		open.fail()
	}
	for _, open := range n.silenced {
		open.fail()
	}
}

func (l *link) fail() {
	l.toClient.fail(syscall.ECONNRESET)
	l.toServer.fail(syscall.ECONNRESET)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// CutOneWay blocks traffic from one host to another until Heal. Dials between
// them block in both directions.
func (n *Network) CutOneWay(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[direction{from, to}] = true
	n.applyCuts()
}

// Cut blocks the traffic between two hosts in both directions until Heal.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal removes all cuts; blocked data is then delivered.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts = map[direction]bool{}
	n.applyCuts()
}

// applyCuts blocks or unblocks each connection by the cuts. The caller must hold the mutex.
func (n *Network) applyCuts() {
	for open := range n.links {
		open.toServer.setHeld(n.cuts[direction{open.client, open.server}])
		open.toClient.setHeld(n.cuts[direction{open.server, open.client}])
	}
}

// Silence permanently blocks delivery on the open connections between two hosts.
// New connections work.
func (n *Network) Silence(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for open := range n.links {
		if open.client == a && open.server == b || open.client == b && open.server == a {
			open.toServer.setHeld(true)
			open.toClient.setHeld(true)
			delete(n.links, open)
			n.silenced = append(n.silenced, open)
		}
	}
}

type memoryListener struct {
	network *Network
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

type memoryAddr string

// Network names the kind of address.
func (memoryAddr) Network() string { return "tcp" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
