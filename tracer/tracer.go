// Package tracer creates the trace spans of a node, one for each hop of a request,
// and propagates the W3C trace context from callers to other nodes and to backend
// servers. Spans are exported by OTLP over HTTP if an endpoint is set. Without one,
// no spans are created and the incoming context is propagated unchanged.
package tracer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Hop names one step of a request's path through the nodes. Its spans have this name.
type Hop string

// scopeName is the OpenTelemetry instrumentation scope of exported spans.
const scopeName = "github.com/foxtailspool/foxtailspool"

// Limits of the export.
const (
	exportTimeout = 5 * time.Second
	// maxQueuedSpans bounds the spans that wait for export; further spans are dropped.
	maxQueuedSpans = 2048
)

// UnusableEndpoint is the error type for an endpoint that no exporter can be made for.
var UnusableEndpoint = errorx.NewNamespace("tracer").NewType("unusable-endpoint")

// EventExportFailed is logged when an export fails and its spans are lost.
var EventExportFailed = logger.Define(1041, logrus.WarnLevel, "trace export failed",
	"Spans could not be sent to the collector and are lost. Requests are not affected.")

// Options configures a tracer.
type Options struct {
	Node       identifier.Node
	DataCentre identifier.DataCentre
	// Endpoint is the base URL of an OTLP/HTTP collector. Empty disables tracing.
	Endpoint string
	// SampleRatio is the fraction, 0 to 1, of requests to trace if the caller did not decide.
	SampleRatio float64
	// Transport sends the exports.
	Transport http.RoundTripper
	Log       *logger.Logger
}

// Tracer creates and exports spans. It runs as a service of the supervisor.
type Tracer struct {
	tracer     api.Tracer
	provider   api.TracerProvider
	propagator propagation.TraceContext
	// shutdown exports the remaining spans; nil if export is disabled.
	shutdown func(context.Context) error
	log      *logger.Logger
}

// New returns a tracer without connecting to the collector. It fails with
// UnusableEndpoint if the exporter cannot be created.
func New(ctx context.Context, options Options) (*Tracer, error) {
	if options.Endpoint == "" {
		return Discard(), nil
	}
	exporter, err := otlptracehttp.New(
		ctx,
		otlptracehttp.WithEndpointURL(options.Endpoint+"/v1/traces"),
		otlptracehttp.WithTimeout(exportTimeout),
		otlptracehttp.WithHTTPClient(&http.Client{Transport: options.Transport, Timeout: exportTimeout}),
	)
	if err != nil {
		return nil, UnusableEndpoint.Wrap(err, "traces endpoint")
	}
	return newExportingTracer(options, loggingExporter{exporter, options.Log}), nil
}

func newExportingTracer(options Options, exporter trace.SpanExporter) *Tracer {
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter, trace.WithMaxQueueSize(maxQueuedSpans), trace.WithExportTimeout(exportTimeout)),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(options.SampleRatio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "foxtailspool"),
			attribute.String("service.instance.id", string(options.Node)),
			attribute.String("foxtailspool.data-centre", string(options.DataCentre)),
		)),
	)
	return &Tracer{tracer: provider.Tracer(scopeName), provider: provider, shutdown: provider.Shutdown, log: options.Log}
}

// Install sets the tracer as OpenTelemetry's global one, for packages that use that.
// A process calls it at most once, because the global is shared.
func (t *Tracer) Install() {
	otel.SetTracerProvider(t.provider)
	otel.SetTextMapPropagator(t.propagator)
}

// Discard returns a tracer that creates no spans but propagates the trace context.
func Discard() *Tracer {
	provider := noop.NewTracerProvider()
	return &Tracer{tracer: provider.Tracer(scopeName), provider: provider, log: logger.Discard()}
}

// Run waits until ctx ends, then exports the remaining spans within exportTimeout.
func (t *Tracer) Run(ctx context.Context) error {
	<-ctx.Done()
	if t.shutdown == nil {
		return nil
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer cancel()
	if err := t.shutdown(shutdownContext); err != nil {
		t.log.Log(EventExportFailed, logger.Fields{"error": err.Error()})
	}
	return nil
}

// Start begins the span of a hop. The caller must end it.
func (t *Tracer) Start(ctx context.Context, hop Hop, attributes ...attribute.KeyValue) (context.Context, Span) {
	ctx, span := t.tracer.Start(ctx, string(hop), api.WithAttributes(attributes...))
	return ctx, Span{span}
}

// Span is the trace span of one hop.
type Span struct {
	span api.Span
}

// SetAttributes adds attributes to the span.
func (s Span) SetAttributes(attributes ...attribute.KeyValue) {
	s.span.SetAttributes(attributes...)
}

// End ends the span. A non-nil err marks it as failed.
func (s Span) End(err error) {
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Extract returns ctx with the trace context from the request's headers. The method
// can be passed to go-kit's ServerBefore.
func (t *Tracer) Extract(ctx context.Context, request *http.Request) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(request.Header))
}

// Endpoint returns a go-kit middleware that wraps each call in a span of this name.
func (t *Tracer) Endpoint(name string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			ctx, span := t.Start(ctx, Hop(name))
			response, err := next(ctx, request)
			span.End(err)
			return response, err
		}
	}
}

// Handler wraps each request to an HTTP handler in a span. It is for handlers that are
// not built from go-kit endpoints.
func (t *Tracer) Handler(hop Hop, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.Start(t.Extract(r.Context(), r), hop)
		defer span.End(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// HandlerWithParent wraps requests to an HTTP handler in a span if they carry a trace
// context. Requests without one, such as probes, get no span.
func (t *Tracer) HandlerWithParent(hop Hop, next http.Handler) http.Handler {
	traced := t.Handler(hop, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if api.SpanContextFromContext(t.Extract(r.Context(), r)).IsValid() {
			traced.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport wraps each call to another server in a span and sends its context along.
// The span ends when the call fails or the response body is closed. Calls outside a
// trace, such as load reports, get no span.
func (t *Tracer) Transport(hop Hop, next http.RoundTripper) http.RoundTripper {
	return transport{t, hop, next}
}

type transport struct {
	tracer *Tracer
	hop    Hop
	next   http.RoundTripper
}

func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !api.SpanContextFromContext(request.Context()).IsValid() {
		return t.next.RoundTrip(request)
	}
	ctx, span := t.tracer.Start(
		request.Context(), t.hop,
		attribute.String("http.request.method", request.Method),
		attribute.String("server.address", request.URL.Host),
	)
	request = request.Clone(ctx)
	t.tracer.propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := t.next.RoundTrip(request)
	if err != nil {
		span.End(err)
		return nil, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", response.StatusCode))
	response.Body = &spanBody{ReadCloser: response.Body, span: span}
	return response, nil
}

// spanBody ends its span when the body is closed.
type spanBody struct {
	io.ReadCloser
	span Span
	once sync.Once
}

func (b *spanBody) Close() error {
	b.once.Do(func() { b.span.End(nil) })
	return b.ReadCloser.Close()
}

// loggingExporter logs failed exports as EventExportFailed and returns no error.
type loggingExporter struct {
	trace.SpanExporter
	log *logger.Logger
}

func (e loggingExporter) ExportSpans(ctx context.Context, spans []trace.ReadOnlySpan) error {
	err := e.SpanExporter.ExportSpans(ctx, spans)
	if err != nil {
		e.log.Log(EventExportFailed, logger.Fields{"spans": len(spans), "error": err.Error()})
	}
	return nil
}
