// Package publisher brings the two tables that operators edit into force on
// every node, as one immutable numbered snapshot.
//
// Acceptance joins the tables, checks the whole and writes the snapshot to the
// store by conditional update; that write decides between racing operators and
// racing nodes. The snapshot then goes from node to node: pushed down a tree of
// bounded degree, and repaired by each node comparing numbers with a random
// peer. Only a few nodes watch the store, so its calls do not grow with the
// fleet. A node moves to larger numbers only, whatever the store says later.
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

// Options sets up a publisher. A zero limit takes the default in brackets.
type Options struct {
	// Self and DataCentre say which node this is.
	Self       identifier.Node
	DataCentre identifier.DataCentre
	// Store is the platform.
	Store storer.Store
	// View returns the membership view.
	View func() *assigner.View
	// Peers carries calls to other nodes.
	Peers http.RoundTripper
	// Broadcast spreads a rumour by the membership protocol. It may be nil.
	Broadcast func(topic string, payload []byte)
	// InForce is called with each larger snapshot after the swap, one call at a
	// time and in the order of numbers. It may be nil and must not block long.
	InForce func(*tabulator.Snapshot)
	// Log and Scope take events and metrics. Either may be nil.
	Log   *logger.Logger
	Scope tally.Scope

	// Degree is how many nodes a node pushes a snapshot to [4].
	Degree int
	// PeerTimeout bounds one call to a peer [1s].
	PeerTimeout time.Duration
	// ReachTimeout bounds the search for a node that takes the snapshot in each
	// data centre before it is told as accepted [3s].
	ReachTimeout time.Duration
	// ApplyTimeout bounds one Apply as a whole [15s].
	ApplyTimeout time.Duration
	// StatusTimeout bounds the writes of table status, which are best effort [2s].
	StatusTimeout time.Duration
	// CompareInterval is the mean time between comparisons with a peer [2s].
	CompareInterval time.Duration
	// ListInterval is the mean time between lists of what a watch follows, in
	// case it skipped a change [1m].
	ListInterval time.Duration
	// VMInterval is the mean time between a node's questions to the owner of the
	// feed for the list of VMs [3s].
	VMInterval time.Duration
	// ProposalWait is how long the owner leaves an edit to the node whose Apply
	// wrote it [5s].
	ProposalWait time.Duration
	// OwnershipWait is how long a node must own a feed before it watches [3s].
	OwnershipWait time.Duration
	// BackOffMinimum and BackOffMaximum bound the wait after a failed store
	// call, which doubles and is jittered [500ms, 8s].
	BackOffMinimum time.Duration
	BackOffMaximum time.Duration
	// StepsKept is how many changes a node keeps to send instead of the whole
	// configuration [32].
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

// Publisher accepts, holds and passes on configurations on one node.
type Publisher struct {
	options Options
	jitter  *jitter

	// current is nil before the first configuration; its number only grows.
	current atomic.Pointer[edition]
	// mutex orders the moves of current and the calls of InForce, and guards
	// steps: an unbroken chain of changes that ends at current.
	mutex sync.Mutex
	steps []step
	// forked tells that a peer holds another configuration of the same number.
	forked atomic.Bool

	// accepting holds a token while this node accepts a configuration.
	accepting chan struct{}
	// stalled is the half of an edit of both tables that the owner waits for the
	// other half of. Only the holder of the accepting token uses it.
	stalled stalledEdit
	// compare asks for a comparison with a peer soon, reconcile for a look at
	// the tables. Both hold one token.
	compare   chan struct{}
	reconcile chan struct{}
	// forwards queues pushes to pass on.
	forwards chan forward

	// vms is nil before this node has seen the platform's list.
	vms atomic.Pointer[vmList]
}

// New returns a publisher without a configuration.
func New(options Options) *Publisher {
	const forwardsQueued = 16
	options.fillDefaults()
	return &Publisher{
		options:   options,
		jitter:    newJitter(xxhash.Sum64String(string(options.Self))),
		accepting: make(chan struct{}, 1),
		compare:   make(chan struct{}, 1),
		reconcile: make(chan struct{}, 1),
		forwards:  make(chan forward, forwardsQueued),
	}
}

// Snapshot returns the configuration in force, or nil before the first.
func (p *Publisher) Snapshot() *tabulator.Snapshot {
	if held := p.current.Load(); held != nil {
		return held.snapshot
	}
	return nil
}

// Run fetches the first configuration and keeps it level with the fleet until
// ctx ends.
func (p *Publisher) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	loops := []func(context.Context){
		p.runComparisons, p.runForwards, p.runSnapshotFeed, p.runTableFeed, p.runOwner, p.runVMFeed, p.runVMFollow,
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

// held returns the stamp of the configuration in force, zero before the first.
func (p *Publisher) held() stamp {
	if held := p.current.Load(); held != nil {
		return held.stamp
	}
	return stamp{}
}

// offer moves to an edition if its number is larger and tells whether it did.
func (p *Publisher) offer(offered *edition) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.current.Load()
	if before != nil {
		p.noteFork(offered.stamp)
		if offered.stamp.number <= before.stamp.number {
			return false
		}
		p.steps = append(p.steps, newStep(before, offered))
		if over := len(p.steps) - p.options.StepsKept; over > 0 {
			p.steps = append([]step(nil), p.steps[over:]...)
		}
	}
	p.current.Store(offered)
	p.forked.Store(false)
	p.options.Log.Log(eventInForce, logger.Fields{"configuration": offered.stamp.number})
	p.options.Scope.Gauge("configuration-number").Update(float64(offered.stamp.number))
	if p.options.InForce != nil {
		p.options.InForce(offered.snapshot)
	}
	return true
}

// noteFork remembers that another configuration has the number in force.
func (p *Publisher) noteFork(seen stamp) {
	held := p.held()
	if seen.number != held.number || seen.digest == held.digest {
		return
	}
	if !p.forked.Swap(true) {
		p.options.Log.Log(eventForked, logger.Fields{"configuration": seen.number})
	}
	signal(p.reconcile)
}

// signal leaves a token unless one is there.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}
