// Package tracer makes the spans of a node, one for each hop of a request, and
// passes the W3C trace context from callers on to other nodes and to backend
// servers. Spans are exported by OTLP over HTTP where an endpoint is set; without
// one none are made, and the context that came in is passed on as it is.
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

// Hop names a step of a request's path, the name of its spans.
type Hop string

// scopeName names the instrumentation in exported spans.
const scopeName = "github.com/foxtailspool/foxtailspool"

// The bounds of the export.
const (
	exportTimeout = 5 * time.Second
	// queueSpans bounds the spans that wait for export; more are dropped.
	queueSpans = 2048
)

// Unusable is the error type of an endpoint that cannot be exported to.
var Unusable = errorx.NewNamespace("tracer").NewType("unusable-endpoint")

// EventExportFailed tells of spans that were lost.
var EventExportFailed = logger.Define(1041, logrus.WarnLevel, "trace export failed",
	"Spans could not be sent to the collector and are lost. Requests are not affected.")

// Options sets up a tracer.
type Options struct {
	Node       identifier.Node
	DataCentre identifier.DataCentre
	// Endpoint is the base address of an OTLP/HTTP collector; empty for none.
	Endpoint string
	// SampleRatio is the share of requests traced where the caller did not decide.
	SampleRatio float64
	// Transport carries the export.
	Transport http.RoundTripper
	Log       *logger.Logger
}

// Tracer makes spans, a service of the micro-kernel.
type Tracer struct {
	tracer     api.Tracer
	provider   api.TracerProvider
	propagator propagation.TraceContext
	// shutdown exports what is left; nil where nothing is exported.
	shutdown func(context.Context) error
	log      *logger.Logger
}

// New returns a tracer. It does not connect to the collector yet.
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
		return nil, Unusable.Wrap(err, "traces endpoint")
	}
	return newExporting(options, loggedExporter{exporter, options.Log}), nil
}

func newExporting(options Options, exporter trace.SpanExporter) *Tracer {
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter, trace.WithMaxQueueSize(queueSpans), trace.WithExportTimeout(exportTimeout)),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(options.SampleRatio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "foxtailspool"),
			attribute.String("service.instance.id", string(options.Node)),
			attribute.String("foxtailspool.data-centre", string(options.DataCentre)),
		)),
	)
	return &Tracer{tracer: provider.Tracer(scopeName), provider: provider, shutdown: provider.Shutdown, log: options.Log}
}

// Install makes the tracer that of packages which use OpenTelemetry's global one.
// A process calls it once, for its only tracer.
func (t *Tracer) Install() {
	otel.SetTracerProvider(t.provider)
	otel.SetTextMapPropagator(t.propagator)
}

// Discard returns a tracer that makes no spans and still passes the context on.
func Discard() *Tracer {
	provider := noop.NewTracerProvider()
	return &Tracer{tracer: provider.Tracer(scopeName), provider: provider, log: logger.Discard()}
}

// Run exports until ctx ends, and then what is left.
func (t *Tracer) Run(ctx context.Context) error {
	<-ctx.Done()
	if t.shutdown == nil {
		return nil
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer cancel()
	if err := t.shutdown(last); err != nil {
		t.log.Log(EventExportFailed, logger.Fields{"error": err.Error()})
	}
	return nil
}

// Start begins the span of a hop. The caller ends it.
func (t *Tracer) Start(ctx context.Context, hop Hop, attributes ...attribute.KeyValue) (context.Context, Span) {
	ctx, span := t.tracer.Start(ctx, string(hop), api.WithAttributes(attributes...))
	return ctx, Span{span}
}

// Span is the time that one hop takes.
type Span struct {
	span api.Span
}

// Note adds what became known of the hop.
func (s Span) Note(attributes ...attribute.KeyValue) {
	s.span.SetAttributes(attributes...)
}

// End ends the span; err is the hop's failure or nil.
func (s Span) End(err error) {
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Extract returns ctx with the trace context of a request. It fits go-kit's
// ServerBefore.
func (t *Tracer) Extract(ctx context.Context, request *http.Request) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(request.Header))
}

// Endpoint returns a middleware that makes the hop of a go-kit endpoint.
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

// Handler makes the hop of an HTTP handler that is not made of endpoints.
func (t *Tracer) Handler(hop Hop, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.Start(t.Extract(r.Context(), r), hop)
		defer span.End(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Continue makes the hop of an HTTP handler for requests that come with a trace
// context, and none for others, such as probes.
func (t *Tracer) Continue(hop Hop, next http.Handler) http.Handler {
	traced := t.Handler(hop, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if api.SpanContextFromContext(t.Extract(r.Context(), r)).IsValid() {
			traced.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport makes the hop of a call to another server: a span that lasts until
// the answer's body is closed, and whose context is sent along. Calls that belong
// to no request, such as load reports, have no span.
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
	span.Note(attribute.Int("http.response.status_code", response.StatusCode))
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

// loggedExporter reports failed exports as events.
type loggedExporter struct {
	trace.SpanExporter
	log *logger.Logger
}

func (e loggedExporter) ExportSpans(ctx context.Context, spans []trace.ReadOnlySpan) error {
	err := e.SpanExporter.ExportSpans(ctx, spans)
	if err != nil {
		e.log.Log(EventExportFailed, logger.Fields{"spans": len(spans), "error": err.Error()})
	}
	return nil
}
