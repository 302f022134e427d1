package cmd

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/meter"
	"github.com/foxtailspool/foxtailspool/server"
	"github.com/foxtailspool/foxtailspool/supervisor"
	"github.com/foxtailspool/foxtailspool/tracer"
)

// reportInterval is how often counts pass from the scope to the /metrics endpoint.
const reportInterval = time.Second

// assemble returns the node that the settings describe. The meter and the tracer
// are registered before the server because they must outlive it.
func assemble(ctx context.Context, settings configurator.Settings, log *logger.Logger) (runner, error) {
	network := connector.NewNetwork()
	certificates, err := readCertificates(settings, log)
	if err != nil {
		return nil, err
	}
	traces, err := newTracer(ctx, settings, network, log)
	if err != nil {
		return nil, err
	}
	traces.Install()
	metrics := meter.New(meter.Options{
		Node:       settings.Node.Name,
		DataCentre: settings.Node.DataCentre,
		Interval:   reportInterval,
		Log:        log,
	})
	node := server.New(server.Options{
		Settings:     settings,
		Incarnation:  identifier.Incarnation(time.Now().UnixNano()),
		Network:      network,
		Certificates: certificates,
		Tracer:       traces,
		Log:          log,
		Metrics:      metrics.Handler,
		Scope:        metrics.Scope,
	})
	process := supervisor.New()
	process.Register("tracer", traces)
	process.Register("meter", metrics)
	process.Register("server", node)
	return process, nil
}

// newTracer returns a tracer with a dedicated transport for its exports.
func newTracer(ctx context.Context, settings configurator.Settings, network connector.Network, log *logger.Logger) (*tracer.Tracer, error) {
	limits := settings.PeerCalls
	return tracer.New(ctx, tracer.Options{
		Node:        settings.Node.Name,
		DataCentre:  settings.Node.DataCentre,
		Endpoint:    settings.Traces.Endpoint,
		SampleRatio: settings.Traces.SampleRatio,
		Transport: network.Transport(connector.Limits{
			DialTimeout:           limits.DialTimeout,
			HeaderTimeout:         limits.HeaderTimeout,
			IdleTimeout:           limits.IdleTimeout,
			MaxConnectionsPerHost: 1,
		}),
		Log: log,
	})
}

// readCertificates loads the TLS files named in the settings. A connection kind
// without TLS files keeps a nil certificate.
func readCertificates(settings configurator.Settings, log *logger.Logger) (server.Certificates, error) {
	var certificates server.Certificates
	for _, connection := range []struct {
		files  configurator.TLS
		target **connector.TLS
	}{
		{settings.Callers.TLS, &certificates.Callers},
		{settings.Peers.TLS, &certificates.Peers},
		{settings.Operators.TLS, &certificates.Operators},
		{settings.Platform.TLS, &certificates.Platform},
	} {
		if connection.files == (configurator.TLS{}) {
			continue
		}
		loaded, err := connector.NewTLS(connector.TLSFiles{
			Certificate: connection.files.CertificateFile,
			Key:         connection.files.KeyFile,
			Authority:   connection.files.AuthorityFile,
		}, log)
		if err != nil {
			return certificates, err
		}
		*connection.target = loaded
	}
	return certificates, nil
}
