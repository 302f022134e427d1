// Package orderer makes engines match the pools table in model, adapter, version and
// role.
//
// One node of the fleet sends orders. It holds a lease in the store, and every order
// carries the lease's fencing number. An engine that checks it refuses a number smaller
// than the largest it has seen. An engine that does not check it gets orders from a new
// sender only after the previous sender's lease, the clock margin and the longest order
// have run out. No sender sends orders near the end of its lease. The effect of an
// order is read back from the engine, never assumed.
package orderer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Order is the state that an engine must take on. It is idempotent.
type Order struct {
	// Model is the model to load. Empty leaves the loaded model in place.
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Fence is the sender's fencing number, which is positive.
	Fence identifier.Fence
}

// State is an engine's state as it reports it.
type State struct {
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Loading is true while the engine loads weights.
	Loading bool
	// Running is the number of requests in flight on the engine.
	Running int
}

// Engines sends orders to engines and reads their state.
type Engines interface {
	// SendOrder sends an order. Its error is Fenced if the engine refused the fencing
	// number. After any other error the order may have taken effect.
	SendOrder(ctx context.Context, member tabulator.Member, order Order) error
	// State reads an engine's state.
	State(ctx context.Context, member tabulator.Member) (State, error)
}

// Fenced is the error type of an order refused for a fencing number that is too small.
var Fenced = errorx.NewNamespace("orders").NewType("fenced")

// Options configures an orderer. Zero durations and limits take the default in
// brackets.
type Options struct {
	Self identifier.Node
	// Store stores the lease.
	Store storer.Store
	// View returns the membership view.
	View func() *assigner.View
	// Snapshot returns the configuration in force, or nil before there is one.
	Snapshot func() *tabulator.Snapshot
	Engines  Engines
	// Log receives events. It may be nil.
	Log *logger.Logger
	// Scope receives metrics. It may be nil.
	Scope tally.Scope

	// LeaseDuration is how long a lease lasts without renewal [15s].
	LeaseDuration time.Duration
	// ClockMargin is the largest clock drift between two nodes during a lease [1s].
	ClockMargin time.Duration
	// SendMargin is the time before the end of its lease in which a sender sends no
	// order. It must exceed OrderTimeout [5s].
	SendMargin time.Duration
	// OrderTimeout limits one call to an engine, including the engine's work [3s].
	OrderTimeout time.Duration
	// StoreTimeout limits one attempt to acquire, renew or release the lease [2s].
	StoreTimeout time.Duration
	// Interval is the time between two rounds over the engines that are due [1s].
	Interval time.Duration
	// AuditInterval is the mean time between reads of an engine that matches the table
	// [1m].
	AuditInterval time.Duration
	// ReadBackInterval is the time between reads of an engine that does not match the
	// table [2s].
	ReadBackInterval time.Duration
	// EffectTimeout is the time after which an order is sent again if it has no effect:
	// the engine neither loads nor matches the table [30s].
	EffectTimeout time.Duration
	// MaxCalls is the maximum number of concurrent calls to engines [32].
	MaxCalls int
}

func (o *Options) fillDefaults() {
	o.LeaseDuration = cmp.Or(o.LeaseDuration, 15*time.Second)
	o.ClockMargin = cmp.Or(o.ClockMargin, time.Second)
	o.SendMargin = cmp.Or(o.SendMargin, 5*time.Second)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, 3*time.Second)
	o.StoreTimeout = cmp.Or(o.StoreTimeout, 2*time.Second)
	o.Interval = cmp.Or(o.Interval, time.Second)
	o.AuditInterval = cmp.Or(o.AuditInterval, time.Minute)
	o.ReadBackInterval = cmp.Or(o.ReadBackInterval, 2*time.Second)
	o.EffectTimeout = cmp.Or(o.EffectTimeout, 30*time.Second)
	o.MaxCalls = cmp.Or(o.MaxCalls, 32)
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// ownerShard is the shard whose owner acquires the lease.
const ownerShard = "engine-orders"

// Orderer sends orders while it holds the lease.
type Orderer struct {
	options Options
	random  *rand.Rand
	lease   lease

	// mutex guards engines, maxLoads and allRead. engines contains the members of the
	// configuration in force while this node holds the lease, and is empty otherwise.
	mutex   sync.Mutex
	engines map[engineKey]*engine
	// maxLoads is the table's limit on engines that load weights concurrently.
	maxLoads int
	// allRead is true once every engine has been read since the lease was acquired, so
	// that loads ordered by an earlier sender count towards maxLoads.
	allRead bool
	// lastUncertainOrder is when an order last failed with an error that leaves its
	// effect unknown. That order may still be in flight.
	lastUncertainOrder time.Time
}

// New returns an orderer without the lease.
func New(options Options) *Orderer {
	options.fillDefaults()
	seed := xxhash.Sum64String(string(options.Self))
	o := &Orderer{options: options, random: rand.New(rand.NewPCG(seed, 1)), engines: map[engineKey]*engine{}}
	o.lease = lease{options: &o.options}
	return o
}

// Run holds the lease while this node owns the orders, and makes the engines match the
// pools table, until ctx ends. It then gives the lease up.
func (o *Orderer) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.runOnce(ctx)
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.StoreTimeout)
			defer cancel()
			o.stepDown(release)
			return nil
		}
	}
}

func (o *Orderer) runOnce(ctx context.Context) {
	if o.options.View().Owner(ownerShard).Node != o.options.Self {
		o.stepDown(ctx)
		o.lease.reset()
		return
	}
	wasHolder := o.lease.isHeld()
	if !o.lease.acquireOrRenew(ctx) {
		if wasHolder {
			o.clearEngines()
		}
		return
	}
	if !wasHolder {
		o.clearEngines()
	}
	snapshot := o.options.Snapshot()
	if snapshot == nil {
		return
	}
	o.syncEngines(snapshot)
	o.reconcile(ctx)
}

// stepDown gives the lease up. No call is in flight here, because runOnce waits for its
// calls. But an order whose answer was lost may still arrive. In that case the lease is
// left to expire instead of being released.
func (o *Orderer) stepDown(ctx context.Context) {
	if !o.lease.isHeld() {
		return
	}
	if time.Since(o.lastUncertainOrder) > o.options.OrderTimeout+o.options.ClockMargin {
		o.lease.release(ctx)
	} else {
		o.lease.markNotHeld("left to run out")
	}
	o.clearEngines()
}

func (o *Orderer) clearEngines() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	clear(o.engines)
	o.allRead = false
}

// Phase is an engine's progress towards the pools table.
type Phase string

// The phases of engines.
const (
	// PhaseUnread means that the engine has not answered yet.
	PhaseUnread Phase = "unread"
	// PhaseMatching means that the engine was read and matches the table.
	PhaseMatching Phase = "level"
	// PhaseWaiting means that an order is due but delayed: by the lease, by the limit
	// on loads, or by an earlier sender's order that may still be in flight.
	PhaseWaiting Phase = "waiting"
	// PhaseDraining means that requests must finish before the role changes.
	PhaseDraining Phase = "draining"
	// PhaseOrdered means that an order was sent and has not been seen to take effect.
	PhaseOrdered Phase = "ordered"
)

// Progress is one engine's progress towards the pools table.
type Progress struct {
	Pool   identifier.Pool
	Member identifier.Member
	Phase  Phase
	// State is the state that the engine last reported.
	State State
}

// Progress lists the engines' progress; it is empty while this node has no lease.
func (o *Orderer) Progress() []Progress {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	progress := make([]Progress, 0, len(o.engines))
	for key, engine := range o.engines {
		progress = append(progress, Progress{Pool: key.pool, Member: key.member, Phase: engine.phase, State: engine.state})
	}
	return progress
}
