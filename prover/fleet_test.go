package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/server"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

const (
	callerHost   = "10.9.0.1"
	platformHost = "10.8.0.1"
	// settleTime is longer than every lease, suspicion timeout and clean-up.
	settleTime = 45 * time.Second
)

// fleet is a small deployment on an in-memory network.
type fleet struct {
	t        *testing.T
	size     shape
	network  *emulator.Network
	platform *emulator.Platform
	engines  map[string]*emulator.Engine
	services map[string]*emulator.Service
	routes   tabulator.Routes
	pools    tabulator.Pools
	// mutex guards nodes, which holds the latest process of each node, and stops.
	mutex  sync.Mutex
	nodes  map[string]*node
	stops  []func()
	caller *http.Client
	// differing is true if each engine generates different text.
	differing bool
	// writesBefore is the store's write count before the request under test.
	writesBefore int
}

// node is one process of a node.
type node struct {
	host   string
	name   string
	centre identifier.DataCentre
	server *server.Server
	// stop starts a graceful shutdown; ended is closed when the node has stopped.
	stop  context.CancelFunc
	ended chan struct{}
	// stopping is true once the process was killed or its shutdown has started.
	stopping atomic.Bool
}

// shape is the size and layout of a fleet.
type shape struct {
	nodes, prefills, decodes, services int
	// differing makes engines generate different tokens after the same text.
	differing bool
	// centres is the number of data centres; nodes, engines and services are
	// assigned to them round robin. Zero means one.
	centres int
}

var smallShape = shape{nodes: 3, prefills: 2, decodes: 2, services: 1}

// centreNames are the data centres; a fleet uses the first shape.centres of them.
var centreNames = []identifier.DataCentre{"south", "middle", "north"}

// centre returns the data centre of the node or backend server with index nth.
func (s shape) centre(nth int) identifier.DataCentre {
	return centreNames[nth%max(s.centres, 1)]
}

// runWithFleet runs a scenario on a new fleet in virtual time.
func runWithFleet(t *testing.T, size shape, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		defer f.close()
		scenario(t, f)
	})
}

func newFleet(t *testing.T, size shape) *fleet {
	f := &fleet{
		t:        t,
		size:     size,
		network:  emulator.NewNetwork(time.Millisecond),
		platform: emulator.NewPlatform(),
		engines:  map[string]*emulator.Engine{},
		services: map[string]*emulator.Service{},
		nodes:    map[string]*node{},

		differing: size.differing,
	}
	f.caller = &http.Client{Transport: f.network.Host(callerHost).Transport(connector.Limits{
		DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1000,
	})}
	f.serve(platformHost, f.platform)
	models := tabulator.Pool{
		Name: "summariser", Kind: tabulator.Models, PieceTokens: 16, KVBytesPerToken: 1 << 10, LesserShare: 0.2, QueueLimit: 64,
		RepeatableOutput: !size.differing,
	}
	for i := range size.prefills {
		models.Members = append(models.Members, f.startEngine(fmt.Sprintf("prefill-%d", i+1), fmt.Sprintf("10.1.1.%d", i+1), identifier.Prefill, size.centre(i)))
	}
	for i := range size.decodes {
		models.Members = append(models.Members, f.startEngine(fmt.Sprintf("decode-%d", i+1), fmt.Sprintf("10.1.2.%d", i+1), identifier.Decode, size.centre(i)))
	}
	desk := tabulator.Pool{Name: "desk", Kind: tabulator.Services}
	for i := range size.services {
		name, host := fmt.Sprintf("desk-%d", i+1), fmt.Sprintf("10.1.3.%d", i+1)
		f.services[name] = emulator.NewService(20 * time.Millisecond)
		f.serve(host, f.services[name])
		desk.Members = append(desk.Members, tabulator.Member{
			Name: identifier.Member(name), Address: identifier.Address(host + ":80"), Role: identifier.Service, DataCentre: size.centre(i),
		})
	}
	f.pools = tabulator.Pools{Pools: []tabulator.Pool{models, desk}}
	f.routes = tabulator.Routes{Routes: []tabulator.Route{
		{Name: "audit", Model: "bitacoras", Account: "audits", Pool: "summariser", Rank: identifier.Urgent, FirstToken: seconds(2), BetweenTokens: seconds(1), Timeout: seconds(120)},
		{Name: "weekly", Model: "bitacoras", Pool: "summariser", Rank: identifier.Lesser, FirstToken: seconds(10), BetweenTokens: seconds(2), Timeout: seconds(120)},
		{Name: "booking", Path: "/bookings", Method: "POST", Pool: "desk", Rank: identifier.Urgent, Timeout: seconds(10)},
		{Name: "history", Path: "/history", Pool: "desk", Rank: identifier.Urgent, Repeatable: true, Timeout: seconds(10)},
	}}
	f.putTables()
	for i := range size.nodes {
		f.startNode(fmt.Sprintf("node-%d", i+1))
	}
	f.waitReady()
	return f
}

func seconds(n int) tabulator.Duration {
	return tabulator.Duration(time.Duration(n) * time.Second)
}

// putTables writes the routes and pools tables to the platform.
func (f *fleet) putTables() {
	routes, _ := json.Marshal(f.routes)
	pools, _ := json.Marshal(f.pools)
	f.platform.Put("tables", "pools", pools)
	f.platform.Put("tables", "routes", routes)
}

func (f *fleet) startEngine(name, host string, role identifier.Role, centre identifier.DataCentre) tabulator.Member {
	address := identifier.Address(host + ":80")
	variant := ""
	if f.differing {
		variant = name
	}
	engine := emulator.NewEngine(emulator.EngineOptions{
		Name: identifier.Member(name), Address: address, Variant: variant,
		Pieces: 400, PieceTokens: 16, PrefillRate: 4000,
		TokenTime: 50 * time.Millisecond, Evict: 800 * time.Millisecond, Retain: 5 * time.Second,
		Lag: 500 * time.Millisecond, TransferTime: 10 * time.Millisecond,
		ChecksFencing: true, Poison: "poisoned",
		Transport: f.network.Host(host).Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1000}),
	})
	f.engines[name] = engine
	// Crash ends the streams that are still open when the fleet closes.
	f.onClose(engine.Crash)
	f.serve(host, engine)
	return tabulator.Member{
		Name: identifier.Member(name), Address: address, DataCentre: centre, Role: role,
		Pieces: 400, PrefillRate: 4000, LinkRate: 1 << 30, ChecksFencing: true,
	}
}

// serve runs the HTTP server of an emulator until the fleet closes.
func (f *fleet) serve(host string, handler http.Handler) {
	port := ":80"
	if host == platformHost {
		port = ":6443"
	}
	listener, err := f.network.Host(host).Listen(f.t.Context(), host+port)
	if err != nil {
		f.t.Fatal(err)
	}
	standin := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = standin.Serve(listener)
	}()
	f.onClose(func() {
		_ = standin.Close()
		<-ended
	})
}

const settingsText = `
[node]
name = "%[1]s"
data-centre = "%[3]s"
[callers]
listen = "%[2]s:8080"
[peers]
listen = "%[2]s:8081"
[operators]
listen = "%[2]s:9090"
[platform]
url = "http://` + platformHost + `:6443"
[membership]
seeds = ["10.0.0.1:8081", "10.0.0.2:8081", "10.0.0.3:8081"]
[ledger]
key-window = "10m"
[backends]
progress-timeout = "3s"
header-timeout = "2s"
`

// nodeHost returns the host of a node; ordinals start at one.
func nodeHost(ordinal int) string {
	return fmt.Sprintf("10.0.0.%d", ordinal)
}

// startNode starts a node, or a new process of a node that was killed.
func (f *fleet) startNode(name string) *node {
	ordinal, _ := strconv.Atoi(strings.TrimPrefix(name, "node-"))
	host, centre := nodeHost(ordinal), f.size.centre(ordinal-1)
	settings, faults := configurator.Parse([]byte(fmt.Sprintf(settingsText, name, host, centre)))
	if len(faults) > 0 {
		f.t.Fatal(faults.Error())
	}
	started := &node{host: host, name: name, centre: centre, ended: make(chan struct{})}
	started.server = server.New(server.Options{
		Settings:    settings,
		Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		Network:     f.network.Host(host),
		Log:         logger.New(f.t.Output(), logLevel, logger.Fields{"node": name}),
		Scope:       tally.NoopScope,
	})
	ctx, stop := context.WithCancel(context.Background())
	started.stop = stop
	go func() {
		defer close(started.ended)
		if err := started.server.Run(ctx); err != nil {
			f.t.Logf("%s ended: %v", name, err)
		}
	}()
	f.addNode(name, started)
	f.onClose(func() {
		stop()
		<-started.ended
	})
	return started
}

// kill simulates a crash: it cuts the node off the network before it stops it.
func (f *fleet) kill(name string) {
	f.node(name).stopping.Store(true)
	f.network.Kill(f.node(name).host)
	f.node(name).stop()
}

// running returns the nodes that were not killed or shut down, sorted by name.
func (f *fleet) running() []*node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var running []*node
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		if n := f.nodes[name]; !n.stopping.Load() {
			running = append(running, n)
		}
	}
	return running
}

// node returns the latest process of a node.
func (f *fleet) node(name string) *node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodes[name]
}

func (f *fleet) addNode(name string, n *node) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes[name] = n
}

// onClose registers a function that close runs, in reverse order of registration.
func (f *fleet) onClose(do func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stops = append(f.stops, do)
}

// waitReady waits until every node has a configuration and sees all other nodes
// as alive with a configuration.
func (f *fleet) waitReady() {
	f.waitFor("nodes ready", func() bool {
		nodes := f.running()
		for _, n := range nodes {
			if n.server.Configuration() == 0 || countServing(n.server.View()) < len(nodes) {
				return false
			}
		}
		return true
	})
}

func countAlive(view *assigner.View) int {
	count := 0
	for _, member := range view.Members {
		if member.State == assigner.Alive {
			count++
		}
	}
	return count
}

// countServing counts the members that a view lists as alive with a configuration.
func countServing(view *assigner.View) int {
	count := 0
	for _, member := range view.Members {
		if member.State == assigner.Alive && member.Configuration > 0 {
			count++
		}
	}
	return count
}

// waitFor polls until condition returns true; it fails after 2 virtual minutes.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(2 * time.Minute)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// close stops the fleet; a synctest bubble must end without running goroutines.
func (f *fleet) close() {
	f.network.Heal()
	f.network.Close()
	f.caller.CloseIdleConnections()
	f.mutex.Lock()
	stops := slices.Clone(f.stops)
	f.mutex.Unlock()
	for _, stop := range slices.Backward(stops) {
		stop()
	}
	f.network.Close()
	// Dials in progress end with their timeouts.
	time.Sleep(time.Minute)
}

func address(n *node) string {
	return net.JoinHostPort(n.host, "8080")
}
