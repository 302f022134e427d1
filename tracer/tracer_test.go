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

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// relay handles a request as a node does: a hop in, and a hop on to a back end.
func relay(t *testing.T, traces *tracer.Tracer) (sent string) {
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
	request.Header.Set("Traceparent", parent)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	return sent
}

// Only requests that come with a trace context become a hop of Continue.
func TestContinue(t *testing.T) {
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
	handler := traces.Continue("peer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, traceparent := range []string{"", parent} {
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

// Without an endpoint the caller's context reaches the back end as it came.
func TestContextPassesWithoutExport(t *testing.T) {
	if sent := relay(t, tracer.Discard()); sent != parent {
		t.Errorf("the back end got %q", sent)
	}
}

// With an endpoint each hop becomes a span of the caller's trace.
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
	sent := relay(t, traces)
	if sent == parent || !strings.HasPrefix(sent, parent[:36]) {
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
