package starter

import (
	"net"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/platform"
)

const (
	// maximumBody bounds bodies until a configuration bounds them.
	maximumBody = 4 << 20
	// metricsPort is where the metrics are served; deploy/system.toml names it too.
	metricsPort = "9464"
	// leaveShare is the part of the grace for which a node that stops still takes
	// requests; the rest is for finishing them.
	leaveShare = 0.5
	// streamShare is the part after which such a node takes no more streams, which
	// may last longer than what is left: their callers go to another node at once.
	streamShare = 0.25
	// finishShare is when a node that stops cuts what is still open, of the grace.
	// The rest is for the other services to end.
	finishShare = 0.9
	// memoryShare is the part of the memory bound that the garbage collector aims
	// below; connections' buffers in the kernel take some of the rest.
	memoryShare = 0.6
	// callerFiles is the part of the descriptors that callers' connections may take.
	callerFiles = 0.5
)

// peerLimits bound the listener for other nodes. Its calls are short, or held for
// less than a second.
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

// smallLimits bound the listeners for checks, address answers and metrics.
var smallLimits = connector.ServerLimits{
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

// callerLimits bound the listener for callers. The times lie above what the
// configurations allow, which the door enforces where it knows them.
func callerLimits(settings platform.Settings) connector.ServerLimits {
	return connector.ServerLimits{
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       60 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       60 * time.Second,
		FinishTimeout:     time.Duration(float64(settings.TerminationGrace) * (finishShare - leaveShare)),
		MaxConnections:    max(100, int(float64(settings.MaxOpenFiles)*callerFiles)),
		MaxStreams:        100,
		MaxHeaderBytes:    64 << 10,
		MaxBodyBytes:      maximumBody,
	}
}

// leaveTime is how long a node that stops goes on taking requests.
func (s *Starter) leaveTime() time.Duration {
	return time.Duration(float64(s.options.Settings.TerminationGrace) * leaveShare)
}

// MemoryLimit is what the garbage collector should stay below.
func MemoryLimit(settings platform.Settings) int64 {
	return int64(float64(settings.MemoryBytes) * memoryShare)
}

// metricsAddress is on the same host as the peers' listener.
func metricsAddress(settings platform.Settings) identifier.Address {
	host, _, err := net.SplitHostPort(string(settings.PeerAddress))
	if err != nil {
		return settings.PeerAddress
	}
	return identifier.Address(net.JoinHostPort(host, metricsPort))
}
