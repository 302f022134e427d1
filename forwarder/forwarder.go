// Package forwarder takes a request whose body it does not read from its route
// to its answer: plain calls to a service, and model requests through a prefill
// and a decode engine.
//
// It decides which back end gets a request, whether it is sent again and what
// the caller is told. What a request may cost comes in with it, how it is put on
// the wire is the business of an adapter, and where a model request runs is
// decided by the dispatcher. Every answer is the back end's own, passed on as it
// came, or a refusal that tells whether the request may have run.
package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

// Placer grants engine memory.
type Placer interface {
	router.Placer
	// Prefilled tells how long a grant's prefill took.
	Prefilled(grant identifier.Grant, took time.Duration)
}

// Isolator holds requests that crash the back ends that run them.
type Isolator = router.Isolator

// Reacher tells whether a back end still takes connections.
type Reacher interface {
	Reach(ctx context.Context, backend Backend) error
}

// Options sets up a forwarder.
type Options struct {
	DataCentre identifier.DataCentre
	// Table returns what to route by, never nil.
	Table func() *Table
	// Streams tells whether new streams are begun; nil begins all.
	Streams func() bool
	// Refresh asks for a newer table and returns once it is there, or with ctx.
	Refresh  func(ctx context.Context)
	Placer   Placer
	Backends Backends
	Reacher  Reacher
	Isolator Isolator
	// Budgets bounds the repeated sendings to each pool.
	Budgets *limiter.Limiter
	Log     *logger.Logger
	Scope   tally.Scope
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	options Options
	judge   *judge
	// turn counts choices, so that ties are broken in turn.
	turn    atomic.Uint64
	running atomic.Int64
	// drops holds prompts to be freed by Run.
	drops chan Source
	// seen is the table that the judge's records were last compared with.
	seen    atomic.Pointer[Table]
	metrics metrics
}

// New returns a forwarder. Run has to be started for prompts to be freed.
func New(options Options) *Forwarder {
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Streams == nil {
		options.Streams = func() bool { return true }
	}
	if options.Refresh == nil {
		options.Refresh = func(context.Context) {}
	}
	return &Forwarder{options: options, judge: newJudge(), drops: make(chan Source, dropLimit), metrics: newMetrics(options.Scope)}
}

// Running returns how many requests are being answered.
func (f *Forwarder) Running() int {
	return int(f.running.Load())
}

const (
	// retryAfterStart is what callers are told to wait for a node that knows no
	// configuration yet: another node most likely does.
	retryAfterStart = 200 * time.Millisecond
	// retryAfterLeaving is what callers of a node that stops are told to wait: the
	// time to connect to another one.
	retryAfterLeaving = 20 * time.Millisecond
	// refreshWait bounds the wait for a newer configuration before a request is
	// told that no route matches.
	refreshWait = 400 * time.Millisecond
	// retryAfterBusy is what callers are told to wait for a service that has no
	// room: some times the work of a usual request.
	retryAfterBusy = 100 * time.Millisecond
)

// Forward answers a request. The answer has to be closed; the end of ctx breaks
// it off.
func (f *Forwarder) Forward(ctx context.Context, request *Request) (*Reply, *router.Refusal) {
	table := f.table()
	if table.Configuration == nil || !table.Listed {
		return nil, notRun(router.NoConfiguration, retryAfterStart, "this node has no configuration yet")
	}
	route, table, ok := f.match(ctx, table, request)
	if !ok {
		return nil, notRun(router.NoRoute, 0, "no route matches")
	}
	call := f.newCall(ctx, request, route, table)
	reply, refusal := call.run()
	if refusal != nil {
		call.finish(refusal)
		return nil, refusal
	}
	reply.call = call
	return reply, nil
}

// table returns the table in force and lets the judge forget what left it.
func (f *Forwarder) table() *Table {
	table := f.options.Table()
	if f.seen.Swap(table) != table {
		f.judge.forget(table)
	}
	return table
}

// match finds the route of a request, in a newer table if this one has none: the
// route may have been added a moment ago.
func (f *Forwarder) match(ctx context.Context, table *Table, request *Request) (Route, *Table, bool) {
	if route, ok := table.Configuration.Match(request.Host, request.Path); ok {
		return route, table, true
	}
	waiting, cancel := context.WithTimeout(ctx, refreshWait)
	defer cancel()
	f.options.Refresh(waiting)
	table = f.table()
	route, ok := table.Configuration.Match(request.Host, request.Path)
	return route, table, ok
}

// call is one request on its way.
type call struct {
	*Forwarder
	request *Request
	route   Route
	table   *Table
	pool    Pool
	ctx     context.Context
	cancel  context.CancelFunc
	// deadline is when the answer has to be complete.
	deadline time.Time
	// tried lists the back ends that the request was sent to, ran how many of
	// them may have run it.
	tried []identifier.Member
	ran   int
	// grant is the engine memory held, or empty.
	grant  identifier.Grant
	result placer.Result
	// source is a prefilled prompt that no engine has fetched yet, read at prefilled.
	source    Source
	prefilled time.Time
	// sends counts the sendings that reached a back end.
	sends int
}

// defaultPatience bounds requests whose caller and route name no time.
const defaultPatience = 60 * time.Second

func (f *Forwarder) newCall(ctx context.Context, request *Request, route Route, table *Table) *call {
	patience := defaultPatience
	if request.Patience > 0 {
		patience = request.Patience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	c := &call{Forwarder: f, request: request, route: route, table: table, deadline: request.Arrived.Add(patience)}
	c.ctx, c.cancel = context.WithDeadline(ctx, c.deadline)
	c.pool = c.choosePool()
	f.running.Add(1)
	return c
}

// choosePool picks one of the route's pools by weight, among those with back ends.
func (c *call) choosePool() Pool {
	var total float64
	var open []Destination
	for _, destination := range c.route.Destinations {
		if len(c.table.Pool(destination.Pool, "")) > 0 {
			open = append(open, destination)
			total += destination.Weight
		}
	}
	if len(open) == 0 {
		open = c.route.Destinations[:1]
	}
	at := float64(c.request.Fingerprint>>11) / float64(1<<53) * total
	for _, destination := range open {
		if at < destination.Weight {
			return c.named(destination.Pool)
		}
		at -= destination.Weight
	}
	return c.named(open[0].Pool)
}

func (c *call) named(name identifier.Pool) Pool {
	if pool, ok := c.table.Configuration.Pool(name); ok {
		return pool
	}
	return Pool{Name: name}
}

// run answers the request by its kind.
func (c *call) run() (*Reply, *router.Refusal) {
	if time.Until(c.deadline) <= 0 {
		return nil, notRun(router.TimedOut, 0, "the request's deadline has passed")
	}
	if c.options.Isolator.Held(c.request.Fingerprint) {
		return nil, notRun(router.Quarantined, 0, "this request crashed several back ends and is held")
	}
	if c.pool.Model && !c.options.Streams() {
		return nil, notRun(router.Leaving, retryAfterLeaving, "this node stops")
	}
	c.options.Budgets.Pool(c.pool.Name).Sent()
	if c.pool.Model {
		return c.stream()
	}
	if c.route.Kind == Repeatable && c.route.Backends > 1 {
		return c.repeatable()
	}
	return c.once()
}

// finish ends the call: it gives back what is held and counts the outcome.
func (c *call) finish(refusal *router.Refusal) {
	c.cancel()
	c.dropSource()
	if c.grant != "" {
		c.options.Placer.Release(c.grant, c.result)
		c.grant = ""
	}
	c.running.Add(-1)
	c.metrics.ended(c, refusal)
	c.log(refusal)
}

// over tells why the call may not go on, if it may not.
func (c *call) over() *router.Refusal {
	if c.ctx.Err() == nil {
		return nil
	}
	reason, message := router.Cancelled, "the caller went away"
	if time.Until(c.deadline) <= 0 {
		reason, message = router.TimedOut, "the request took longer than its caller or route allows"
	}
	if c.ran == 0 {
		return notRun(reason, 0, message)
	}
	return unknown(reason, message)
}

// work describes a sending of the request to a back end.
func (c *call) work(backend Backend) Work {
	return Work{Request: c.request, Backend: backend, Left: time.Until(c.deadline), Rank: c.route.Rank}
}

// mayRepeat tells whether one more sending may go out, and takes it from the
// budget.
func (c *call) mayRepeat() bool {
	return c.sends < maxSends && c.options.Budgets.Pool(c.pool.Name).Retry()
}

// maxSends bounds the sendings of one request, declined ones among them.
const maxSends = 3

// sendingEnded notes how a sending ended in what is believed of its back end. It
// tells whether the back end has crashed.
func (c *call) sendingEnded(backend Backend, v verdict, took time.Duration, err error) (crashed bool) {
	now := time.Now()
	c.judge.end(now, backend, v, took)
	c.logJudged(backend, c.judge.look(now, backend, c.table.Pool(backend.Pool, backend.Role)))
	if v != answered {
		c.logSending(backend, v, err)
	}
	return v == lost && c.suspect(backend)
}

// suspect checks whether a back end that lost an answer has crashed, and tells
// the isolator if it has. A connection that broke alone is no crash.
func (c *call) suspect(backend Backend) (crashed bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), reachTimeout)
	defer cancel()
	if err := c.options.Reacher.Reach(ctx, backend); err == nil {
		return false
	}
	c.options.Isolator.Crashed(backend.Name, []uint64{c.request.Fingerprint})
	return true
}

// reachTimeout bounds the look at a back end that may have crashed; a crashed
// process refuses connections at once.
const reachTimeout = 300 * time.Millisecond
