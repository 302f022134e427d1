// Package gauger measures the resources that a node spends on membership. It runs
// nodes in one process on the loopback interface and reports bytes, processor time
// and memory per node. docs/CAPACITY.md extrapolates from how these grow with the fleet.
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

// Options configures a measurement.
type Options struct {
	// Nodes is the number of nodes to run.
	Nodes int
	// SettleTime is the wait between full membership and the first window.
	SettleTime time.Duration
	// WindowLength is the length of each measured window.
	WindowLength time.Duration
	// ProbeInterval is the interval of membership probes; zero means the prober's default.
	ProbeInterval time.Duration
}

// Cost is the resource use per node in one window, averaged over the nodes.
type Cost struct {
	// BytesPerSecond is the TCP payload that a node sends and receives, without TCP
	// and IP headers.
	BytesPerSecond float64
	// WritesPerSecond is the rate of a node's writes to its connections. It is close to
	// the rate of TCP segments that the node sends.
	WritesPerSecond float64
	// CorePercent is the processor time as a share of one core.
	CorePercent float64
	// DialsPerSecond is the rate at which a node opens connections.
	DialsPerSecond float64
}

// Result is the measurement of one fleet size.
type Result struct {
	Nodes int
	// ConvergenceTime is the time from the first start until every node sees all others.
	ConvergenceTime time.Duration
	// Idle is the cost in a window without events.
	Idle Cost
	// Configuration is the cost if every node announces a new configuration number once.
	Configuration Cost
	// Restart is the cost if one node leaves and another starts in its place.
	Restart Cost
	// HeapBytes, StackBytes and Goroutines are the averages per node after the idle
	// window. Connections is the average number of open ones, dialled or accepted.
	HeapBytes   float64
	StackBytes  float64
	Goroutines  float64
	Connections float64
	// BroadcastTime is the time until every node has received a broadcast message.
	BroadcastTime time.Duration
}

// Measure starts the nodes, measures them and stops them.
func Measure(ctx context.Context, options Options) (Result, error) {
	baseline := readMemoryUsage()
	f := &fleet{options: options, broadcastReceived: make(chan struct{}, options.Nodes)}
	defer f.stop()
	began := time.Now()
	if err := f.start(ctx); err != nil {
		return Result{}, err
	}
	if err := f.awaitFullMembership(ctx); err != nil {
		return Result{}, err
	}
	result := Result{Nodes: options.Nodes, ConvergenceTime: time.Since(began)}
	if err := sleep(ctx, options.SettleTime); err != nil {
		return Result{}, err
	}
	var err error
	if result.Idle, err = f.measureWindow(ctx, func() error { return nil }); err != nil {
		return Result{}, err
	}
	f.measureMemory(baseline, &result)
	if result.Configuration, err = f.measureWindow(ctx, f.announceConfiguration); err != nil {
		return Result{}, err
	}
	if result.BroadcastTime, err = f.measureBroadcast(ctx); err != nil {
		return Result{}, err
	}
	if result.Restart, err = f.measureWindow(ctx, func() error { return f.replaceLastNode(ctx) }); err != nil {
		return Result{}, err
	}
	return result, nil
}

// memoryUsage is the memory in use by this process, in bytes, and its goroutines.
type memoryUsage struct {
	heap, stack float64
	goroutines  float64
}

func readMemoryUsage() memoryUsage {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memoryUsage{float64(stats.HeapAlloc), float64(stats.StackInuse), float64(runtime.NumGoroutine())}
}

func (f *fleet) measureMemory(baseline memoryUsage, result *Result) {
	used := readMemoryUsage()
	nodes := float64(f.options.Nodes)
	result.HeapBytes = (used.heap - baseline.heap) / nodes
	result.StackBytes = (used.stack - baseline.stack) / nodes
	result.Goroutines = (used.goroutines - baseline.goroutines) / nodes
	result.Connections = 2 * float64(f.counts.open.Load()) / nodes
}

// measureWindow triggers an event and returns the cost from then until the window ends.
func (f *fleet) measureWindow(ctx context.Context, event func() error) (Cost, error) {
	bytes, writes, dials := f.counts.bytes.Load(), f.counts.writes.Load(), f.counts.dials.Load()
	processor, began := processorTime(), time.Now()
	if err := event(); err != nil {
		return Cost{}, err
	}
	if err := sleep(ctx, f.options.WindowLength-time.Since(began)); err != nil {
		return Cost{}, err
	}
	seconds := time.Since(began).Seconds() * float64(f.options.Nodes)
	return Cost{
		// Only the dialling side counts bytes. Each is sent by one node and received by another.
		BytesPerSecond:  2 * float64(f.counts.bytes.Load()-bytes) / seconds,
		WritesPerSecond: float64(f.counts.writes.Load()-writes) / seconds,
		CorePercent:     100 * (processorTime() - processor).Seconds() / seconds,
		DialsPerSecond:  float64(f.counts.dials.Load()-dials) / seconds,
	}, nil
}

func processorTime() time.Duration {
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		panic(fmt.Sprintf("read the processor time of this process: %v", err))
	}
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// fleet contains the nodes under measurement.
type fleet struct {
	options Options
	counts  connectionCounts
	nodes   []*node
	// broadcastReceived gets one value for each node that receives the broadcast.
	broadcastReceived chan struct{}
}

// node is a prober with the server that answers the calls of other probers.
type node struct {
	prober        *prober.Prober
	server        *http.Server
	peerTransport *connector.Transport
	cancel        context.CancelFunc
	// exits receives one result from the prober and one from the server.
	exits chan error
}

const broadcastTopic = "gauge"

// startInterval is the delay after each start of a node.
const startInterval = 20 * time.Millisecond

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
		if err := sleep(ctx, startInterval); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startNode(ctx context.Context, index int, seeds []identifier.Address) (identifier.Address, error) {
	network := f.counts.countingNetwork()
	listener, err := network.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	limits := connector.Limits{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxConnectionsPerHost: 2}
	peerLimits := limits
	peerLimits.PingInterval = pingInterval
	n := &node{peerTransport: network.Transport(peerLimits), exits: make(chan error, 2)}
	address := identifier.Address(listener.Addr().String())
	n.prober = prober.New(prober.Options{
		Self: assigner.Member{
			Node:          identifier.Node("entry-vm-" + strconv.Itoa(index)),
			Incarnation:   identifier.Incarnation(time.Now().UnixNano()),
			DataCentre:    identifier.DataCentre("data-centre-" + strconv.Itoa(index%7)),
			PeerAddress:   address,
			CallerAddress: address,
		},
		Seeds:        seeds,
		Transport:    n.peerTransport,
		NewTransport: func() http.RoundTripper { return network.Transport(limits) },
		Interval:     f.options.ProbeInterval,
	})
	n.prober.Subscribe(broadcastTopic, func([]byte) { f.broadcastReceived <- struct{}{} })
	prefix, handler := n.prober.Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, Protocols: new(http.Protocols)}
	n.server.Protocols.SetHTTP1(true)
	n.server.Protocols.SetUnencryptedHTTP2(true)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	go func() { n.exits <- n.server.Serve(listener) }()
	go func() { n.exits <- n.prober.Run(runCtx) }()
	f.nodes = append(f.nodes, n)
	return address, nil
}

// stop stops the prober, which first tells its neighbours that the node is gone, and
// then the server. It waits for both.
func (n *node) stop() {
	n.cancel()
	<-n.exits
	_ = n.server.Close()
	<-n.exits
	n.peerTransport.CloseIdleConnections()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	for _, n := range f.nodes {
		n.stop()
	}
}

// awaitFullMembership waits until every node lists all nodes as live.
func (f *fleet) awaitFullMembership(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	for {
		complete := true
		for _, n := range f.nodes {
			complete = complete && len(n.prober.View().Live()) == len(f.nodes)
		}
		if complete {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (f *fleet) announceConfiguration() error {
	for _, n := range f.nodes {
		n.prober.AnnounceConfiguration(1)
	}
	return nil
}

func (f *fleet) measureBroadcast(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	f.nodes[0].prober.Broadcast(broadcastTopic, []byte("snapshot 1 exists"))
	for range f.nodes {
		select {
		case <-f.broadcastReceived:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
	return time.Since(began), nil
}

// replaceLastNode makes the last node leave and stops it, then starts one in its place.
func (f *fleet) replaceLastNode(ctx context.Context) error {
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
