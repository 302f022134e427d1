package starter

import (
	"net"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/platform"
)

const (
	// defaultMaxBodyBytes limits request bodies if no configuration does.
	defaultMaxBodyBytes = 4 << 20
	// metricsPort is the port of the metrics endpoint; keep it equal in deploy/system.toml.
	metricsPort = "9464"
	// acceptGraceShare is the fraction of the grace period for which a stopping node accepts
	// requests; in the rest of the period it finishes them.
	acceptGraceShare = 0.5
	// streamGraceShare is the fraction of the grace period after which a stopping node rejects
	// streams: a stream may outlast the period, and its caller retries elsewhere at once.
	streamGraceShare = 0.25
	// finishGraceShare is the fraction of the grace period after which a stopping node closes
	// open requests; in the rest of the period it stops its other services.
	finishGraceShare = 0.9
	// memoryLimitShare is the fraction of Settings.MemoryBytes, the process's memory bound, that is
	// the Go runtime's soft memory limit; the kernel's connection buffers take some of the rest.
	memoryLimitShare = 0.6
	// callerFileShare is the fraction of the file descriptors for callers' connections.
	callerFileShare = 0.5
)

// peerLimits limit the listener for other nodes, whose calls are short or wait under a second.
var peerLimits = connector.ServerLimits{
	ReadHeaderTimeout: 5 * time.Second,
	ReadTimeout:       10 * time.Second,
	WriteTimeout:      5 * time.Second,
	IdleTimeout:       60 * time.Second,
	FinishTimeout:     200 * time.Millisecond,
	MaxConnections:    1000,
	MaxStreams:        250,
	MaxHeaderBytes:    16 << 10,
	MaxBodyBytes:      8 << 20,
}

// auxiliaryLimits limit the readiness, directory and metrics listeners.
var auxiliaryLimits = connector.ServerLimits{
	ReadHeaderTimeout: 5 * time.Second,
	ReadTimeout:       5 * time.Second,
	WriteTimeout:      5 * time.Second,
	IdleTimeout:       30 * time.Second,
	FinishTimeout:     100 * time.Millisecond,
	MaxConnections:    500,
	MaxStreams:        100,
	MaxHeaderBytes:    16 << 10,
	MaxBodyBytes:      64 << 10,
}

// callerLimits returns the limits of the listener for callers. Its timeouts exceed
// those of any configuration; platform.CallerHandler enforces the configured body limit.
func callerLimits(settings platform.Settings) connector.ServerLimits {
	return connector.ServerLimits{
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       60 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       60 * time.Second,
		FinishTimeout:     time.Duration(float64(settings.TerminationGrace) * (finishGraceShare - acceptGraceShare)),
		MaxConnections:    max(100, int(float64(settings.MaxOpenFiles)*callerFileShare)),
		MaxStreams:        100,
		MaxHeaderBytes:    64 << 10,
		MaxBodyBytes:      defaultMaxBodyBytes,
	}
}

// acceptPeriod returns how long a stopping node still accepts requests.
func (s *Starter) acceptPeriod() time.Duration {
	return time.Duration(float64(s.options.Settings.TerminationGrace) * acceptGraceShare)
}

// MemoryLimit returns the Go runtime's memory limit, in bytes.
func MemoryLimit(settings platform.Settings) int64 {
	return int64(float64(settings.MemoryBytes) * memoryLimitShare)
}

// metricsAddress returns settings.PeerAddress with port metricsPort, or unchanged if malformed.
func metricsAddress(settings platform.Settings) identifier.Address {
	host, _, err := net.SplitHostPort(string(settings.PeerAddress))
	if err != nil {
		return settings.PeerAddress
	}
	return identifier.Address(net.JoinHostPort(host, metricsPort))
}
