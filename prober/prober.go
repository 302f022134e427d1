// Package prober implements the membership protocol: it tracks which nodes of the
// fleet are alive, suspected, leaving or dead, as seen from this node.
//
// Each node probes a fixed number of neighbours over persistent connections, so
// its traffic does not grow with the fleet. Updates are piggybacked on the probes.
// A node that receives an update pushes it to its neighbours at once. Nodes compare
// digests to detect updates that they missed, and request a repair. A node is suspected
// only after a pooled connection, a new connection and other nodes all failed to
// reach it. The suspected node can refute the suspicion.
//
// stateMachine makes the decisions and uses no clock, network or goroutine.
// Prober drives it.
package prober

import (
	"cmp"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Options configures a Prober. The zero value of a duration or a count means its default.
type Options struct {
	// Self is this node. Its Incarnation must be larger than that of every earlier
	// run under the same name, for example the start time in nanoseconds.
	Self assigner.Member
	// Seeds are peer addresses to join through. They are tried until one answers.
	// Later they are retried every ReconnectInterval, so that two halves of the
	// fleet rejoin after a long partition.
	Seeds []identifier.Address
	// DiscoveredSeeds returns further seeds, such as the platform's VM list. The list may
	// be stale or wrong, so it never decides membership. DiscoveredSeeds may be nil.
	DiscoveredSeeds func() []identifier.Address
	// DiscoveryPending reports whether the list behind DiscoveredSeeds has not been read
	// yet, or may lack all nodes after the platform lost their entries. A node without
	// seeds waits for the list before it starts alone, but no longer than
	// DiscoveryTimeout. DiscoveryPending may be nil.
	DiscoveryPending func() bool
	// DiscoveryTimeout is how long a node waits for DiscoveryPending after its start;
	// SuspicionTimeout by default.
	DiscoveryTimeout time.Duration
	// Transport sends requests to "http://" plus a peer address. It must keep idle
	// connections for more than four Intervals.
	Transport http.RoundTripper
	// NewTransport returns a transport without open connections. Before a peer is suspected,
	// it is tried over a new transport, because an open connection can go silent for good.
	// Rare contacts, such as those with dead members, use a new transport too. If
	// NewTransport is nil, Transport is used instead.
	NewTransport func() http.RoundTripper
	// Interval is the time between two probes by this node; 1 s by default.
	Interval time.Duration
	// Timeout bounds each attempt of a probe; 400 ms by default.
	Timeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute the suspicion before it is
	// declared dead; 3 s by default.
	SuspicionTimeout time.Duration
	// RefusedSuspicionTimeout replaces SuspicionTimeout for a suspect whose address
	// refused the connections of all nodes that tried; 1 s by default.
	RefusedSuspicionTimeout time.Duration
	// SuspendAfter is the length of a pause of this process after which the node owns
	// no shards until a peer has sent it the current membership; 2 s by default. It
	// must be shorter than the time that other nodes need to detect a failure.
	SuspendAfter time.Duration
	// ReconnectInterval is the time between two attempts to reach dead members and
	// seeds that are not live members; 20 s by default.
	ReconnectInterval time.Duration
	// ForgetAfter is how long dead members stay in the view; 1 h by default.
	ForgetAfter time.Duration
	// RepairInterval is the minimum time, before jitter, between two repairs that this
	// node requests; 3 s by default.
	RepairInterval time.Duration
	// RumourLifetime is how long a rumour is passed on; 5 min by default.
	RumourLifetime time.Duration
	// Neighbours is the number of nodes that this node probes; 4 by default.
	Neighbours int
	// Helpers is how many other nodes are asked to probe an unresponsive peer before
	// it is suspected; 4 by default.
	Helpers int
	// Log and Scope may be nil.
	Log   *logger.Logger
	Scope tally.Scope
}

// The defaults of Options.
const (
	defaultInterval                = time.Second
	defaultTimeout                 = 400 * time.Millisecond
	defaultSuspicionTimeout        = 3 * time.Second
	defaultRefusedSuspicionTimeout = time.Second
	defaultSuspendAfter            = 2 * time.Second
	defaultReconnectInterval       = 20 * time.Second
	defaultForgetAfter             = time.Hour
	defaultRepairInterval          = 3 * time.Second
	defaultRumourLifetime          = 5 * time.Minute
	defaultNeighbours              = 4
	defaultHelpers                 = 4
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.SuspicionTimeout = cmp.Or(o.SuspicionTimeout, defaultSuspicionTimeout)
	o.DiscoveryTimeout = cmp.Or(o.DiscoveryTimeout, o.SuspicionTimeout)
	o.RefusedSuspicionTimeout = cmp.Or(o.RefusedSuspicionTimeout, defaultRefusedSuspicionTimeout)
	o.SuspendAfter = cmp.Or(o.SuspendAfter, defaultSuspendAfter)
	o.ReconnectInterval = cmp.Or(o.ReconnectInterval, defaultReconnectInterval)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	o.RepairInterval = cmp.Or(o.RepairInterval, defaultRepairInterval)
	o.RumourLifetime = cmp.Or(o.RumourLifetime, defaultRumourLifetime)
	o.Neighbours = cmp.Or(o.Neighbours, defaultNeighbours)
	o.Helpers = cmp.Or(o.Helpers, defaultHelpers)
	o.Self.State = assigner.Alive
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
