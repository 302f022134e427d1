package server_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/receiver"
	"github.com/foxtailspool/foxtailspool/router"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// tokensPerStream is the number of tokens in the recorded stream.
const tokensPerStream = 2000

// replayTransport answers with recorded answers, to leave out the cost of engines.
type replayTransport struct {
	prefill, decode []byte
}

// recordAnswer sends one request to an emulated engine and returns the answer's body.
func recordAnswer(b *testing.B, member tabulator.Member, body string) []byte {
	b.Helper()
	response, err := http.Post("http://"+string(member.Address)+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %v", response.StatusCode, err)
	}
	return content
}

// RoundTrip answers a request for a stream with the recorded stream, and any
// other with the recorded prefill.
func (r *replayTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	content := r.prefill
	if bytes.Contains(body, []byte(`"stream":true`)) {
		content = r.decode
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(content)), Request: request}, nil
}

// instantPlacer grants every demand the same members.
type instantPlacer struct {
	placement placer.Placement
}

func (p instantPlacer) Acquire(context.Context, placer.Demand) placer.Outcome {
	return placer.Outcome{Placement: &p.placement}
}
func (instantPlacer) Release(identifier.Grant, placer.Result)            {}
func (instantPlacer) Progress(identifier.Grant, identifier.Tokens, bool) {}

// noopIsolator quarantines no requests.
type noopIsolator struct{}

func (noopIsolator) IsQuarantined(uint64) bool               { return false }
func (noopIsolator) IsSuspect(uint64) bool                   { return false }
func (noopIsolator) ReportFinished(uint64)                   {}
func (noopIsolator) ReportCrash(identifier.Member, []uint64) {}

// countingWriter is a response writer that counts the bytes of the body.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (s *countingWriter) Header() http.Header { return s.header }
func (s *countingWriter) WriteHeader(int)     {}
func (s *countingWriter) Flush()              {}
func (s *countingWriter) Write(content []byte) (int, error) {
	s.bytes += len(content)
	return len(content), nil
}

// newCallerHandler returns a node's handler for callers with a router and an invoker
// behind it. The invoker's calls to engines get recorded answers.
func newCallerHandler(b *testing.B) http.Handler {
	b.Helper()
	prefill, decode := startEngine(b, identifier.Prefill), startEngine(b, identifier.Decode)
	const stream = 1
	attempt := invoker.AttemptID(benchModel, stream)
	engines := &replayTransport{}
	engines.prefill = recordAnswer(b, prefill, fmt.Sprintf(`{"prompt":%q,"request_id":%q,"kv_transfer_params":{"do_remote_decode":true}}`, benchPrompt, attempt))
	engines.decode = recordAnswer(b, decode, fmt.Sprintf(`{"prompt":%q,"request_id":%q,"max_tokens":%d,"stream":true}`, benchPrompt, attempt, tokensPerStream))
	snapshot, err := tabulator.Join(1, tabulator.Routes{Routes: []tabulator.Route{{
		Name: benchModel, Model: benchModel, Pool: benchModel,
		FirstToken: tabulator.Duration(time.Minute), BetweenTokens: tabulator.Duration(time.Minute),
	}}}, tabulator.Pools{Pools: []tabulator.Pool{{
		Name: benchModel, Kind: tabulator.Models, PieceTokens: 16, KVBytesPerToken: 1, QueueLimit: 64,
		Members: []tabulator.Member{prefill, decode},
	}}})
	if err != nil {
		b.Fatal(err)
	}
	calls := invoker.New(invoker.Options{
		Transport: engines, UnpooledTransport: engines, CallTimeout: time.Minute,
		PrefillTimeout: time.Minute, ImportTimeout: time.Minute, ProgressTimeout: time.Minute,
	})
	routes := router.New(router.Options{
		Snapshot: func() *tabulator.Snapshot { return snapshot },
		Placer: instantPlacer{placer.Placement{
			Grant: "grant", Stream: stream, Prefill: prefill.Name, Decode: decode.Name, Lease: time.Minute,
		}},
		Engines: calls, Services: calls, Isolator: noopIsolator{},
		Budgets: limiter.New(limiter.Options{Scope: tally.NoopScope}),
		Limits:  router.Limits{Attempts: 1, Timeout: time.Minute},
		Log:     logger.Discard(), Scope: tally.NoopScope,
	})
	return receiver.New(receiver.Options{Router: routes, MaxBodyBytes: 1 << 20, MaxInFlight: 1, MaxInFlightPerAccount: 1, Log: logger.Discard(), Scope: tally.NoopScope})
}

// BenchmarkStreamedToken measures a node's work per streamed token, from reading the
// engine's bytes to writing the caller's, without network, engines and placement.
func BenchmarkStreamedToken(b *testing.B) {
	handler := newCallerHandler(b)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, benchModel, benchPrompt, tokensPerStream)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	streams := 0
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		request.Header.Set("X-Request-Id", benchModel)
		caller := &countingWriter{header: http.Header{}}
		handler.ServeHTTP(caller, request)
		if caller.bytes < tokensPerStream {
			b.Fatal(errors.New("the stream was cut"))
		}
		streams++
	}
	runtime.ReadMemStats(&after)
	tokens := float64(streams * tokensPerStream)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/token")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/tokens, "B/token")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/tokens, "ns/token")
}
