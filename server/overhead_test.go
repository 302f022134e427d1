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

// rig is one node between a caller and two engines, on loopback.
type rig struct {
	caller  *http.Client
	address string
	// invoker sends the same work to the engines without a node.
	invoker *invoker.Invoker
	prefill tabulator.Member
	decode  tabulator.Member
}

// newRig starts a node and its surroundings and waits until it serves.
func newRig(b *testing.B) *rig {
	b.Helper()
	platform := emulator.NewPlatform()
	r := &rig{prefill: startEngine(b, identifier.Prefill), decode: startEngine(b, identifier.Decode)}
	put(b, platform, "pools", tabulator.Pools{Pools: []tabulator.Pool{{
		Name: benchModel, Kind: tabulator.Models, PieceTokens: 16, KVBytesPerToken: 1, QueueLimit: 64,
		Members: []tabulator.Member{r.prefill, r.decode},
	}}})
	put(b, platform, "routes", tabulator.Routes{Routes: []tabulator.Route{{
		Name: benchModel, Model: benchModel, Pool: benchModel, Rank: identifier.Urgent,
		FirstToken: tabulator.Duration(time.Minute), BetweenTokens: tabulator.Duration(time.Minute),
	}}})
	store := httptest.NewServer(platform)
	b.Cleanup(store.Close)
	r.address = startNode(b, store.URL)
	limits := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 8}
	transport := connector.NewNetwork().Transport(limits)
	r.caller = &http.Client{Transport: transport}
	r.invoker = invoker.New(invoker.Options{
		Transport: transport, UnpooledTransport: transport, CallTimeout: time.Minute,
		PrefillTimeout: time.Minute, ImportTimeout: time.Minute, ProgressTimeout: time.Minute,
	})
	return r
}

func put(b *testing.B, platform *emulator.Platform, name string, table any) {
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

// startEngine runs an engine that works as fast as it can.
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

// startNode runs a node until the benchmark ends, and returns its callers' address.
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

// awaitReady asks a node until it says that it takes work.
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

// through sends a request by the node, and returns when its first token came.
func (r *rig) through(b *testing.B, id int) time.Time {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, benchModel, benchPrompt, benchTokens)
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+r.address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("X-Request-Id", fmt.Sprintf("through-%d", id))
	response, err := r.caller.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %v", response.StatusCode, err)
	}
	came := time.Now()
	rest, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(rest), "[DONE]\n\n") {
		b.Fatalf("the stream was cut: %v", err)
	}
	return came
}

// direct sends the same work to both engines itself.
func (r *rig) direct(b *testing.B, id int) time.Time {
	work := invoker.Work{
		Attempt: identifier.Attempt(fmt.Sprintf("direct-%d", id)), Path: "/v1/completions", MaxTokens: benchTokens,
		Body: map[string]json.RawMessage{"model": json.RawMessage(`"bench"`), "prompt": json.RawMessage(`"` + benchPrompt + `"`)},
	}
	kv, err := r.invoker.Prefill(b.Context(), r.prefill, work)
	if err != nil {
		b.Fatal(err)
	}
	stream, err := r.invoker.Decode(b.Context(), r.decode, work, kv)
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	var came time.Time
	for count := 0; ; count++ {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) && count == benchTokens {
			return came
		}
		if err != nil {
			b.Fatalf("after %d tokens: %v", count, err)
		}
		if count == 0 {
			came = time.Now()
		}
	}
}

// BenchmarkOverhead measures one request at a time on loopback: by a node, and
// straight to the same engines. The difference is what the node adds.
func BenchmarkOverhead(b *testing.B) {
	r := newRig(b)
	for _, way := range []struct {
		name string
		send func(b *testing.B, id int) time.Time
	}{{"direct", r.direct}, {"through-node", r.through}} {
		id := 0
		b.Run(way.name, func(b *testing.B) {
			var firsts, wholes []time.Duration
			for b.Loop() {
				id++
				began := time.Now()
				came := way.send(b, id)
				firsts = append(firsts, came.Sub(began))
				wholes = append(wholes, time.Since(began))
			}
			report(b, firsts, "first-token")
			report(b, wholes, "whole")
		})
	}
}

// report adds the median and the 99th percentile to a benchmark's figures.
func report(b *testing.B, spans []time.Duration, what string) {
	slices.Sort(spans)
	b.ReportMetric(float64(spans[len(spans)/2].Microseconds()), "p50-"+what+"-µs")
	b.ReportMetric(float64(spans[len(spans)*99/100].Microseconds()), "p99-"+what+"-µs")
}
