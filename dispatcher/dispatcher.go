// Package dispatcher places model requests on the engines of the fleet. Each
// pool is split into shards, and the node that owns a shard runs one placer for
// all nodes. The package contains the owner's service and the client that sends
// it a node's batched demands, renewals and releases.
//
// Ownership is soft: two nodes can own a shard at the same time. This can waste
// engine memory for a while but is safe, because engines do their own admission.
// A node that cannot reach the owner places requests itself, using the engine
// reports that the owner last sent it.
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

// Engines calls the engines of a pool. Each call returns when its context ends.
type Engines interface {
	// Load fetches an engine's load report, with the cache events after the given
	// position. The dispatcher sets the report's TakenAt field.
	Load(ctx context.Context, pool identifier.Pool, member tabulator.Member, position placer.CachePosition) (placer.Load, error)
	// Cancel cancels a stream on an engine. It returns nil if the engine
	// confirms that it holds no memory for the stream, even if it never held any,
	// or that an attempt later than the given one has resumed the stream.
	Cancel(ctx context.Context, pool identifier.Pool, member tabulator.Member, request identifier.Request, stream, attempt uint64) error
}

// Options configures a dispatcher. A zero duration or limit is replaced by the
// default given in its comment.
type Options struct {
	// Self is the name of this node.
	Self identifier.Node
	// View returns the current membership view, never nil.
	View func() *assigner.View
	// Snapshot returns the current configuration, or nil if none has been loaded.
	Snapshot func() *tabulator.Snapshot
	// PeerTransport sends requests to the peer addresses of other nodes. It must not
	// reuse a connection on which a request timed out without any data received.
	PeerTransport http.RoundTripper
	Engines       Engines
	// OnRevoked, if not nil, is called with each grant that the owner revokes, for
	// example to pause a lesser stream for urgent work. It must not block.
	OnRevoked func(identifier.Grant)
	// Log receives the events 2000 to 2999; nil disables logging.
	Log *logger.Logger
	// Scope receives the metrics; nil disables them.
	Scope tally.Scope
	// Tick is the minimum interval between exchanges with one owner, and the
	// interval at which an owner retries waiting demands. Default: 10 ms.
	Tick time.Duration
	// ReleaseDelay is the maximum time that a release waits for a batch. Default: 50 ms.
	ReleaseDelay time.Duration
	// Lease is how long a grant is valid without renewal. Grants are renewed
	// three times per lease. Default: 3 s.
	Lease time.Duration
	// TakeoverGrace is how long a later attempt can take over an expired grant,
	// before its request is cancelled on the engines. Default: 2 s.
	TakeoverGrace time.Duration
	// RebuildPeriod is how long a new owner grants only memory that engines report
	// as free, while the nodes renew the grants that they hold. Default: Lease.
	RebuildPeriod time.Duration
	// LoadInterval is the interval at which an owner fetches an engine's load report,
	// and at which a node checks which shards it owns. Default: 500 ms.
	LoadInterval time.Duration
	// ExchangeTimeout limits one exchange with an owner. Default: 250 ms.
	ExchangeTimeout time.Duration
	// MaxCollectWait is how long an owner keeps a Collect call open when it has no
	// decisions for the calling node. Default: 500 ms.
	MaxCollectWait time.Duration
	// EngineTimeout limits one call to an engine. Default: 1 s.
	EngineTimeout time.Duration
	// FallbackAfter is how long exchanges with the owner must have failed before
	// this node places demands without it. Default: 300 ms.
	FallbackAfter time.Duration
	// ShardEngines is the maximum number of engines per shard. A pool with too
	// few engines of one role has larger shards. Default: 24.
	ShardEngines int
	// BacklogLimit is the maximum number of releases, and of withdrawals, queued for an
	// unreachable owner. Any more are dropped; their grants expire. Default: 10,000.
	BacklogLimit int
}

func (o Options) withDefaults() Options {
	o.Tick = cmp.Or(o.Tick, 10*time.Millisecond)
	o.ReleaseDelay = cmp.Or(o.ReleaseDelay, 50*time.Millisecond)
	o.Lease = cmp.Or(o.Lease, 3*time.Second)
	o.TakeoverGrace = cmp.Or(o.TakeoverGrace, 2*time.Second)
	o.RebuildPeriod = cmp.Or(o.RebuildPeriod, o.Lease)
	o.LoadInterval = cmp.Or(o.LoadInterval, 500*time.Millisecond)
	o.ExchangeTimeout = cmp.Or(o.ExchangeTimeout, 250*time.Millisecond)
	o.MaxCollectWait = cmp.Or(o.MaxCollectWait, 500*time.Millisecond)
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
	// mutex guards the fields below. Clients are never removed.
	mutex   sync.Mutex
	clients map[shardID]*shardClient
	// startClient starts a client's goroutine; it is nil while Run is not running.
	startClient func(*shardClient)
}

// New returns a dispatcher. It sends and serves nothing until Run is called.
func New(options Options) *Dispatcher {
	options = options.withDefaults()
	m := newMetrics(options.Scope)
	return &Dispatcher{
		options: options,
		metrics: m,
		server:  newServer(options, m),
		clients: map[shardID]*shardClient{},
	}
}

// Handler returns the HTTP handler that other nodes call, and its path prefix.
func (d *Dispatcher) Handler() (pathPrefix string, handler http.Handler) {
	twirpServer := dispatcherrpc.NewDispatcherServer(d.server)
	return twirpServer.PathPrefix(), twirpServer
}

// Run runs the owned shards and the clients of this node until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	group := newGroup()
	group.start(ctx, d.server.run)
	d.mutex.Lock()
	d.startClient = func(c *shardClient) { group.start(ctx, c.run) }
	for _, c := range d.clients {
		d.startClient(c)
	}
	d.mutex.Unlock()
	<-ctx.Done()
	d.mutex.Lock()
	d.startClient = nil
	d.mutex.Unlock()
	group.wait()
	return nil
}

// Acquire waits until a demand is placed or refused. If ctx ends first, it
// withdraws the demand and returns a refusal with the reason SubmitterGone.
func (d *Dispatcher) Acquire(ctx context.Context, demand placer.Demand) placer.Outcome {
	ctx, span := otel.Tracer("dispatcher").Start(ctx, "acquire")
	defer span.End()
	start := time.Now()
	outcome := d.acquire(ctx, demand)
	d.metrics.recordAcquire(outcome, time.Since(start))
	if outcome.Placement != nil {
		span.SetAttributes(attribute.String("decode", string(outcome.Placement.Decode)))
	} else {
		span.SetAttributes(attribute.String("refused", string(outcome.Refusal.Reason)))
	}
	return outcome
}

func (d *Dispatcher) acquire(ctx context.Context, demand placer.Demand) placer.Outcome {
	demand.Node = d.options.Self
	id, ok := d.shardFor(&demand)
	if !ok {
		return refusal(placer.NoMember, d.options.Lease)
	}
	if demand.FirstTokenBudget <= 0 {
		return refusal(placer.TooLate, 0)
	}
	c := d.clientFor(id)
	answer := c.submit(demand)
	select {
	case outcome := <-answer:
		return outcome
	case <-ctx.Done():
		c.withdraw(demand, answer)
		return refusal(placer.SubmitterGone, 0)
	}
}

func refusal(reason placer.Reason, retryAfter time.Duration) placer.Outcome {
	return placer.Outcome{Refusal: &placer.Refusal{Reason: reason, RetryAfter: retryAfter}}
}

// Release queues the release of a grant for the shard's owner. It does not block.
func (d *Dispatcher) Release(grant identifier.Grant, result placer.Result) {
	for _, c := range d.allClients() {
		if c.release(grant, result) {
			return
		}
	}
}

// Prefilled records how long a grant's prefill took. It does not block.
func (d *Dispatcher) Prefilled(grant identifier.Grant, took time.Duration) {
	for _, c := range d.allClients() {
		if c.recordPrefill(grant, took) {
			return
		}
	}
}

// Progress records a stream's output and whether it is decoding. It does not block.
func (d *Dispatcher) Progress(grant identifier.Grant, output identifier.Tokens, decoding bool) {
	for _, c := range d.allClients() {
		if c.recordProgress(grant, output, decoding) {
			return
		}
	}
}

// HeldGrants returns the grants that this node holds, sorted by ID.
func (d *Dispatcher) HeldGrants() []placer.HeldGrant {
	var list []placer.HeldGrant
	for _, c := range d.allClients() {
		list = append(list, c.heldGrants()...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}

// clientFor returns the client of a shard, which it creates if there is none.
func (d *Dispatcher) clientFor(id shardID) *shardClient {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if existing := d.clients[id]; existing != nil {
		return existing
	}
	created := newShardClient(id, d.options, d.server, d.server.owners, d.metrics)
	d.clients[id] = created
	if d.startClient != nil {
		d.startClient(created)
	}
	return created
}

func (d *Dispatcher) allClients() []*shardClient {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]*shardClient, 0, len(d.clients))
	for _, c := range d.clients {
		list = append(list, c)
	}
	return list
}
