package starter

import (
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/platform"
)

// TestOwnerCapacity checks that a VM's scarcer resource limits what it can carry.
func TestOwnerCapacity(t *testing.T) {
	for _, test := range []struct {
		cores float64
		link  identifier.BytesPerSecond
		want  identifier.Capacity
	}{
		{0.8, 25_000_000, 800},
		{0.8, 1_250_000, 200},
		{0.192, 25_000_000, 192},
		{0.192, 0, 0},
	} {
		if got := ownerCapacity(platform.Settings{Cores: test.cores, LinkRate: test.link}); got != test.want {
			t.Errorf("%v cores, %v bytes a second: %d, want %d", test.cores, test.link, got, test.want)
		}
	}
}

// TestStopLimitsUseSteadyClock guards against long requests that a stopping node accepts and
// cuts because the time of day has jumped back.
func TestStopLimitsUseSteadyClock(t *testing.T) {
	s := &Starter{options: Options{Settings: platform.Settings{TerminationGrace: 8 * time.Second}}}
	stoppedAt := time.Now()
	s.stoppedAt.Store(&stoppedAt)
	stop := s.stopLimits()
	for _, limit := range []time.Time{stop.RefuseLongFrom, stop.AnswerBy} {
		// Only a time with a reading of the steady clock prints one.
		if !strings.Contains(limit.String(), " m=") {
			t.Errorf("%s has no reading of the steady clock", limit)
		}
	}
}

// TestRetryBudgetWithoutSettings guards against nodes that never retry, or without a limit,
// since their settings have no retry budget.
func TestRetryBudgetWithoutSettings(t *testing.T) {
	budget := limiter.New((&Starter{}).retryBudget(platform.RetryBudget{})).Pool("desk")
	retries := 0
	for retries < 1000 && budget.TakeRetry() {
		retries++
	}
	if retries == 0 || retries > 100 {
		t.Errorf("%d retries at once", retries)
	}
}

// TestConnectionsFitTheirMemory guards against listeners that together accept more connections
// than the process has memory or descriptors for, and against buffers so small that a legal
// request crawls.
func TestConnectionsFitTheirMemory(t *testing.T) {
	for _, settings := range []platform.Settings{
		{MemoryBytes: 112 << 20, MaxOpenFiles: 4100},
		{MemoryBytes: 536 << 20, MaxOpenFiles: 4100},
		{MemoryBytes: 56 << 20, MaxOpenFiles: 1025},
	} {
		memory, files := int64(0), 0
		auxiliary := withShare(auxiliaryLimits, settings, auxiliaryMemoryShare, auxiliaryFileShare, minAuxiliaryConnections)
		probes := withShare(auxiliaryLimits, settings, probeMemoryShare, auxiliaryFileShare, minAuxiliaryConnections)
		peers := withShare(peerLimits, settings, peerMemoryShare, peerFileShare, minPeerConnections)
		for _, limits := range []connector.ServerLimits{callerLimits(settings), auxiliary, probes, probes, peers} {
			if limits.BufferBytes < bufferBytes || limits.MaxConnections < minAuxiliaryConnections {
				t.Errorf("%+v: %d connections with buffers of %d bytes", settings, limits.MaxConnections, limits.BufferBytes)
			}
			memory += int64(limits.MaxConnections) * int64(connectionBytes+limits.BufferBytes)
			files += limits.MaxConnections
		}
		if memory > settings.MemoryBytes/2 || files > settings.MaxOpenFiles*9/10 {
			t.Errorf("%+v: connections have %d bytes and %d descriptors", settings, memory, files)
		}
	}
}
