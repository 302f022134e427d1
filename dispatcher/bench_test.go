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

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange measures one exchange over loopback through the transport and
// server of connector. The batch has some demands and releases the grants of
// the previous batch. Bytes and CPU time are those of client and server together.
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

// benchIncarnation has the size of real incarnations, which are Unix times in ns.
const benchIncarnation = 1_900_000_000_000_000_000

// benchPieces is the memory of an engine in pieces, enough for 200 requests.
const benchPieces = 400

// benchRate, in tokens and bytes per second, is so high that no demand waits for a
// prefill or a link.
const benchRate = 1e12

// benchOwner returns a running owner of a shard; it stops when the benchmark ends.
func benchOwner(b *testing.B, engines int) *Dispatcher {
	b.Helper()
	owner := newBenchOwner(engines)
	runUntilCleanup(b, owner.Run)
	return owner
}

// newBenchOwner returns an owner that isn't running, of a shard of that many engines.
func newBenchOwner(engines int) *Dispatcher {
	f := newFakeFleet("entry-vm-117", "entry-vm-118")
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
		PeerTransport: f, Engines: f, Lease: time.Hour, RebuildPeriod: time.Nanosecond, ShardEngines: engines,
	})
}

// runUntilCleanup starts a service, stops it at cleanup and waits for its return.
func runUntilCleanup(b *testing.B, run func(context.Context) error) {
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
	runUntilCleanup(b, server.Run)
	return listener.Addr().String()
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchClient calls an owner over loopback and counts the bytes on the wire.
type benchClient struct {
	dispatcherrpc.Dispatcher
	bytes atomic.Int64
	// payload is the total size of the protobuf messages in bytes.
	payload      int
	startCPUTime time.Duration
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
		return countingConn{connection, &c.bytes}, err
	}
	transport := network.Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 4, PingInterval: ping})
	b.Cleanup(transport.CloseIdleConnections)
	c.Dispatcher = dispatcherrpc.NewDispatcherProtobufClient("http://"+address, &http.Client{Transport: transport})
	return c
}

// exchange makes one Exchange call and adds the message sizes to payload.
func (c *benchClient) exchange(b *testing.B, request *dispatcherrpc.ExchangeRequest) *dispatcherrpc.ExchangeResponse {
	b.Helper()
	response, err := c.Exchange(b.Context(), request)
	if err != nil {
		b.Fatal(err)
	}
	c.payload += proto.Size(request) + proto.Size(response)
	return response
}

// resetCounts sets the byte counts to zero and starts the CPU time measurement.
func (c *benchClient) resetCounts(b *testing.B) {
	b.Helper()
	c.bytes.Store(0)
	c.payload = 0
	c.startCPUTime = cpuTime(b)
}

func (c *benchClient) report(b *testing.B) {
	b.Helper()
	exchanges := float64(b.N)
	b.ReportMetric(float64((cpuTime(b)-c.startCPUTime).Microseconds())/exchanges, "cpu-us/op")
	b.ReportMetric(float64(c.bytes.Load())/exchanges, "wire-B/op")
	b.ReportMetric(float64(c.payload)/exchanges, "payload-B/op")
}

func benchRequest() *dispatcherrpc.ExchangeRequest {
	return &dispatcherrpc.ExchangeRequest{Node: "entry-vm-241", Incarnation: benchIncarnation, Pool: string(testPool)}
}

func benchDemand(issued int) placer.Demand {
	return newDemand(fmt.Sprintf("0199f3a0-7d3c-7a51-8c1f-%012d", issued), 1)
}

func exchangeBatches(b *testing.B, ping time.Duration, demands int) {
	client := newBenchClient(b, ping)
	issued := 0
	var grants []string
	b.ReportAllocs()
	client.resetCounts(b)
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

// BenchmarkRenewal measures one batch of renewals of grants that the owner knows.
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
				held = append(held, &heldGrant{knownToOwner: true, HeldGrant: placer.HeldGrant{
					Grant: placed.Grant, Demand: demand, Prefill: placed.Prefill, Decode: placed.Decode,
					Pieces: placed.Pieces, Stream: placed.Stream, Output: 200, Decoding: true,
				}})
			}
		}
	}
	b.ReportAllocs()
	client.resetCounts(b)
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

// benchShard returns a shard that isn't running; the benchmark passes in the time.
func benchShard(b testing.TB, engines int) *shard {
	b.Helper()
	owner := newBenchOwner(engines)
	owner.server.startShard = func(*shard) {}
	sh, err := owner.server.findOwnedShard(string(testPool), 0)
	if err != nil {
		b.Fatal(err)
	}
	return sh
}

// BenchmarkReports measures an empty exchange two seconds after the previous one,
// which is long enough for the response to contain the reports of 24 engines.
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
