// Package orderer brings engines to what the pools table says: model, adapter,
// version and role.
//
// One node of the fleet sends orders. It holds a lease in the store, and every
// order carries the lease's fencing number, which an engine that checks it
// compares with the largest it has seen. An engine that does not check it gets
// orders from a new sender only after the old one's lease, the clock margin and
// the longest order have run out, and from no sender near the end of its lease.
// An order's effect is read back from the engine, never assumed.
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

// Order tells an engine what to become. It is idempotent.
type Order struct {
	// Model, Adapter and Version are what to load. An empty model leaves what is
	// loaded.
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Fence is the sender's fencing number, positive.
	Fence identifier.Fence
}

// State is what an engine says of itself.
type State struct {
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Loading tells that the engine is loading weights now.
	Loading bool
	// Running counts the requests that the engine holds.
	Running int
}

// Engines carries orders to engines.
type Engines interface {
	// Order sends an order. Fenced is its error when the engine refused the
	// fencing number; after any other error the order may have taken effect.
	Order(ctx context.Context, member tabulator.Member, order Order) error
	// State reads an engine's state.
	State(ctx context.Context, member tabulator.Member) (State, error)
}

// Fenced is the error type of an order with an old fencing number.
var Fenced = errorx.NewNamespace("orders").NewType("fenced")

// Options sets up an orderer. A zero limit takes the default in brackets.
type Options struct {
	// Self is this node.
	Self identifier.Node
	// Store keeps the lease.
	Store storer.Store
	// View returns the membership view.
	View func() *assigner.View
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *tabulator.Snapshot
	// Engines carries the orders.
	Engines Engines
	// Log and Scope take events and metrics. Either may be nil.
	Log   *logger.Logger
	Scope tally.Scope

	// LeaseDuration is how long a lease stands without renewal [15s].
	LeaseDuration time.Duration
	// ClockMargin is how much the clocks of two nodes may drift apart during a
	// lease [1s].
	ClockMargin time.Duration
	// SendMargin is how long before the end of its lease a sender stops. It must
	// exceed OrderTimeout [5s].
	SendMargin time.Duration
	// OrderTimeout bounds one call to an engine, the engine's work on it
	// included [3s].
	OrderTimeout time.Duration
	// StoreTimeout bounds one settling of the lease [2s].
	StoreTimeout time.Duration
	// Interval is the time between looks at the engines that are due [1s].
	Interval time.Duration
	// AuditInterval is the mean time between reads of an engine that matches
	// the table [1m].
	AuditInterval time.Duration
	// ReadBackInterval is the time between reads of an engine under orders [2s].
	ReadBackInterval time.Duration
	// EffectTimeout is when an order is sent again whose effect does not show:
	// the engine neither loads nor matches the table [30s].
	EffectTimeout time.Duration
	// Calls bounds the calls to engines at once [32].
	Calls int
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
	o.Calls = cmp.Or(o.Calls, 32)
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// shard is the shard whose owner takes the lease.
const shard = "engine-orders"

// Orderer sends orders while it holds the lease.
type Orderer struct {
	options Options
	random  *rand.Rand
	lease   lease

	// mutex guards engines, which holds the members of the configuration in
	// force while this node leads and is empty otherwise.
	mutex   sync.Mutex
	engines map[identity]*engine
	// loads is the table's bound on engines that load weights at once.
	loads int
	// audited tells that every engine has been read since the lease was taken,
	// so that loads ordered by an earlier sender are counted.
	audited bool
	// unsure is when an order was last sent whose answer was lost. It may still
	// be on its way to the engine.
	unsure time.Time
}

// New returns an orderer that does not lead.
func New(options Options) *Orderer {
	options.fillDefaults()
	seed := xxhash.Sum64String(string(options.Self))
	o := &Orderer{options: options, random: rand.New(rand.NewPCG(seed, 1)), engines: map[identity]*engine{}}
	o.lease = lease{options: &o.options}
	return o
}

// Run keeps the lease while this node owns the orders, and the engines at what
// the pools table says, until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.step(ctx)
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.StoreTimeout)
			defer cancel()
			o.stop(release)
			return nil
		}
	}
}

func (o *Orderer) step(ctx context.Context) {
	if o.options.View().Owner(shard).Node != o.options.Self {
		o.stop(ctx)
		o.lease.forget()
		return
	}
	led := o.lease.held()
	if !o.lease.keep(ctx) {
		if led {
			o.dropEngines()
		}
		return
	}
	if !led {
		o.dropEngines()
	}
	snapshot := o.options.Snapshot()
	if snapshot == nil {
		return
	}
	o.follow(snapshot)
	o.tend(ctx)
}

// stop gives the lease up. No call is under way by then, because step waits for
// all of them; but after a lost answer the order itself may be, and the lease is
// left to run out.
func (o *Orderer) stop(ctx context.Context) {
	if !o.lease.held() {
		return
	}
	if time.Since(o.unsure) > o.options.OrderTimeout+o.options.ClockMargin {
		o.lease.release(ctx)
	} else {
		o.lease.lose("left to run out")
	}
	o.dropEngines()
}

func (o *Orderer) dropEngines() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	clear(o.engines)
	o.audited = false
}

// Phase says how far an engine is on its way to the pools table.
type Phase string

// The phases of engines.
const (
	// PhaseUnread: the engine has not answered yet.
	PhaseUnread Phase = "unread"
	// PhaseLevel: the engine was read and matches the table.
	PhaseLevel Phase = "level"
	// PhaseWaiting: an order is due, but the lease, the wait-out of an earlier
	// sender or the bound on loads holds it up.
	PhaseWaiting Phase = "waiting"
	// PhaseDraining: the engine runs requests and is to change its role.
	PhaseDraining Phase = "draining"
	// PhaseOrdered: an order was sent and its effect is not seen yet.
	PhaseOrdered Phase = "ordered"
)

// Progress is one engine's way to the pools table.
type Progress struct {
	Pool   identifier.Pool
	Member identifier.Member
	Phase  Phase
	// State is what the engine last said.
	State State
}

// Progress lists the engines while this node sends the orders.
func (o *Orderer) Progress() []Progress {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	progress := make([]Progress, 0, len(o.engines))
	for name, engine := range o.engines {
		progress = append(progress, Progress{Pool: name.pool, Member: name.member, Phase: engine.phase, State: engine.state})
	}
	return progress
}
