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

// reportInterval is how often metrics reach their exposition.
const reportInterval = time.Second

// assemble makes a node from its settings: the server, and around it what must
// outlive it.
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

// newTracer returns a tracer that exports over a transport of its own.
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

// readCertificates reads the TLS files that the settings name.
func readCertificates(settings configurator.Settings, log *logger.Logger) (server.Certificates, error) {
	var certificates server.Certificates
	for _, side := range []struct {
		files  configurator.TLS
		target **connector.TLS
	}{
		{settings.Callers.TLS, &certificates.Callers},
		{settings.Peers.TLS, &certificates.Peers},
		{settings.Operators.TLS, &certificates.Operators},
		{settings.Platform.TLS, &certificates.Platform},
	} {
		if side.files == (configurator.TLS{}) {
			continue
		}
		read, err := connector.NewTLS(connector.TLSFiles{
			Certificate: side.files.CertificateFile,
			Key:         side.files.KeyFile,
			Authority:   side.files.AuthorityFile,
		}, log)
		if err != nil {
			return certificates, err
		}
		*side.target = read
	}
	return certificates, nil
}
