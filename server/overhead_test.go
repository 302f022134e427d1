package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/server"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

const (
	benchModel  = "bench"
	benchPrompt = "humidity 45%"
	benchTokens = 64
)

// testFleet is a node, two engines and a caller, on loopback.
type testFleet struct {
	caller  *http.Client
	address string
	// invoker calls the engines directly, without the node.
	invoker *invoker.Invoker
	prefill tabulator.Member
	decode  tabulator.Member
}

// newTestFleet starts a platform, two engines and a node, and waits for the node.
func newTestFleet(b *testing.B) *testFleet {
	b.Helper()
	platform := emulator.NewPlatform()
	fleet := &testFleet{prefill: startEngine(b, identifier.Prefill), decode: startEngine(b, identifier.Decode)}
	putTable(b, platform, "pools", tabulator.Pools{Pools: []tabulator.Pool{{
		Name: benchModel, Kind: tabulator.Models, PieceTokens: 16, KVBytesPerToken: 1, QueueLimit: 64,
		Members: []tabulator.Member{fleet.prefill, fleet.decode},
	}}})
	putTable(b, platform, "routes", tabulator.Routes{Routes: []tabulator.Route{{
		Name: benchModel, Model: benchModel, Pool: benchModel, Rank: identifier.Urgent,
		FirstToken: tabulator.Duration(time.Minute), BetweenTokens: tabulator.Duration(time.Minute),
	}}})
	store := httptest.NewServer(platform)
	b.Cleanup(store.Close)
	fleet.address = startNode(b, store.URL)
	limits := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 8}
	transport := connector.NewNetwork().Transport(limits)
	fleet.caller = &http.Client{Transport: transport}
	fleet.invoker = invoker.New(invoker.Options{
		Transport: transport, UnpooledTransport: transport, CallTimeout: time.Minute,
		PrefillTimeout: time.Minute, ImportTimeout: time.Minute, ProgressTimeout: time.Minute,
	})
	return fleet
}

func putTable(b *testing.B, platform *emulator.Platform, name string, table any) {
	b.Helper()
	text, err := json.Marshal(table)
	if err != nil {
		b.Fatal(err)
	}
	platform.Put("tables", name, text)
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}

// startEngine runs an emulated engine that adds as little delay as it can.
func startEngine(b *testing.B, role identifier.Role) tabulator.Member {
	b.Helper()
	const pieces, rate = 100_000, 1_000_000_000
	listener := listen(b)
	address := identifier.Address(listener.Addr().String())
	engine := &httptest.Server{Listener: listener, Config: &http.Server{Handler: emulator.NewEngine(emulator.EngineOptions{
		Name: identifier.Member(role), Address: address, Pieces: pieces, PieceTokens: 16, PrefillRate: rate,
		Evict: time.Second, Retain: time.Millisecond, Lag: time.Millisecond, Transport: http.DefaultTransport,
	})}}
	engine.Start()
	b.Cleanup(engine.Close)
	return tabulator.Member{Name: identifier.Member(role), Address: address, Role: role, Pieces: pieces, PrefillRate: rate, LinkRate: rate}
}

// startNode runs a node until the benchmark ends, and returns its address for callers.
func startNode(b *testing.B, platform string) string {
	b.Helper()
	var addresses []any
	for range 3 {
		listener := listen(b)
		addresses = append(addresses, listener.Addr().String())
		_ = listener.Close()
	}
	settings, faults := configurator.Parse(fmt.Appendf(nil, `
node = {name = "bench", data-centre = "bench"}
callers.listen = "%s"
peers.listen = "%s"
operators.listen = "%s"
platform.url = "`+platform+`"
drain.entry-keep-time = "10ms"
`, addresses...))
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	node := server.New(server.Options{
		Settings: settings, Incarnation: 1, Network: connector.NewNetwork(),
		Log: logger.Discard(), Scope: tally.NoopScope,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	awaitReady(b, "http://"+string(settings.Operators.Listen)+"/readyz")
	return string(settings.Callers.Listen)
}

// awaitReady polls a node until it answers that it is ready.
func awaitReady(b *testing.B, url string) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if ctx.Err() != nil {
			b.Fatal("the node did not become ready")
		}
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// sendThroughNode sends a request to the node and returns the time of its first token.
func (f *testFleet) sendThroughNode(b *testing.B, id int) time.Time {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, benchModel, benchPrompt, benchTokens)
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+f.address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("X-Request-Id", fmt.Sprintf("through-%d", id))
	response, err := f.caller.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %v", response.StatusCode, err)
	}
	firstTokenAt := time.Now()
	rest, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(rest), "[DONE]\n\n") {
		b.Fatalf("the stream was cut: %v", err)
	}
	return firstTokenAt
}

// sendDirectly sends the work to both engines and returns the time of its first token.
func (f *testFleet) sendDirectly(b *testing.B, id int) time.Time {
	work := invoker.Work{
		Attempt: identifier.Attempt(fmt.Sprintf("direct-%d", id)), Path: "/v1/completions", MaxTokens: benchTokens,
		Body: map[string]json.RawMessage{"model": json.RawMessage(`"bench"`), "prompt": json.RawMessage(`"` + benchPrompt + `"`)},
	}
	kv, err := f.invoker.Prefill(b.Context(), f.prefill, work)
	if err != nil {
		b.Fatal(err)
	}
	stream, err := f.invoker.Decode(b.Context(), f.decode, work, kv)
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	var firstTokenAt time.Time
	for count := 0; ; count++ {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) && count == benchTokens {
			return firstTokenAt
		}
		if err != nil {
			b.Fatalf("after %d tokens: %v", count, err)
		}
		if count == 0 {
			firstTokenAt = time.Now()
		}
	}
}

// BenchmarkOverhead measures one request at a time on loopback, through a node and
// directly to the same engines. The difference is the node's overhead.
func BenchmarkOverhead(b *testing.B) {
	fleet := newTestFleet(b)
	for _, path := range []struct {
		name string
		send func(b *testing.B, id int) time.Time
	}{{"direct", fleet.sendDirectly}, {"through-node", fleet.sendThroughNode}} {
		id := 0
		b.Run(path.name, func(b *testing.B) {
			var firstTokenTimes, totalTimes []time.Duration
			for b.Loop() {
				id++
				began := time.Now()
				firstTokenAt := path.send(b, id)
				firstTokenTimes = append(firstTokenTimes, firstTokenAt.Sub(began))
				totalTimes = append(totalTimes, time.Since(began))
			}
			report(b, firstTokenTimes, "first-token")
			report(b, totalTimes, "whole")
		})
	}
}

// report adds the median and the 99th percentile to a benchmark's metrics.
func report(b *testing.B, durations []time.Duration, metric string) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-"+metric+"-µs")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-"+metric+"-µs")
}
