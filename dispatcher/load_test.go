package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// wireHolding and wireLoad are an engine's load report.
type wireHolding struct {
	RequestID identifier.Attempt `json:"request_id"`
	Pieces    int                `json:"pieces"`
}

type wireLoad struct {
	PiecesFree int           `json:"pieces_free"`
	Running    int           `json:"running"`
	Holding    []wireHolding `json:"holding"`
}

// BenchmarkLoadReport is one load report of an engine over loopback, with the
// streams that it holds memory for.
func BenchmarkLoadReport(b *testing.B) {
	for _, held := range []int{0, 20, 160} {
		b.Run(fmt.Sprint("held-", held), func(b *testing.B) { askForLoad(b, held) })
	}
}

func askForLoad(b *testing.B, held int) {
	report := wireLoad{PiecesFree: benchPieces - held, Running: held, Holding: []wireHolding{}}
	for i := range held {
		request := identifier.Request(fmt.Sprintf("0199f3a0-7d3c-7a51-8c1f-%012d", i))
		report.Holding = append(report.Holding, wireHolding{invoker.AttemptID(request, benchIncarnation), 1})
	}
	address := benchServer(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(report)
	}))
	var bytes atomic.Int64
	network := connector.NewNetwork()
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		connection, err := dial(ctx, kind, address)
		return countedConn{connection, &bytes}, err
	}
	transport := network.Transport(connector.Limits{Dial: time.Second, Idle: time.Minute, PerHost: 4})
	b.Cleanup(transport.CloseIdleConnections)
	engine := tabulator.Member{Name: "lector-engine-1", Address: identifier.Address(address)}
	asking := invoker.New(invoker.Options{Transport: transport, Fresh: transport, Call: time.Minute})
	b.ReportAllocs()
	began := processorTime(b)
	for b.Loop() {
		if load, err := asking.Load(b.Context(), engine, invoker.CachePosition{}); err != nil || len(load.Holding) != held {
			b.Fatal(load, err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}
