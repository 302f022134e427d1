package tracer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	v1 "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/tracer"
)

const callerTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// sendThroughNode sends a traced request through a handler that calls a back end, as
// a node does, and returns the Traceparent header that the back end received.
func sendThroughNode(t *testing.T, traces *tracer.Tracer) (sent string) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		sent = r.Header.Get("Traceparent")
	}))
	defer backend.Close()
	client := &http.Client{Transport: traces.Transport("decode", http.DefaultTransport)}
	handler := traces.Handler("complete", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, backend.URL, nil)
		if err != nil {
			t.Error(err)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			t.Error(err)
			return
		}
		_ = response.Body.Close()
	}))
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set("Traceparent", callerTraceparent)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	return sent
}

// TestSpansOnlyForTracedRequests checks that untraced requests get no span.
func TestSpansOnlyForTracedRequests(t *testing.T) {
	exported := make(chan string, 4)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var export v1.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &export); err != nil {
			t.Error(err)
		}
		for _, span := range export.GetResourceSpans()[0].GetScopeSpans()[0].GetSpans() {
			exported <- span.GetName()
		}
	}))
	defer collector.Close()
	ctx, stop := context.WithCancel(t.Context())
	traces, err := tracer.New(ctx, tracer.Options{
		Node: "entry-1", Endpoint: collector.URL, SampleRatio: 1, Transport: http.DefaultTransport, Log: logger.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	handler := traces.HandlerWithParent("peer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, traceparent := range []string{"", callerTraceparent} {
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		request.Header.Set("Traceparent", traceparent)
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
	stop()
	if err := traces.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if len(exported) != 1 || <-exported != "peer" {
		t.Errorf("exported %d more spans", len(exported))
	}
}

// TestContextPropagatesWithoutExport checks that the trace context stays unchanged.
func TestContextPropagatesWithoutExport(t *testing.T) {
	if sent := sendThroughNode(t, tracer.Discard()); sent != callerTraceparent {
		t.Errorf("the back end got %q", sent)
	}
}

// TestExport checks that each hop is exported as a span of the caller's trace.
func TestExport(t *testing.T) {
	var names []string
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var export v1.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &export); err != nil || r.URL.Path != "/v1/traces" {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		for _, resource := range export.GetResourceSpans() {
			for _, scope := range resource.GetScopeSpans() {
				for _, span := range scope.GetSpans() {
					names = append(names, span.GetName())
				}
			}
		}
	}))
	defer collector.Close()
	ctx, stop := context.WithCancel(t.Context())
	traces, err := tracer.New(ctx, tracer.Options{
		Node: "entry-1", Endpoint: collector.URL, Transport: http.DefaultTransport, Log: logger.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	sent := sendThroughNode(t, traces)
	if sent == callerTraceparent || !strings.HasPrefix(sent, callerTraceparent[:36]) {
		t.Errorf("the back end got %q", sent)
	}
	stop()
	if err := traces.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(names, " "); got != "decode complete" {
		t.Errorf("exported %q", got)
	}
}
