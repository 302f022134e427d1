// Package prober keeps the membership of the fleet: which nodes are alive,
// suspected, leaving or dead, as this node sees it.
//
// Each node probes a few neighbours that it keeps connections to, so that its
// traffic does not grow with the fleet. News rides on the probes, is pushed on
// at once by those who hear it first, and is repaired by comparing digests. A
// node is suspected only when the kept connection, a new connection and other
// nodes all failed to reach it, and it can refute the suspicion.
//
// The decisions are made by machine, which knows no clock, network or goroutine.
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

// Options are the settings and the surroundings of a Prober. The zero value of
// a duration or a count means its default.
type Options struct {
	// Self is this node. Its Incarnation must be larger than that of earlier
	// runs under the same name; the start time in nanoseconds will do.
	Self assigner.Member
	// Seeds are peer addresses to join through. They are tried until one
	// answers, and rarely afterwards, so that two halves of the fleet that lost
	// each other for long find together again.
	Seeds []identifier.Address
	// Listed returns further seeds, such as the platform's VM list. It may be
	// late or wrong: it is never taken as membership. It may be nil.
	Listed func() []identifier.Address
	// Unlisted tells that Listed has not been read yet. Without seeds a node waits
	// for it before it goes on alone, but no longer than SuspectAfter. It may be nil.
	Unlisted func() bool
	// Peers sends to "http://" and a peer address, and keeps connections longer
	// than four Intervals.
	Peers http.RoundTripper
	// NewPeers returns a fresh transport without connections. It is tried before
	// a peer is suspected, because open connections can go silent for good, and
	// used for rare contacts. It may be nil: then Peers serves for both.
	NewPeers func() http.RoundTripper
	// Interval is the time between two probes by this node; 1 s by default.
	Interval time.Duration
	// Timeout bounds each try of a probe; 400 ms by default.
	Timeout time.Duration
	// SuspectAfter is how long a suspect has to refute before it is dead; 3 s by
	// default.
	SuspectAfter time.Duration
	// RefusedAfter is the same for a suspect whose address refuses connections from
	// all who tried; 1 s by default.
	RefusedAfter time.Duration
	// SuspendAfter is the gap in this node's own running after which it owns
	// nothing until a peer has told it what happened; 2 s by default. It must be
	// shorter than the time to detect a failure.
	SuspendAfter time.Duration
	// ReviveAfter is the time between two tries to reach a dead member or a seed
	// that is not a live member; 20 s by default.
	ReviveAfter time.Duration
	// ForgetAfter is how long dead members stay listed; 1 h by default.
	ForgetAfter time.Duration
	// RepairAfter is the least time between two repairs this node asks for; 3 s
	// by default.
	RepairAfter time.Duration
	// RumourKeep is how long a rumour is passed on; 5 min by default.
	RumourKeep time.Duration
	// Rings is the number of neighbours that the node probes; 4 by default.
	Rings int
	// Helpers is how many other nodes probe a peer that does not answer, before
	// it is suspected; 4 by default.
	Helpers int
	// Log and Scope may be nil.
	Log   *logger.Logger
	Scope tally.Scope
}

// The defaults of Options.
const (
	defaultInterval     = time.Second
	defaultTimeout      = 400 * time.Millisecond
	defaultSuspectAfter = 3 * time.Second
	defaultRefusedAfter = time.Second
	defaultSuspendAfter = 2 * time.Second
	defaultReviveAfter  = 20 * time.Second
	defaultForgetAfter  = time.Hour
	defaultRepairAfter  = 3 * time.Second
	defaultRumourKeep   = 5 * time.Minute
	defaultRings        = 4
	defaultHelpers      = 4
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, defaultSuspectAfter)
	o.RefusedAfter = cmp.Or(o.RefusedAfter, defaultRefusedAfter)
	o.SuspendAfter = cmp.Or(o.SuspendAfter, defaultSuspendAfter)
	o.ReviveAfter = cmp.Or(o.ReviveAfter, defaultReviveAfter)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	o.RepairAfter = cmp.Or(o.RepairAfter, defaultRepairAfter)
	o.RumourKeep = cmp.Or(o.RumourKeep, defaultRumourKeep)
	o.Rings = cmp.Or(o.Rings, defaultRings)
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
