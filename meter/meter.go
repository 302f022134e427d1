// Package meter holds the metrics of a node: a tally scope that the services
// count in, exposed in the format of Prometheus on the operators' listener.
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

// prefix starts the name of every metric of the project.
const prefix = "foxtailspool"

// EventMetricRefused tells of a metric that cannot be exported.
var EventMetricRefused = logger.Define(1040, logrus.ErrorLevel, "metric refused",
	"Two metrics of one name have different labels; the later one is not exported. This is a fault of the program.")

// latencyBounds are the upper bounds, in seconds, of the histograms of timers.
var latencyBounds = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.076, 0.1, 0.25, 0.5, 0.7, 1, 2.5, 5, 10, 30, 60, 300,
}

// Options sets up a meter.
type Options struct {
	Node       identifier.Node
	DataCentre identifier.DataCentre
	// Interval is how often the scope passes its counts to the exposition.
	Interval time.Duration
	Log      *logger.Logger
}

// Meter holds the metrics of one node, a service of the micro-kernel.
type Meter struct {
	// Scope is where services count. Metrics of one name need the same tags.
	Scope tally.Scope
	// Handler serves the exposition.
	Handler http.Handler
	close   func() error
}

// New returns a meter with the metrics of the process and the Go runtime.
func New(options Options) *Meter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:              registry,
		DefaultTimerType:        promreporter.HistogramTimerType,
		DefaultHistogramBuckets: latencyBounds,
		OnRegisterError: func(err error) {
			options.Log.Log(EventMetricRefused, logger.Fields{"error": err.Error()})
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		Tags:                   map[string]string{"node": string(options.Node), "data_centre": string(options.DataCentre)},
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, options.Interval)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
	return &Meter{Scope: scope, Handler: handler, close: closer.Close}
}

// Run keeps the scope reporting until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	<-ctx.Done()
	return m.close()
}
