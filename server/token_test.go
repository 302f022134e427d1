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

// tokensPerStream is the length of a recorded stream.
const tokensPerStream = 2000

// replay answers like the engines that it has recorded, without their cost.
type replay struct {
	prefill, decode []byte
}

// record runs one request on stand-in engines and keeps their answers.
func record(b *testing.B, member tabulator.Member, body string) []byte {
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
func (r *replay) RoundTrip(request *http.Request) (*http.Response, error) {
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

// calmIsolator holds nothing.
type calmIsolator struct{}

func (calmIsolator) Held(uint64) bool                    { return false }
func (calmIsolator) Suspect(uint64) bool                 { return false }
func (calmIsolator) Finished(uint64)                     {}
func (calmIsolator) Crashed(identifier.Member, []uint64) {}

// sink counts what a caller gets.
type sink struct {
	header http.Header
	bytes  int
}

func (s *sink) Header() http.Header { return s.header }
func (s *sink) WriteHeader(int)     {}
func (s *sink) Flush()              {}
func (s *sink) Write(content []byte) (int, error) {
	s.bytes += len(content)
	return len(content), nil
}

// newFrontDoor returns a node's path from the callers' handler to its calls of
// engines, which are answered from a recording.
func newFrontDoor(b *testing.B) http.Handler {
	b.Helper()
	prefill, decode := startEngine(b, identifier.Prefill), startEngine(b, identifier.Decode)
	const stream = 1
	attempt := invoker.AttemptID(benchModel, stream)
	engines := &replay{}
	engines.prefill = record(b, prefill, fmt.Sprintf(`{"prompt":%q,"request_id":%q,"kv_transfer_params":{"do_remote_decode":true}}`, benchPrompt, attempt))
	engines.decode = record(b, decode, fmt.Sprintf(`{"prompt":%q,"request_id":%q,"max_tokens":%d,"stream":true}`, benchPrompt, attempt, tokensPerStream))
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
		Engines: calls, Services: calls, Isolator: calmIsolator{},
		Budgets: limiter.New(limiter.Options{Scope: tally.NoopScope}),
		Limits:  router.Limits{Attempts: 1, Timeout: time.Minute},
		Log:     logger.Discard(), Scope: tally.NoopScope,
	})
	return receiver.New(receiver.Options{Router: routes, BodyBytes: 1 << 20, Requests: 1, AccountRequests: 1, Log: logger.Discard(), Scope: tally.NoopScope})
}

// BenchmarkStreamedToken measures what a node does for one streamed token, from
// the engine's bytes to the caller's, without network, engines and placement.
func BenchmarkStreamedToken(b *testing.B) {
	front := newFrontDoor(b)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, benchModel, benchPrompt, tokensPerStream)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	streams := 0
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		request.Header.Set("X-Request-Id", benchModel)
		caller := &sink{header: http.Header{}}
		front.ServeHTTP(caller, request)
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
