package invoker_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// byteCountingConn counts the bytes that a connection reads and writes.
type byteCountingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLoad measures one load report over loopback. The emulated engine answers
// from memory, so its own cost is excluded. A decode engine reports the given number
// of streams: 20 today, 160 at the target load. A prefill engine reports cache events
// for the given number of new prompts, of 16 named blocks each.
func BenchmarkLoad(b *testing.B) {
	for _, streams := range []int{0, 20, 160} {
		b.Run(fmt.Sprint("decode-streams-", streams), func(b *testing.B) { benchmarkLoad(b, identifier.Decode, streams, 0) })
	}
	for _, prompts := range []int{0, 1, 4} {
		b.Run(fmt.Sprint("prefill-prompts-", prompts), func(b *testing.B) { benchmarkLoad(b, identifier.Prefill, 0, prompts) })
	}
}

func benchmarkLoad(b *testing.B, role identifier.Role, streams, prompts int) {
	engine := emulator.NewEngine(emulator.EngineOptions{
		Name: "engine-1", Pieces: 1 << 30, PieceTokens: 16, PrefillRate: 1 << 40, TokenTime: time.Hour, Evict: time.Nanosecond,
		PrefixCache: emulator.PrefixCache{Blocks: 64},
	})
	server := httptest.NewServer(engine)
	defer server.Close()
	defer engine.Crash()
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return byteCountingConn{connection, &bytes}, err
	}}
	defer transport.CloseIdleConnections()
	adapter := invoker.New(invoker.Options{Transport: transport, UnpooledTransport: http.DefaultTransport, CallTimeout: time.Minute, PrefillTimeout: time.Minute, ImportTimeout: time.Minute})
	member := tabulator.Member{Name: "engine-1", Role: role, Address: identifier.Address(strings.TrimPrefix(server.URL, "http://"))}
	for i := range streams {
		startUnfinishedStream(b, server.URL, i)
	}
	var position invoker.CachePosition
	issued := 0
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		for range prompts {
			issued++
			computePrompt(b, server.URL, issued)
		}
		b.StartTimer()
		load, err := adapter.Load(b.Context(), member, position)
		if err != nil {
			b.Fatal(err)
		}
		position = load.Cache.Position
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// startUnfinishedStream starts a stream that holds engine memory until the end.
func startUnfinishedStream(b *testing.B, url string, number int) {
	body := fmt.Sprintf(`{"prompt":"p","max_tokens":100,"stream":true,"request_id":"0199f3a0-7d3c-7a51-8c1f-%012d.abcdefgh"}`, number)
	post(b, url, body, false)
}

// computePrompt makes an engine compute a prompt of 16 blocks that it evicts at once.
func computePrompt(b *testing.B, url string, number int) {
	var names []string
	for block := range 16 {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("%016x", uint64(number)<<32|uint64(block)|1<<63)))
	}
	body := fmt.Sprintf(`{"prompt":%q,"request_id":"p","kv_transfer_params":{"do_remote_decode":true,"prefix_block_tokens":256,"prefix_names":[%s]}}`,
		fmt.Sprintf("%08d", number)+strings.Repeat("reading ", 2047), strings.Join(names, ","))
	post(b, url, body, true)
}

// post sends a completion. It reads the answer to its end, or leaves it open until
// the benchmark ends.
func post(b *testing.B, url, body string, readAnswer bool) {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	if !readAnswer {
		b.Cleanup(func() { _ = response.Body.Close() })
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
