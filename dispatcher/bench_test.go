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

// benchOwner runs the owner of a shard of 48 engines until the benchmark ends.
func benchOwner(b *testing.B) *Dispatcher {
	b.Helper()
	f := newFabric("n1", "n2")
	f.snapshot.Pools.Pools[0].Members = nil
	for i := range 48 {
		member := tabulator.Member{Name: identifier.Member(fmt.Sprint("e", i)), Address: "x", Role: identifier.Decode, Pieces: 60}
		if i%3 == 0 {
			member.Role = identifier.Prefill
		}
		f.snapshot.Pools.Pools[0].Members = append(f.snapshot.Pools.Pools[0].Members, member)
	}
	id := shardID{pool: testPool}
	owner := f.viewOf("n1")().Owner(id.String()).Node
	d := New(Options{
		Self: owner, View: f.viewOf(owner), Snapshot: func() *tabulator.Snapshot { return f.snapshot },
		Peers: f, Engines: f, Rebuild: time.Nanosecond, ShardEngines: 48,
	})
	serveUntilEnd(b, d.Run)
	return d
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
			ReadHeader: time.Minute, Read: time.Minute, Write: time.Minute, Idle: time.Minute, Finish: time.Second,
			Connections: 100, Streams: 100, Header: 1 << 14, Body: 1 << 20,
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

func exchangeBatches(b *testing.B, ping time.Duration, demands int) {
	_, handler := benchOwner(b).Handler()
	address := benchServer(b, handler)
	var bytes atomic.Int64
	network := connector.NewNetwork()
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		connection, err := dial(ctx, kind, address)
		return countedConn{connection, &bytes}, err
	}
	transport := network.Transport(connector.Limits{Dial: time.Second, Idle: time.Minute, PerHost: 4, Ping: ping})
	b.Cleanup(transport.CloseIdleConnections)
	client := dispatcherrpc.NewDispatcherProtobufClient("http://"+address, &http.Client{Transport: transport})
	issued, payload := 0, 0
	var grants []string
	b.ReportAllocs()
	began := processorTime(b)
	for b.Loop() {
		request := &dispatcherrpc.ExchangeRequest{Node: "n9", Incarnation: 1, Pool: string(testPool)}
		for _, grant := range grants {
			request.Releases = append(request.Releases, &dispatcherrpc.Release{Grant: grant, OutputTokens: 200, Decoded: true})
		}
		grants = grants[:0]
		for range demands {
			issued++
			demand := demand(fmt.Sprintf("0199f3a0-7d3c-7a51-8c1f-%012d", issued), 1)
			request.Demands = append(request.Demands, encodeDemand(&demand, time.Second))
		}
		response, err := client.Exchange(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		payload += proto.Size(request) + proto.Size(response)
		for _, decision := range response.GetDecisions() {
			if decision.GetGrant() != "" {
				grants = append(grants, decision.GetGrant())
			}
		}
	}
	exchanges := float64(b.N)
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/exchanges, "cpu-us/op")
	b.ReportMetric(float64(bytes.Load())/exchanges, "wire-B/op")
	b.ReportMetric(float64(payload)/exchanges, "payload-B/op")
}
