// Package meter provides a node's metrics: a tally scope in which services record them
// and an HTTP handler that exposes them on the operators' listener in the Prometheus format.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// prefix is the prefix of all metric names in the scope.
const prefix = "foxtailspool"

// EventMetricRefused is logged when a metric cannot be registered for export.
var EventMetricRefused = logger.Define(1040, logrus.ErrorLevel, "metric refused",
	"Two metrics have the same name but different labels; the later one is not exported. This is a bug in the program.")

// latencyBuckets are the upper bounds, in seconds, of the buckets of timer histograms.
var latencyBuckets = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.076, 0.1, 0.25, 0.5, 0.7, 1, 2.5, 5, 10, 30, 60, 300,
}

// Options configures a meter.
type Options struct {
	Node       identifier.Node
	DataCentre identifier.DataCentre
	// Interval is how often the scope reports its counts to Handler.
	Interval time.Duration
	Log      *logger.Logger
}

// Meter holds the metrics of one node and runs as a service of the supervisor.
type Meter struct {
	// Scope is where services count. Metrics with the same name need the same tag keys.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus format.
	Handler http.Handler
	close   func() error
}

// New returns a meter that also exposes metrics of the process and the Go runtime.
func New(options Options) *Meter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:              registry,
		DefaultTimerType:        promreporter.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
		OnRegisterError: func(err error) {
			options.Log.Log(EventMetricRefused, logger.Fields{"error": err.Error()})
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		Tags:                   map[string]string{"node": string(options.Node), "data_centre": string(options.DataCentre)},
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, options.Interval)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
	return &Meter{Scope: scope, Handler: handler, close: closer.Close}
}

// sanitizeOptions allows the Prometheus characters in metric names, and also "-", "."
// and "/" in tag values, since the names of nodes and data centres have hyphens.
func sanitizeOptions() *tally.SanitizeOptions {
	options := promreporter.DefaultSanitizerOpts
	options.ValueCharacters.Characters = append([]rune{'-', '.', '/'}, options.ValueCharacters.Characters...)
	return &options
}

// Run waits until ctx ends, then reports the last counts and closes the scope.
func (m *Meter) Run(ctx context.Context) error {
	<-ctx.Done()
	return m.close()
}
