// Package dispatcher runs the placement of model requests over the fleet. Each
// pool is split into shards, and the soft owner of a shard decides for all
// nodes with one placer. The package holds both sides: the owner's, and the
// client that batches a node's demands, renewals and releases.
//
// Ownership is soft. Two owners at once may waste engine memory for a while,
// but the engines' own admission keeps it safe, and without any owner a node
// decides alone on the last reports it was sent.
package dispatcher

import (
	"cmp"
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Engines reaches the engines of a pool. Its calls honour their context.
type Engines interface {
	// Load asks an engine for its report, with its cache events after a position.
	// At is set by the dispatcher.
	Load(ctx context.Context, pool identifier.Pool, member tabulator.Member, seen placer.CachePosition) (placer.Load, error)
	// Cancel returns nil once the engine says that it holds nothing of the
	// stream any more, also when it never did, or that an attempt later than
	// the given one goes on with it.
	Cancel(ctx context.Context, pool identifier.Pool, member tabulator.Member, request identifier.Request, stream, attempt uint64) error
}

// Options configures a dispatcher. Zero durations and limits take the defaults
// named with them.
type Options struct {
	// Self is this node.
	Self identifier.Node
	// View returns the current membership view, never nil.
	View func() *assigner.View
	// Snapshot returns the configuration, nil before the first one.
	Snapshot func() *tabulator.Snapshot
	// Peers carries requests to the peer addresses of other nodes. It uses no
	// connection again that a request timed out on because it was silent.
	Peers http.RoundTripper
	// Engines reaches the engines.
	Engines Engines
	// Revoked, if set, is told of grants that were taken back, such as those
	// of lesser streams paused for urgent work. It must not block.
	Revoked func(identifier.Grant)
	// Log takes the events 2000 to 2999; nil logs nothing.
	Log *logger.Logger
	// Scope takes the metrics; nil counts nothing.
	Scope tally.Scope
	// Tick is the least time between two exchanges with one owner: 10 ms.
	Tick time.Duration
	// ReleaseDelay is how long a release may wait to share an exchange: 50 ms.
	ReleaseDelay time.Duration
	// Lease is how long a grant stands without renewal: 3 s. Grants are
	// renewed three times a lease.
	Lease time.Duration
	// Grace is how long a lapsed grant may be taken over by a later attempt
	// before its request is cancelled on the engines: 2 s.
	Grace time.Duration
	// Rebuild is how long a new owner grants only what engines report as
	// free, while the nodes renew what they hold: one lease.
	Rebuild time.Duration
	// Poll is the time between two load reports of an engine: 500 ms.
	Poll time.Duration
	// ExchangeTimeout bounds one exchange with an owner: 250 ms.
	ExchangeTimeout time.Duration
	// CollectHold is how long an owner holds a request that waits for
	// outcomes: 500 ms.
	CollectHold time.Duration
	// EngineTimeout bounds one call to an engine: 1 s.
	EngineTimeout time.Duration
	// FallbackAfter is how long a demand waits for an owner that cannot be
	// reached before the node decides alone: 300 ms.
	FallbackAfter time.Duration
	// ShardEngines bounds the engines of one shard: 24.
	ShardEngines int
	// BacklogLimit bounds the releases and withdrawals kept for an owner that
	// cannot be reached: 10,000. Beyond it grants lapse instead.
	BacklogLimit int
}

func (o Options) withDefaults() Options {
	o.Tick = cmp.Or(o.Tick, 10*time.Millisecond)
	o.ReleaseDelay = cmp.Or(o.ReleaseDelay, 50*time.Millisecond)
	o.Lease = cmp.Or(o.Lease, 3*time.Second)
	o.Grace = cmp.Or(o.Grace, 2*time.Second)
	o.Rebuild = cmp.Or(o.Rebuild, o.Lease)
	o.Poll = cmp.Or(o.Poll, 500*time.Millisecond)
	o.ExchangeTimeout = cmp.Or(o.ExchangeTimeout, 250*time.Millisecond)
	o.CollectHold = cmp.Or(o.CollectHold, 500*time.Millisecond)
	o.EngineTimeout = cmp.Or(o.EngineTimeout, time.Second)
	o.FallbackAfter = cmp.Or(o.FallbackAfter, 300*time.Millisecond)
	o.ShardEngines = cmp.Or(o.ShardEngines, 24)
	o.BacklogLimit = cmp.Or(o.BacklogLimit, 10_000)
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Dispatcher is the placement service of one node.
type Dispatcher struct {
	options Options
	metrics metrics
	server  *server
	// mutex guards links and run. links live as long as Run.
	mutex sync.Mutex
	links map[shardID]*link
	// run starts the goroutines of a link; nil while Run is not running.
	run func(*link)
}

// New returns a dispatcher that works once Run is called.
func New(options Options) *Dispatcher {
	options = options.withDefaults()
	counted := newMetrics(options.Scope)
	return &Dispatcher{
		options: options,
		metrics: counted,
		server:  newServer(options, counted),
		links:   map[shardID]*link{},
	}
}

// Handler returns the service for other nodes and the path that it serves.
func (d *Dispatcher) Handler() (pathPrefix string, handler http.Handler) {
	twirpServer := dispatcherrpc.NewDispatcherServer(d.server)
	return twirpServer.PathPrefix(), twirpServer
}

// Run serves the owned shards and the batches of this node until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	group := newGroup()
	group.start(ctx, d.server.run)
	d.mutex.Lock()
	d.run = func(l *link) { group.start(ctx, l.run) }
	for _, l := range d.links {
		d.run(l)
	}
	d.mutex.Unlock()
	<-ctx.Done()
	d.mutex.Lock()
	d.run = nil
	d.mutex.Unlock()
	group.wait()
	return nil
}

// Acquire waits until a demand is placed or refused. When ctx ends first the
// demand is withdrawn and the outcome is a refusal.
func (d *Dispatcher) Acquire(ctx context.Context, demand placer.Demand) placer.Outcome {
	ctx, span := otel.Tracer("dispatcher").Start(ctx, "acquire")
	defer span.End()
	began := time.Now()
	outcome := d.acquire(ctx, demand)
	d.metrics.acquired(outcome, time.Since(began))
	if outcome.Placement != nil {
		span.SetAttributes(attribute.String("decode", string(outcome.Placement.Decode)))
	} else {
		span.SetAttributes(attribute.String("refused", string(outcome.Refusal.Reason)))
	}
	return outcome
}

func (d *Dispatcher) acquire(ctx context.Context, demand placer.Demand) placer.Outcome {
	demand.Node = d.options.Self
	id, ok := d.route(&demand)
	if !ok {
		return refusal(placer.NoMember, d.options.Lease)
	}
	if demand.FirstTokenBudget <= 0 {
		return refusal(placer.TooLate, 0)
	}
	l := d.link(id)
	answer := l.submit(demand)
	select {
	case outcome := <-answer:
		return outcome
	case <-ctx.Done():
		l.withdraw(demand, answer)
		return refusal(placer.SubmitterGone, 0)
	}
}

func refusal(reason placer.Reason, retryAfter time.Duration) placer.Outcome {
	return placer.Outcome{Refusal: &placer.Refusal{Reason: reason, RetryAfter: retryAfter}}
}

// Release gives a grant back. It never blocks.
func (d *Dispatcher) Release(grant identifier.Grant, result placer.Result) {
	for _, l := range d.allLinks() {
		if l.release(grant, result) {
			return
		}
	}
}

// Prefilled tells how long a grant's prefill took. It does not block.
func (d *Dispatcher) Prefilled(grant identifier.Grant, took time.Duration) {
	for _, l := range d.allLinks() {
		if l.prefilled(grant, took) {
			return
		}
	}
}

// Progress notes how far the stream of a grant has come. It never blocks.
func (d *Dispatcher) Progress(grant identifier.Grant, output identifier.Tokens, decoding bool) {
	for _, l := range d.allLinks() {
		if l.progress(grant, output, decoding) {
			return
		}
	}
}

// Held lists the grants that this node holds, by id.
func (d *Dispatcher) Held() []placer.HeldGrant {
	var list []placer.HeldGrant
	for _, l := range d.allLinks() {
		list = append(list, l.list()...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}

func (d *Dispatcher) link(id shardID) *link {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.links[id]; known != nil {
		return known
	}
	fresh := newLink(id, d.options, d.server, d.metrics)
	d.links[id] = fresh
	if d.run != nil {
		d.run(fresh)
	}
	return fresh
}

func (d *Dispatcher) allLinks() []*link {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]*link, 0, len(d.links))
	for _, l := range d.links {
		list = append(list, l)
	}
	return list
}
