// Package forwarder sends a request to back ends and returns the answer without
// reading the request's body. Plain calls go to a service; model requests go
// through a prefill and a decode engine.
//
// The forwarder chooses the back end of a plain call and decides on retries and
// refusals. The cost of a request comes with the request, an adapter handles the wire
// format, and the dispatcher chooses the engines of a model request. The caller
// gets a back end's answer unchanged, or a refusal that says whether the request
// may have run.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/authenticator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/localizer"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

// Placer grants engine memory.
type Placer interface {
	router.Placer
	// Prefilled reports how long a grant's prefill took.
	Prefilled(grant identifier.Grant, took time.Duration)
}

// Isolator refuses requests that crash the back ends that run them.
type Isolator interface {
	// IsQuarantined reports whether requests with a fingerprint are refused.
	IsQuarantined(fingerprint uint64) bool
	// IsPromptQuarantined reports whether a request is refused for the parts of its prompt.
	IsPromptQuarantined(fingerprint uint64, parts []isolator.Part) bool
	// IsSuspect reports whether a request was in flight at a crash.
	IsSuspect(fingerprint uint64) bool
	// ReportFinished clears a request that was answered completely, and ReportPartsSound the
	// parts of one whose answer began at a time and did not crash its engine.
	ReportFinished(fingerprint uint64)
	ReportPartsSound(parts []isolator.Part, began time.Time)
	// ReportCrash reports a request in flight at a back end that cannot be reached,
	// ReportEngineCrash one in flight when an engine's process ended.
	ReportCrash(member identifier.Member, fingerprints []uint64)
	ReportEngineCrash(crash isolator.Crash)
}

// Reacher checks whether a back end accepts connections.
type Reacher interface {
	Reach(ctx context.Context, backend Backend) error
}

// Options configures a forwarder.
type Options struct {
	DataCentre identifier.DataCentre
	// Table returns the current routing table, never nil.
	Table func() *Table
	// Stop returns the limits of a node that stops, or the zero Stop; nil means that the node
	// never stops.
	Stop func() Stop
	// Stopping ends at Stop.AnswerBy; nil never ends.
	Stopping context.Context //nolint:containedctx // It bounds requests, not the forwarder.
	// Refresh requests a newer table. It returns when the table has arrived or ctx ends.
	Refresh  func(ctx context.Context)
	Placer   Placer
	Backends Backends
	Reacher  Reacher
	Isolator Isolator
	// Budgets limits the retries and hedges of each pool.
	Budgets *limiter.Limiter
	// Quotas limits the requests to back ends that name a rate; nil means that none does.
	Quotas Quotas
	// AccountQuotas limits what each account sends through all nodes; nil means no limit.
	AccountQuotas AccountQuotas
	// RemotePrice is the price of the bytes between data centres, by which the share of plain
	// requests that leaves DataCentre is decided; nil means that a fixed cost decides.
	RemotePrice *localizer.Price
	// Answers limits the bytes of answers that are read whole; nil means no limit.
	Answers *limiter.Memory
	Log     *logger.Logger
	Scope   tally.Scope
}

// Stop holds the limits of a node that stops.
type Stop struct {
	// AnswerBy is when the node refuses requests that have not run, and ends the wait for
	// answers that have not begun; zero means that it does not stop.
	AnswerBy time.Time
	// RefuseLongFrom is when it begins to refuse requests that may last longer than until
	// AnswerBy.
	RefuseLongFrom time.Time
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	options  Options
	balancer *balancer
	// rotation increases with each pick, so that equally good back ends take turns.
	rotation atomic.Uint64
	running  atomic.Int64
	// freeQueue holds the KV caches that wait for Run to free them.
	freeQueue chan KVSource
	// lastTable is the table for which removeUnlisted was last called.
	lastTable atomic.Pointer[Table]
	metrics   metrics
	// invalidCostLogged is set once a request with an invalid cost was logged.
	invalidCostLogged atomic.Bool
	// unreadableParts decides when a request with an unreadable part is logged.
	unreadableParts logTurn
}

// New returns a forwarder. Unfetched KV caches are only freed while Run runs.
func New(options Options) *Forwarder {
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Stop == nil {
		options.Stop = func() Stop { return Stop{} }
	}
	if options.Stopping == nil {
		options.Stopping = context.Background()
	}
	if options.Quotas == nil {
		options.Quotas = unlimited{}
	}
	if options.AccountQuotas == nil {
		options.AccountQuotas = noAccountQuotas{}
	}
	if options.Refresh == nil {
		options.Refresh = func(context.Context) {}
	}
	f := &Forwarder{
		options:   options,
		balancer:  newBalancer(options.Quotas, options.Scope.SubScope("forwarder")),
		freeQueue: make(chan KVSource, maxQueuedFrees),
		metrics:   newMetrics(options.Scope),
	}
	if options.RemotePrice != nil {
		f.balancer.locality = newLocality(*options.RemotePrice, options.Log, options.Scope.SubScope("forwarder"))
	}
	// Nodes that start at once must not choose the same back ends.
	f.rotation.Store(rand.Uint64())
	return f
}

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int {
	return int(f.running.Load())
}

const (
	// retryAfterNoConfiguration is the Retry-After of a node without a configuration.
	// It is short because another node most likely has one.
	retryAfterNoConfiguration = 200 * time.Millisecond
	// retryAfterLeaving is the Retry-After of a node that shuts down: the time to
	// connect to another node.
	retryAfterLeaving = 20 * time.Millisecond
	// refreshTimeout bounds the wait for a newer table before a request without a
	// route is refused.
	refreshTimeout = 400 * time.Millisecond
	// retryAfterBusy is the Retry-After of a service without capacity: several times
	// the run time of a typical request.
	retryAfterBusy = 100 * time.Millisecond
)

// Forward returns a back end's answer, or a refusal. The caller must close the
// answer. Ending ctx cancels the request, also while its answer is read.
func (f *Forwarder) Forward(ctx context.Context, request *Request) (*Reply, *router.Refusal) {
	table := f.currentTable()
	if table.Configuration == nil || !table.Listed {
		return nil, notRunRefusal(router.NoConfiguration, retryAfterNoConfiguration, "this node has no configuration yet")
	}
	route, table, ok := f.match(ctx, table, request)
	if !ok {
		return nil, notRunRefusal(router.NoRoute, 0, "no route matches")
	}
	account, table, refusal := f.authenticate(ctx, request, route, table)
	if refusal != nil {
		return nil, refusal
	}
	call := f.newCall(ctx, request, route, table)
	call.account = account
	if request.Cost.Invalid {
		call.noteInvalidCost()
	}
	if request.Cost.HasUnreadablePart {
		call.noteUnreadablePart()
	}
	reply, refusal := call.runGuarded()
	if refusal != nil {
		call.finish(refusal)
		return nil, refusal
	}
	call.outliveStop()
	call.releaseBody()
	return reply, nil
}

// currentTable returns the current table. When the table has changed, it drops the
// balancer's statistics of back ends that are no longer listed.
func (f *Forwarder) currentTable() *Table {
	table := f.options.Table()
	if f.lastTable.Swap(table) != table {
		f.balancer.removeUnlisted(time.Now(), table)
	}
	return table
}

// match returns the route of a request and the table that has the route. If no route
// matches, match waits for a newer table, as the route may have just been added.
func (f *Forwarder) match(ctx context.Context, table *Table, request *Request) (Route, *Table, bool) {
	if route, ok := table.Configuration.Match(request.Host, request.Path); ok {
		return route, table, true
	}
	refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	f.options.Refresh(refreshCtx)
	table = f.currentTable()
	route, ok := table.Configuration.Match(request.Host, request.Path)
	return route, table, ok
}

// call is the state of one request in progress.
type call struct {
	*Forwarder
	request *Request
	route   Route
	table   *Table
	pool    Pool
	ctx     context.Context
	cancel  context.CancelFunc
	// outliveStop keeps the end of Options.Stopping from ending ctx.
	outliveStop func() bool
	// deadline is when the answer must be complete.
	deadline time.Time
	tried    []identifier.Member
	// possibleRuns counts the back ends that may have run the request.
	possibleRuns int
	// grant identifies the engine memory that the call holds; empty means none.
	grant       identifier.Grant
	grantResult placer.Result
	// kvSource is the KV cache of a prefilled prompt that no engine has fetched yet.
	kvSource    KVSource
	prefilledAt time.Time
	// sends counts the sends that reached a back end.
	sends int
	// retryUnused is set while the call holds a retry of the budget that no send has used.
	retryUnused bool
	// answers has the bytes of the answers that are read whole.
	answers *limiter.Lease
	// account is the caller's account; the zero Account if there is none.
	account authenticator.Account
	// quotaTaken is what the request has taken from its account's quota.
	quotaTaken limiter.Amount
}

// defaultTimeout applies when neither caller nor route sets a timeout.
const defaultTimeout = 60 * time.Second

func (f *Forwarder) newCall(ctx context.Context, request *Request, route Route, table *Table) *call {
	timeout := defaultTimeout
	if request.Timeout > 0 {
		timeout = request.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	c := &call{Forwarder: f, request: request, route: route, table: table, deadline: request.Arrived.Add(timeout), answers: f.options.Answers.NewLease()}
	ctx, cancelCause := context.WithCancelCause(ctx)
	c.outliveStop = context.AfterFunc(f.options.Stopping, func() { cancelCause(errNodeStops) })
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	c.ctx, c.cancel = ctx, func() { cancel(); cancelCause(nil) }
	c.pool = c.choosePool()
	f.running.Add(1)
	return c
}

// choosePool picks one of the route's pools with available back ends, at random by
// weight. The fingerprint is the random value, so that a resend gets the same pool.
func (c *call) choosePool() Pool {
	var total float64
	var available []Destination
	for _, destination := range c.route.Destinations {
		if len(c.table.Pool(destination.Pool, "")) > 0 {
			available = append(available, destination)
			total += destination.Weight
		}
	}
	if len(available) == 0 {
		available = c.route.Destinations[:1]
	}
	at := float64(c.request.Fingerprint>>11) / float64(1<<53) * total
	for _, destination := range available {
		if at < destination.Weight {
			return c.poolByName(destination.Pool)
		}
		at -= destination.Weight
	}
	return c.poolByName(available[0].Pool)
}

func (c *call) poolByName(name identifier.Pool) Pool {
	if pool, ok := c.table.Configuration.Pool(name); ok {
		return pool
	}
	return Pool{Name: name}
}

// run answers the request according to the kind of its pool and route.
func (c *call) run() (*Reply, *router.Refusal) {
	if time.Until(c.deadline) <= 0 {
		return nil, notRunRefusal(router.TimedOut, 0, "the request's deadline has passed")
	}
	if c.isQuarantined() {
		return nil, notRunRefusal(router.Quarantined, 0, quarantinedMessage)
	}
	if c.mayOutlastNode() {
		return nil, notRunRefusal(router.Leaving, retryAfterLeaving, errNodeStops.Error())
	}
	if refusal := c.takeAccountQuota(); refusal != nil {
		return nil, refusal
	}
	if !c.pool.Model && c.route.Kind == Repeatable && c.route.Backends > 1 {
		return c.runRepeatable() // It counts the request in the budget.
	}
	if c.pool.Model {
		return c.runStream()
	}
	return c.runOnce()
}

// errNodeStops ends the wait for an answer at Stop.AnswerBy.
var errNodeStops = errors.New("this node stops")

// mayOutlastNode reports whether the node stops and may not live to answer the request. A
// caller that is refused at once has the time for another node.
func (c *call) mayOutlastNode() bool {
	stop := c.options.Stop()
	return !stop.AnswerBy.IsZero() && time.Now().After(stop.RefuseLongFrom) && c.deadline.After(stop.AnswerBy)
}

const quarantinedMessage = "this request, or a part of its prompt, crashed several back ends"

func (c *call) isQuarantined() bool {
	return c.options.Isolator.IsQuarantined(c.request.Fingerprint) || c.options.Isolator.IsPromptQuarantined(c.request.Fingerprint, c.request.Cost.isolatorParts())
}

// releaseBody drops the body of a model request whose answer has begun, as streams last long.
// The slower try of a hedged request may still send its body, so others keep theirs.
func (c *call) releaseBody() {
	if !c.pool.Model {
		return
	}
	size := cap(c.request.Body)
	c.request.Body = nil
	c.request.Memory.Shrink(int64(size))
}

// finish ends the call: it releases the grant and the KV cache, and records the
// outcome. A nil refusal means that the request was answered.
func (c *call) finish(refusal *router.Refusal) {
	c.outliveStop()
	c.cancel()
	c.queueKVFree()
	if c.grant != "" {
		c.options.Placer.Release(c.grant, c.grantResult)
		c.grant = ""
	}
	c.answers.Release()
	c.giveBackRetry()
	c.returnAccountQuota(refusal)
	c.running.Add(-1)
	c.metrics.recordEnd(c, refusal)
	c.logEnd(refusal)
}

// refusalIfEnded returns a refusal if the caller cancelled, the deadline passed or the node
// stops, else nil.
func (c *call) refusalIfEnded() *router.Refusal {
	if c.ctx.Err() == nil {
		return nil
	}
	var retryAfter time.Duration
	reason, message := router.Cancelled, "the caller went away"
	switch {
	case time.Until(c.deadline) <= 0:
		reason, message = router.TimedOut, "the request took longer than its caller or route allows"
	case errors.Is(context.Cause(c.ctx), errNodeStops):
		reason, message, retryAfter = router.Leaving, errNodeStops.Error(), retryAfterLeaving
	}
	if c.possibleRuns == 0 {
		return notRunRefusal(reason, retryAfter, message)
	}
	return unknownRefusal(reason, message)
}

func (c *call) newWork(backend Backend) Work {
	sentAt := time.Now()
	return Work{
		Request:  c.request,
		Backend:  backend,
		TimeLeft: time.Until(c.deadline),
		Rank:     c.rank(),
		Account:  c.account.Name,
		OnNotice: func(notice Notice) {
			now := time.Now()
			if c.balancer.recordNotice(now, backend, notice) {
				c.logNotice(backend, notice)
			}
			if c.options.Quotas.Named(now, sentAt, backend.Name, backend.Started, notice.Rate) {
				c.logRate(backend, notice.Rate.PerSecond(), c.balancer.sentCount(backend))
			}
			if notice.InvalidRate != "" && c.balancer.firstInvalidRate(backend) {
				c.logInvalidRate(backend, notice.InvalidRate)
			}
		},
	}
}

// backendTable returns the table with the latest list of back ends. A request may wait
// for seconds before a send, so it must not use the list of its arrival.
func (c *call) backendTable() *Table {
	if table := c.currentTable(); table.Listed {
		return table
	}
	return c.table
}

// noteSent counts a send that reached a back end. The first counts in the pool's budget.
func (c *call) noteSent() {
	c.sends++
	c.retryUnused = false
	if c.sends == 1 {
		c.options.Budgets.Pool(c.pool.Name).CountSend()
	}
}

// takeRetry takes one retry from the pool's budget, unless the call still holds one. It
// returns false when the budget or maxSends is used up.
func (c *call) takeRetry() bool {
	if c.sends >= maxSends {
		return false
	}
	c.retryUnused = c.retryUnused || c.options.Budgets.Pool(c.pool.Name).TakeRetry()
	return c.retryUnused
}

// giveBackRetry returns a retry that the call holds to the budget.
func (c *call) giveBackRetry() {
	if c.retryUnused {
		c.retryUnused = false
		c.options.Budgets.Pool(c.pool.Name).GiveBack()
	}
}

// maxSends bounds the sends of one request, including declined ones.
const maxSends = 3

// recordSendResult updates the statistics and health of a send's back end, and logs a
// failed send. It returns whether the back end crashed.
func (c *call) recordSendResult(backend Backend, result sendResult, took time.Duration, err error) (crashed bool) {
	now := time.Now()
	c.balancer.recordResult(now, backend, result, took)
	c.logHealthChange(backend, c.balancer.updateHealth(now, backend, c.backendTable().Pool(backend.Pool, backend.Role)))
	if backend.Role == identifier.Service {
		relative, change := c.balancer.updateDelay(now, backend, c.backendTable().Pool(backend.Pool, backend.Role))
		c.logDelayChange(backend, relative, change)
	}
	if result != answered {
		c.logSendFailed(backend, result, err)
	}
	return result == lost && c.checkCrash(backend, now.Add(-took))
}

// checkCrash checks whether a back end that lost the answer to a request still accepts
// connections. If not, it reports a crash. A broken connection alone is no crash.
func (c *call) checkCrash(backend Backend, sentAt time.Time) (crashed bool) {
	lostAt := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), crashCheckTimeout)
	defer cancel()
	if err := c.options.Reacher.Reach(ctx, backend); err == nil {
		return false
	}
	if ctx.Err() != nil {
		// The host is silent, so its process may live.
		c.options.Isolator.ReportCrash(backend.Name, []uint64{c.request.Fingerprint})
		return true
	}
	c.options.Isolator.ReportEngineCrash(isolator.Crash{
		Member:      backend.Name,
		Fingerprint: c.request.Fingerprint,
		Parts:       c.request.Cost.isolatorParts(),
		Names:       c.request.Cost.partNames(),
		SentAt:      sentAt,
		EndedAt:     lostAt,
	})
	return true
}

// hasEnded reports whether a back end's host refuses connections, as it does once the
// process has ended. A host that is busy or silent does not refuse them.
func (c *call) hasEnded(backend Backend) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), crashCheckTimeout)
	defer cancel()
	return c.options.Reacher.Reach(ctx, backend) != nil && ctx.Err() == nil
}

// crashCheckTimeout bounds the connection attempt after a lost answer. It can be short
// because the host of a crashed process refuses connections at once.
const crashCheckTimeout = 300 * time.Millisecond
