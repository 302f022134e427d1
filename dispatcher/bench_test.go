package dispatcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// countedConn counts what a connection carries.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange is one batch over loopback, through the project's transport
// and server: some demands, and the releases of the ones before. Bytes are those
// on the connection in both directions, processor time that of both ends.
func BenchmarkExchange(b *testing.B) {
	for _, protocol := range []struct {
		name string
		ping time.Duration
	}{{"http-1", 0}, {"http-2", 5 * time.Second}} {
		for _, demands := range []int{1, 4, 16} {
			b.Run(fmt.Sprint(protocol.name, "/demands-", demands), func(b *testing.B) {
				exchangeBatches(b, protocol.ping, demands)
			})
		}
	}
}

// benchIncarnation is as long as those of nodes, which are times in nanoseconds.
const benchIncarnation = 1_900_000_000_000_000_000

// benchPieces is the memory of an engine in pieces, room for 200 requests.
const benchPieces = 400

// benchRate, in tokens and bytes a second, keeps prefills and links from being what
// demands wait for.
const benchRate = 1e12

// benchOwner runs the owner of a shard until the benchmark ends.
func benchOwner(b *testing.B, engines int) *Dispatcher {
	b.Helper()
	owner := newBenchOwner(engines)
	serveUntilEnd(b, owner.Run)
	return owner
}

// newBenchOwner returns the owner of a shard of some engines.
func newBenchOwner(engines int) *Dispatcher {
	f := newFabric("entry-vm-117", "entry-vm-118")
	for i := range f.view.Members {
		f.view.Members[i].Incarnation = benchIncarnation
	}
	f.snapshot.Pools.Pools[0].Members = nil
	for i := range engines {
		member := tabulator.Member{
			Name: identifier.Member(fmt.Sprint("lector-engine-", i)), Address: "x",
			Role: identifier.Decode, Pieces: benchPieces, PrefillRate: benchRate, LinkRate: benchRate,
		}
		if i%3 == 0 {
			member.Role = identifier.Prefill
		}
		f.snapshot.Pools.Pools[0].Members = append(f.snapshot.Pools.Pools[0].Members, member)
	}
	id := shardID{pool: testPool}
	owner := f.viewOf("entry-vm-117")().Owner(id.String()).Node
	return New(Options{
		Self: owner, View: f.viewOf(owner), Snapshot: func() *tabulator.Snapshot { return f.snapshot },
		Peers: f, Engines: f, Lease: time.Hour, Rebuild: time.Nanosecond, ShardEngines: engines,
	})
}

// serveUntilEnd runs a service until the benchmark ends, and waits for its end.
func serveUntilEnd(b *testing.B, run func(context.Context) error) {
	b.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
}

// benchServer serves a handler on loopback and returns its address.
func benchServer(b *testing.B, handler http.Handler) string {
	b.Helper()
	network := connector.NewNetwork()
	listener, err := network.Listen(b.Context(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	network.Listen = func(context.Context, string) (net.Listener, error) { return listener, nil }
	server := connector.NewServer(connector.ServerOptions{
		Network: network, Handler: handler, Log: logger.Discard(),
		Limits: connector.ServerLimits{
			ReadHeaderTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, FinishTimeout: time.Second,
			MaxConnections: 100, MaxStreams: 100, MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 20,
		},
	})
	serveUntilEnd(b, server.Run)
	return listener.Addr().String()
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		b.Fatal(err)
	}
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}

// benchClient calls an owner over loopback and counts the bytes.
type benchClient struct {
	dispatcherrpc.Dispatcher
	bytes atomic.Int64
	// payload counts the bytes of the messages alone.
	payload int
	began   time.Duration
}

func newBenchClient(b *testing.B, ping time.Duration) *benchClient {
	b.Helper()
	_, handler := benchOwner(b, 48).Handler()
	address := benchServer(b, handler)
	c := &benchClient{}
	network := connector.NewNetwork()
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		connection, err := dial(ctx, kind, address)
		return countedConn{connection, &c.bytes}, err
	}
	transport := network.Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 4, PingInterval: ping})
	b.Cleanup(transport.CloseIdleConnections)
	c.Dispatcher = dispatcherrpc.NewDispatcherProtobufClient("http://"+address, &http.Client{Transport: transport})
	return c
}

// exchange makes one call and counts it.
func (c *benchClient) exchange(b *testing.B, request *dispatcherrpc.ExchangeRequest) *dispatcherrpc.ExchangeResponse {
	b.Helper()
	response, err := c.Exchange(b.Context(), request)
	if err != nil {
		b.Fatal(err)
	}
	c.payload += proto.Size(request) + proto.Size(response)
	return response
}

// begin starts the counts at zero.
func (c *benchClient) begin(b *testing.B) {
	b.Helper()
	c.bytes.Store(0)
	c.payload = 0
	c.began = processorTime(b)
}

func (c *benchClient) report(b *testing.B) {
	b.Helper()
	exchanges := float64(b.N)
	b.ReportMetric(float64((processorTime(b)-c.began).Microseconds())/exchanges, "cpu-us/op")
	b.ReportMetric(float64(c.bytes.Load())/exchanges, "wire-B/op")
	b.ReportMetric(float64(c.payload)/exchanges, "payload-B/op")
}

func benchRequest() *dispatcherrpc.ExchangeRequest {
	return &dispatcherrpc.ExchangeRequest{Node: "entry-vm-241", Incarnation: benchIncarnation, Pool: string(testPool)}
}

func benchDemand(issued int) placer.Demand {
	return demand(fmt.Sprintf("0199f3a0-7d3c-7a51-8c1f-%012d", issued), 1)
}

func exchangeBatches(b *testing.B, ping time.Duration, demands int) {
	client := newBenchClient(b, ping)
	issued := 0
	var grants []string
	b.ReportAllocs()
	client.begin(b)
	for b.Loop() {
		request := benchRequest()
		for _, grant := range grants {
			request.Releases = append(request.Releases, &dispatcherrpc.Release{Grant: grant, OutputTokens: 200, Decoded: true})
		}
		grants = grants[:0]
		for range demands {
			issued++
			demand := benchDemand(issued)
			request.Demands = append(request.Demands, encodeDemand(&demand, time.Second))
		}
		for _, decision := range client.exchange(b, request).GetDecisions() {
			if decision.GetGrant() != "" {
				grants = append(grants, decision.GetGrant())
			}
		}
	}
	client.report(b)
}

// BenchmarkRenewal is one batch of renewals of grants that the owner knows.
func BenchmarkRenewal(b *testing.B) {
	for _, grants := range []int{1, 16, 64} {
		b.Run(fmt.Sprint("grants-", grants), func(b *testing.B) { renewGrants(b, grants) })
	}
}

func renewGrants(b *testing.B, grants int) {
	client := newBenchClient(b, 5*time.Second)
	held := make([]*heldGrant, 0, grants)
	for issued := 1; len(held) < grants; issued++ {
		request := benchRequest()
		demand := benchDemand(issued)
		request.Demands = append(request.Demands, encodeDemand(&demand, time.Second))
		for _, message := range client.exchange(b, request).GetDecisions() {
			if placed := decodeDecision(message).Outcome.Placement; placed != nil {
				held = append(held, &heldGrant{known: true, Held: placer.Held{
					Grant: placed.Grant, Demand: demand, Prefill: placed.Prefill, Decode: placed.Decode,
					Pieces: placed.Pieces, Stream: placed.Stream, Output: 200, Decoding: true,
				}})
			}
		}
	}
	b.ReportAllocs()
	client.begin(b)
	for b.Loop() {
		request := benchRequest()
		for _, h := range held {
			request.Renewals = append(request.Renewals, encodeRenewal(h))
		}
		if response := client.exchange(b, request); len(response.GetUnknown())+len(response.GetRevoked()) > 0 {
			b.Fatalf("not renewed: %v", response)
		}
	}
	client.report(b)
}

// benchShard returns a shard whose clock is moved by the benchmark alone.
func benchShard(b *testing.B, engines int) *shard {
	b.Helper()
	owner := newBenchOwner(engines)
	owner.server.start = func(*shard) {}
	sh, err := owner.server.find(string(testPool), 0)
	if err != nil {
		b.Fatal(err)
	}
	return sh
}

// BenchmarkReports is an exchange that asks for nothing, two seconds after the
// one before, so that its answer holds the reports of 24 engines.
func BenchmarkReports(b *testing.B) {
	sh := benchShard(b, 24)
	sh.pollAll(b.Context())
	now := time.Now()
	payload := 0
	for b.Loop() {
		now = now.Add(2 * time.Second)
		response, err := sh.exchange(now, benchRequest())
		if err != nil {
			b.Fatal(err)
		}
		payload += proto.Size(response)
	}
	b.ReportMetric(float64(payload)/float64(b.N), "payload-B/op")
}
