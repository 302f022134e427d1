// Package publisher distributes the routes and pools tables, which operators
// edit, to every node as one immutable numbered configuration.
//
// To accept an edit, a node joins both tables, validates the result and writes
// it to the store with a conditional update. That write decides between
// concurrent operators and nodes. Nodes then push the configuration to each
// other along a tree of bounded degree, and each node compares numbers with a
// random peer to recover lost pushes. Only a few nodes watch the store, so the
// store calls do not grow with the fleet. A node only ever moves to a larger
// number, even if the store later returns a smaller one.
package publisher

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Options configures a publisher. Zero selects the default given in brackets.
type Options struct {
	// Self and DataCentre identify this node.
	Self       identifier.Node
	DataCentre identifier.DataCentre
	Store      storer.Store
	// View returns the membership view.
	View func() *assigner.View
	// PeerTransport sends calls to other nodes.
	PeerTransport http.RoundTripper
	// Broadcast sends a payload to all nodes by membership gossip. It may be nil.
	Broadcast func(topic string, payload []byte)
	// OnActivated is called after each switch to a larger snapshot, one call at a
	// time and in ascending order of numbers. It is called with a lock held, so
	// it must return quickly. It may be nil.
	OnActivated func(*tabulator.Snapshot)
	// Log and Scope receive events and metrics. Either may be nil.
	Log   *logger.Logger
	Scope tally.Scope

	// Degree is the number of nodes that a node forwards a configuration to [4].
	Degree int
	// PeerTimeout is the timeout of one call to a peer [1s].
	PeerTimeout time.Duration
	// ReachTimeout limits how long a push tries to reach one node in each data
	// centre before acceptance is reported [3s].
	ReachTimeout time.Duration
	// ApplyTimeout is the timeout of a whole Apply call [15s].
	ApplyTimeout time.Duration
	// StatusTimeout is the timeout of best-effort writes of table status [2s].
	StatusTimeout time.Duration
	// CompareInterval is the mean time between comparisons with a peer [2s].
	CompareInterval time.Duration
	// ListInterval is the mean time between full lists of a watched kind, which
	// recover changes that the watch skipped [1m].
	ListInterval time.Duration
	// VMInterval is the mean time between fetches of the list of VMs from a peer [3s].
	VMInterval time.Duration
	// ProposalWait is how long the owner of the tables leaves a proposed edit to
	// the node whose Apply wrote it [5s].
	ProposalWait time.Duration
	// OwnershipWait is how long a node must own a watch before opening it [3s].
	OwnershipWait time.Duration
	// BackOffMinimum and BackOffMaximum bound the jittered exponential backoff
	// after failed store calls [500ms, 8s].
	BackOffMinimum time.Duration
	BackOffMaximum time.Duration
	// StepsKept is the number of recent steps that a node keeps, to send them
	// instead of the whole configuration [32].
	StepsKept int
}

func (o *Options) fillDefaults() {
	o.Degree = cmp.Or(o.Degree, 4)
	o.PeerTimeout = cmp.Or(o.PeerTimeout, time.Second)
	o.ReachTimeout = cmp.Or(o.ReachTimeout, 3*time.Second)
	o.ApplyTimeout = cmp.Or(o.ApplyTimeout, 15*time.Second)
	o.StatusTimeout = cmp.Or(o.StatusTimeout, 2*time.Second)
	o.CompareInterval = cmp.Or(o.CompareInterval, 2*time.Second)
	o.ListInterval = cmp.Or(o.ListInterval, time.Minute)
	o.VMInterval = cmp.Or(o.VMInterval, 3*time.Second)
	o.ProposalWait = cmp.Or(o.ProposalWait, 5*time.Second)
	o.OwnershipWait = cmp.Or(o.OwnershipWait, 3*time.Second)
	o.BackOffMinimum = cmp.Or(o.BackOffMinimum, 500*time.Millisecond)
	o.BackOffMaximum = cmp.Or(o.BackOffMaximum, 8*time.Second)
	o.StepsKept = cmp.Or(o.StepsKept, 32)
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// Publisher accepts, stores and distributes configurations on one node.
type Publisher struct {
	options Options
	jitter  *jitter

	// active is nil before the first configuration. Its number only increases.
	active atomic.Pointer[configuration]
	// mutex serialises changes of active and calls of Options.OnActivated, and guards
	// steps, a chain of consecutive changes that ends at active.
	mutex sync.Mutex
	steps []step
	// forked is set if another configuration with the active number was seen.
	forked atomic.Bool

	// acceptSemaphore admits one Apply or reconciliation at a time.
	acceptSemaphore chan struct{}
	// incompleteEdit is the edit of both tables whose second write the owner is
	// waiting for. The caller must hold acceptSemaphore.
	incompleteEdit incompleteEdit
	// compareRequested has capacity one and triggers a comparison with a peer.
	compareRequested chan struct{}
	// reconcileRequested has capacity one and triggers reconcileTables.
	reconcileRequested chan struct{}
	forwardQueue       chan forward

	// vms is nil until this node has received the platform's list.
	vms atomic.Pointer[vmList]
}

// New returns a publisher without a configuration.
func New(options Options) *Publisher {
	const forwardQueueCapacity = 16
	options.fillDefaults()
	return &Publisher{
		options:            options,
		jitter:             newJitter(xxhash.Sum64String(string(options.Self))),
		acceptSemaphore:    make(chan struct{}, 1),
		compareRequested:   make(chan struct{}, 1),
		reconcileRequested: make(chan struct{}, 1),
		forwardQueue:       make(chan forward, forwardQueueCapacity),
	}
}

// Snapshot returns the active configuration, or nil before the first.
func (p *Publisher) Snapshot() *tabulator.Snapshot {
	if active := p.active.Load(); active != nil {
		return active.snapshot
	}
	return nil
}

// Run fetches the first configuration and keeps it up to date until ctx ends.
func (p *Publisher) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	loops := []func(context.Context){
		p.runComparisons, p.runForwards, p.runSnapshotWatch, p.runTableWatch, p.runReconciler, p.runVMWatch, p.runVMPolling,
	}
	ended := make(chan struct{}, len(loops))
	for _, loop := range loops {
		go func() {
			loop(ctx)
			ended <- struct{}{}
		}()
	}
	for range loops {
		<-ended
	}
	return nil
}

// activeStamp returns the active stamp, or zero before the first configuration.
func (p *Publisher) activeStamp() stamp {
	if active := p.active.Load(); active != nil {
		return active.stamp
	}
	return stamp{}
}

// activateIfNewer activates a configuration if its number is larger than the
// active one. It reports whether the configuration was activated.
func (p *Publisher) activateIfNewer(received *configuration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.active.Load()
	if previous != nil {
		p.detectFork(received.stamp)
		if received.stamp.number <= previous.stamp.number {
			return false
		}
		p.steps = append(p.steps, newStep(previous, received))
		if excess := len(p.steps) - p.options.StepsKept; excess > 0 {
			p.steps = append([]step(nil), p.steps[excess:]...)
		}
	}
	p.active.Store(received)
	p.forked.Store(false)
	p.options.Log.Log(eventActivated, logger.Fields{"configuration": received.stamp.number})
	p.options.Scope.Gauge("configuration-number").Update(float64(received.stamp.number))
	if p.options.OnActivated != nil {
		p.options.OnActivated(received.snapshot)
	}
	return true
}

// detectFork sets forked and requests a reconciliation if the stamp has the
// active number but another digest.
func (p *Publisher) detectFork(seen stamp) {
	active := p.activeStamp()
	if seen.number != active.number || seen.digest == active.digest {
		return
	}
	if !p.forked.Swap(true) {
		p.options.Log.Log(eventForked, logger.Fields{"configuration": seen.number})
	}
	signal(p.reconcileRequested)
}

// signal requests work without blocking. A pending request is not repeated.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}
