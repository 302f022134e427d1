// Package gauger measures what membership costs a node: it runs nodes on the
// loopback interface of one process and counts their bytes, processor time and
// memory. The figures are slopes for docs/CAPACITY.md.
package gauger

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/prober"
)

// Options says what is measured.
type Options struct {
	// Nodes is how many nodes run.
	Nodes int
	// Settle is the time between the start and the measurement, Window the
	// length of each measurement.
	Settle time.Duration
	Window time.Duration
	// Interval is the probe interval; zero is the prober's default.
	Interval time.Duration
}

// Cost is what a node spent in one window, averaged over the nodes.
type Cost struct {
	// BytesPerSecond counts what a node sends and receives over TCP, without the
	// headers of TCP and IP.
	BytesPerSecond float64
	// WritesPerSecond counts a node's writes to its connections, about as many as
	// the segments it sends.
	WritesPerSecond float64
	// CorePercent is the processor time as a share of one core.
	CorePercent float64
	// DialsPerSecond counts a node's new connections.
	DialsPerSecond float64
}

// Result is what was measured.
type Result struct {
	Nodes int
	// Start is the time until all nodes saw all.
	Start time.Duration
	// Idle is a window without events, Configuration one in which every node
	// announces a new number once, Restart one in which a node leaves and another
	// starts in its place.
	Idle          Cost
	Configuration Cost
	Restart       Cost
	// HeapBytes and StackBytes are in use for each node, Goroutines run for it and
	// Connections are those it keeps, opened by either side.
	HeapBytes   float64
	StackBytes  float64
	Goroutines  float64
	Connections float64
	// Rumour is the time until a rumour was heard by all nodes.
	Rumour time.Duration
}

// Measure runs the nodes and measures them.
func Measure(ctx context.Context, options Options) (Result, error) {
	bare := usage()
	f := &fleet{options: options, heard: make(chan struct{}, options.Nodes)}
	defer f.stop()
	began := time.Now()
	if err := f.start(ctx); err != nil {
		return Result{}, err
	}
	if err := f.awaitAll(ctx); err != nil {
		return Result{}, err
	}
	result := Result{Nodes: options.Nodes, Start: time.Since(began)}
	if err := pause(ctx, options.Settle); err != nil {
		return Result{}, err
	}
	var err error
	if result.Idle, err = f.window(ctx, func() error { return nil }); err != nil {
		return Result{}, err
	}
	f.measureMemory(bare, &result)
	if result.Configuration, err = f.window(ctx, f.announce); err != nil {
		return Result{}, err
	}
	if result.Rumour, err = f.rumour(ctx); err != nil {
		return Result{}, err
	}
	if result.Restart, err = f.window(ctx, func() error { return f.restart(ctx) }); err != nil {
		return Result{}, err
	}
	return result, nil
}

// memory is what the process holds.
type memory struct {
	heap, stack float64
	goroutines  float64
}

func usage() memory {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memory{float64(stats.HeapAlloc), float64(stats.StackInuse), float64(runtime.NumGoroutine())}
}

func (f *fleet) measureMemory(bare memory, result *Result) {
	used := usage()
	nodes := float64(f.options.Nodes)
	result.HeapBytes = (used.heap - bare.heap) / nodes
	result.StackBytes = (used.stack - bare.stack) / nodes
	result.Goroutines = (used.goroutines - bare.goroutines) / nodes
	result.Connections = 2 * float64(f.counts.open.Load()) / nodes
}

// window lets something happen and measures the nodes meanwhile.
func (f *fleet) window(ctx context.Context, event func() error) (Cost, error) {
	bytes, writes, dials := f.counts.bytes.Load(), f.counts.writes.Load(), f.counts.dials.Load()
	processor, began := processorTime(), time.Now()
	if err := event(); err != nil {
		return Cost{}, err
	}
	if err := pause(ctx, f.options.Window-time.Since(began)); err != nil {
		return Cost{}, err
	}
	seconds := time.Since(began).Seconds() * float64(f.options.Nodes)
	return Cost{
		// The dialling side counts both directions, so each byte is counted once.
		BytesPerSecond:  2 * float64(f.counts.bytes.Load()-bytes) / seconds,
		WritesPerSecond: float64(f.counts.writes.Load()-writes) / seconds,
		CorePercent:     100 * (processorTime() - processor).Seconds() / seconds,
		DialsPerSecond:  float64(f.counts.dials.Load()-dials) / seconds,
	}, nil
}

func processorTime() time.Duration {
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		panic(fmt.Sprintf("own processor time: %v", err))
	}
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// fleet is the nodes under measurement.
type fleet struct {
	options Options
	counts  counts
	nodes   []*node
	// heard gets a message for each node that heard the rumour.
	heard chan struct{}
}

// node is one node: a prober and the server for the others' calls.
type node struct {
	prober *prober.Prober
	server *http.Server
	peers  *http.Transport
	cancel context.CancelFunc
	// ended gets the ends of the prober and of the server.
	ended chan error
}

const rumourTopic = "gauge"

// startPace is the time between the starts of two nodes.
const startPace = 20 * time.Millisecond

// The limits of the nodes' transports and servers.
const (
	dialTimeout       = time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	pingInterval      = 5 * time.Second
)

func (f *fleet) start(ctx context.Context) error {
	var seeds []identifier.Address
	for i := range f.options.Nodes {
		address, err := f.startNode(ctx, i, seeds)
		if err != nil {
			return err
		}
		if len(seeds) < 2 {
			seeds = append(seeds, address)
		}
		if err := pause(ctx, startPace); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startNode(ctx context.Context, index int, seeds []identifier.Address) (identifier.Address, error) {
	network := f.counts.network()
	listening, err := network.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	limits := connector.Limits{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxConnectionsPerHost: 2}
	kept := limits
	kept.PingInterval = pingInterval
	n := &node{peers: network.Transport(kept), ended: make(chan error, 2)}
	address := identifier.Address(listening.Addr().String())
	n.prober = prober.New(prober.Options{
		Self: assigner.Member{
			Node:          identifier.Node("entry-vm-" + strconv.Itoa(index)),
			Incarnation:   identifier.Incarnation(time.Now().UnixNano()),
			DataCentre:    identifier.DataCentre("data-centre-" + strconv.Itoa(index%7)),
			PeerAddress:   address,
			CallerAddress: address,
		},
		Seeds:        seeds,
		Transport:    n.peers,
		NewTransport: func() http.RoundTripper { return network.Transport(limits) },
		Interval:     f.options.Interval,
	})
	n.prober.Subscribe(rumourTopic, func([]byte) { f.heard <- struct{}{} })
	prefix, handler := n.prober.Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, Protocols: new(http.Protocols)}
	n.server.Protocols.SetHTTP1(true)
	n.server.Protocols.SetUnencryptedHTTP2(true)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	go func() { n.ended <- n.server.Serve(listening) }()
	go func() { n.ended <- n.prober.Run(running) }()
	f.nodes = append(f.nodes, n)
	return address, nil
}

// stop ends a node: first the prober, which tells its end, then the server.
func (n *node) stop() {
	n.cancel()
	<-n.ended
	_ = n.server.Close()
	<-n.ended
	n.peers.CloseIdleConnections()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	for _, n := range f.nodes {
		n.stop()
	}
}

// awaitAll waits until every node sees all nodes alive.
func (f *fleet) awaitAll(ctx context.Context) error {
	const look = 20 * time.Millisecond
	for {
		whole := true
		for _, n := range f.nodes {
			whole = whole && len(n.prober.View().Live()) == len(f.nodes)
		}
		if whole {
			return nil
		}
		if err := pause(ctx, look); err != nil {
			return err
		}
	}
}

func (f *fleet) announce() error {
	for _, n := range f.nodes {
		n.prober.AnnounceConfiguration(1)
	}
	return nil
}

func (f *fleet) rumour(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	f.nodes[0].prober.Broadcast(rumourTopic, []byte("snapshot 1 exists"))
	for range f.nodes {
		select {
		case <-f.heard:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
	return time.Since(began), nil
}

// restart has the last node leave and end, and another start in its place.
func (f *fleet) restart(ctx context.Context) error {
	last := len(f.nodes) - 1
	leaving := f.nodes[last]
	if err := leaving.prober.Leave(ctx); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	leaving.stop()
	f.nodes = f.nodes[:last]
	seed := f.nodes[0].prober.View().Self.PeerAddress
	_, err := f.startNode(ctx, last, []identifier.Address{seed})
	return err
}
