package starter

import (
	"math"
	"net"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/platform"
)

const (
	// defaultMaxBodyBytes, defaultHeaderTimeout and defaultIdleTimeout limit what callers send,
	// and for how long they send nothing, if no configuration does.
	defaultMaxBodyBytes  = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes limits the header of a caller's request; a configuration can lower it.
	maxHeaderBytes = 64 << 10
	// metricsPort is the port of the metrics endpoint; keep it equal in deploy/system.toml.
	metricsPort = "9464"
	// acceptGraceShare is the fraction of the grace period for which a stopping node accepts
	// requests; in the rest of the period it finishes them.
	acceptGraceShare = 0.5
	// longGraceShare and maxLongPeriod bound how long a stopping node accepts requests that
	// may outlast its grace period. Their callers retry elsewhere at once. The platform
	// excuses the cut of requests sent up to three seconds after the signal.
	longGraceShare = 0.25
	maxLongPeriod  = 2500 * time.Millisecond
	// answerGraceShare is the fraction of the grace period after which a stopping node answers
	// requests whose answer has not begun: it refuses those that have not run. The platform
	// excuses the end of a run in the last sixth.
	answerGraceShare = 0.86
	// finishGraceShare is the fraction of the grace period after which a stopping node closes
	// open streams; in the rest of the period it stops its other services.
	finishGraceShare = 0.9
	// memoryLimitShare is the fraction of Settings.MemoryBytes, the process's memory bound, that is
	// the Go runtime's soft memory limit; the kernel's connection buffers take some of the rest.
	memoryLimitShare = 0.6
	// requestMemoryShare, answerMemoryShare and connectionMemoryShare are the fractions of
	// Settings.MemoryBytes for the bodies and the state of callers' requests, for answers that
	// are read whole, and for callers' connections. The rest is for all else.
	requestMemoryShare    = 0.2
	answerMemoryShare     = 0.15
	connectionMemoryShare = 0.2
	// maxClientStreams bounds the requests at once on an HTTP/2 connection of a client that is no
	// node, and http2Bytes is the memory for such a connection: a window of 64 KB, and the state of
	// streams that have not taken memory for requests.
	maxClientStreams = 20
	http2Bytes       = 128 << 10
	// headerMemoryShare is the fraction for the headers of requests at all listeners, and
	// peerBodyMemoryShare that for the bodies of other nodes' calls.
	headerMemoryShare   = 0.1
	peerBodyMemoryShare = 0.1
	// auxiliaryMemoryShare, probeMemoryShare and peerMemoryShare are the fractions for the
	// connections of the directory, of readiness checks or metrics, and of other nodes.
	auxiliaryMemoryShare = 0.05
	probeMemoryShare     = 0.02
	peerMemoryShare      = 0.1
	// connectionBytes is the memory of a connection that waits for a request, without its buffers
	// in the kernel, and bufferBytes the least size of those.
	connectionBytes = 24 << 10
	bufferBytes     = 16 << 10
	// maxBufferBytes is the size of the kernel's buffers for each direction of a connection where
	// there is memory for more: enough for 25 MB/s over a path of 10 ms.
	maxBufferBytes = 256 << 10
	// backendBufferBytes is the size of the buffers of a connection to a back end. What a slow
	// caller does not read fills them and then holds the back end up.
	backendBufferBytes = 64 << 10
	// ownerCores and ownerLinkRate are what the owner of a shard of usual size needs: a tenth
	// of a core and 5 Mbit/s (docs/CAPACITY.md).
	ownerCores                              = 0.1
	ownerLinkRate identifier.BytesPerSecond = 625_000
	// minCallerConnections applies if the settings allow fewer, as do minAuxiliaryConnections and
	// minPeerConnections, which every node of a large fleet may need at once.
	minCallerConnections    = 100
	minAuxiliaryConnections = 50
	minPeerConnections      = 400
	// callerFileShare, auxiliaryFileShare and peerFileShare are the fractions of the file
	// descriptors for the connections of callers, of each auxiliary listener and of other nodes.
	callerFileShare    = 0.5
	auxiliaryFileShare = 0.05
	peerFileShare      = 0.2
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
	MaxStreams:        maxClientStreams,
	HTTP2Bytes:        http2Bytes,
	MaxHeaderBytes:    16 << 10,
	MaxBodyBytes:      64 << 10,
}

// callerLimits returns the limits of the listener for callers that no configuration changes.
// platform.CallerHandler enforces the configured sizes, and tables.callerTimeouts has the
// configured timeouts.
func callerLimits(settings platform.Settings) connector.ServerLimits {
	connections := maxCallerConnections(settings)
	return connector.ServerLimits{
		ReadHeaderTimeout: defaultHeaderTimeout,
		ReadTimeout:       60 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       defaultIdleTimeout,
		FinishTimeout:     time.Duration(float64(settings.TerminationGrace) * (finishGraceShare - acceptGraceShare)),
		MaxConnections:    connections,
		BufferBytes:       connectionBuffers(settings, connectionMemoryShare, connections),
		MaxStreams:        maxClientStreams,
		HTTP2Bytes:        http2Bytes,
		MaxHeaderBytes:    maxHeaderBytes,
		MaxBodyBytes:      math.MaxInt64,
	}
}

// maxCallerConnections returns the number of callers' connections that the process has file
// descriptors and memory for.
func maxCallerConnections(settings platform.Settings) int {
	most := int(float64(settings.MaxOpenFiles) * callerFileShare)
	return maxConnections(settings, connectionMemoryShare, minCallerConnections, most)
}

// maxConnections returns the number of connections that a share of the process's memory has room
// for, from least to most.
func maxConnections(settings platform.Settings, share float64, least, most int) int {
	if byMemory := int(memoryShare(settings, share) / (connectionBytes + bufferBytes)); byMemory > 0 {
		most = min(most, byMemory)
	}
	return max(least, most)
}

// connectionBuffers returns the size of the kernel's buffers for each of a number of connections
// with a share of the process's memory.
func connectionBuffers(settings platform.Settings, share float64, connections int) int {
	bytes := memoryShare(settings, share)/int64(connections) - connectionBytes
	return int(min(max(bytes, bufferBytes), maxBufferBytes))
}

// withShare returns limits for a listener whose connections have a share of the process's memory
// and descriptors, as far as the settings name these.
func withShare(limits connector.ServerLimits, settings platform.Settings, memory, files float64, least int) connector.ServerLimits {
	most := limits.MaxConnections
	if settings.MaxOpenFiles > 0 {
		most = min(most, int(float64(settings.MaxOpenFiles)*files))
	}
	limits.MaxConnections = maxConnections(settings, memory, min(least, most), most)
	limits.BufferBytes = connectionBuffers(settings, memory, limits.MaxConnections)
	return limits
}

// memoryShare returns a fraction of the process's memory, in bytes; zero if that is unknown.
func memoryShare(settings platform.Settings, share float64) int64 {
	return int64(float64(settings.MemoryBytes) * share)
}

// stopLimits returns the limits for requests of a node that was told to stop, or the zero
// Stop before.
func (s *Starter) stopLimits() forwarder.Stop {
	stopped := s.stoppedAt.Load()
	if stopped == nil {
		return forwarder.Stop{}
	}
	grace := float64(s.options.Settings.TerminationGrace)
	return forwarder.Stop{
		AnswerBy:       stopped.Add(time.Duration(grace * answerGraceShare)),
		RefuseLongFrom: stopped.Add(min(maxLongPeriod, time.Duration(grace*longGraceShare))),
	}
}

// acceptPeriod returns how long a stopping node still accepts requests.
func (s *Starter) acceptPeriod() time.Duration {
	return time.Duration(float64(s.options.Settings.TerminationGrace) * acceptGraceShare)
}

// MemoryLimit returns the Go runtime's memory limit, in bytes.
func MemoryLimit(settings platform.Settings) int64 {
	return memoryShare(settings, memoryLimitShare)
}

// ownerCapacity returns what the VM can carry for the fleet, limited by its processor or its
// link, whichever is scarcer; zero if one is unknown.
func ownerCapacity(settings platform.Settings) identifier.Capacity {
	byProcessor := settings.Cores / ownerCores
	byLink := float64(settings.LinkRate) / float64(ownerLinkRate)
	return identifier.Capacity(min(100*min(byProcessor, byLink), math.MaxUint32))
}

// metricsAddress returns settings.PeerAddress with port metricsPort, or unchanged if malformed.
func metricsAddress(settings platform.Settings) identifier.Address {
	host, _, err := net.SplitHostPort(string(settings.PeerAddress))
	if err != nil {
		return settings.PeerAddress
	}
	return identifier.Address(net.JoinHostPort(host, metricsPort))
}
