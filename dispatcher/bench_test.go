package dispatcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
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

// BenchmarkExchange is one batch over loopback: some demands, and the releases of
// the ones before. The processor time of both ends is counted.
func BenchmarkExchange(b *testing.B) {
	for _, demands := range []int{1, 4} {
		b.Run(fmt.Sprint("demands-", demands), func(b *testing.B) { exchangeBatches(b, demands) })
	}
}

func exchangeBatches(b *testing.B, demands int) {
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
	ctx, stop := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		_ = d.Run(ctx)
		close(done)
	}()
	_, handler := d.Handler()
	server := httptest.NewServer(handler)
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{connection, &bytes}, err
	}}
	client := dispatcherrpc.NewDispatcherProtobufClient(server.URL, &http.Client{Transport: transport})
	issued := 0
	var grants []string
	b.ReportAllocs()
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
		for _, decision := range response.GetDecisions() {
			if decision.GetGrant() != "" {
				grants = append(grants, decision.GetGrant())
			}
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
	server.Close()
	stop()
	<-done
}
