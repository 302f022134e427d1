// Package router takes a request from its route to its answer: model requests
// through a prefill and a decode engine, plain calls to a service.
//
// It survives the loss of engines and connections while a request runs, and
// tells the caller one of three outcomes: the answer, not run, or unknown.
package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/recorder"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Placer grants engine memory.
type Placer interface {
	// Acquire waits for a grant or a refusal. Ending ctx withdraws the demand.
	Acquire(ctx context.Context, demand placer.Demand) placer.Outcome
	// Progress tells how far the stream of a grant has come. It does not block.
	Progress(grant identifier.Grant, output identifier.Tokens, decoding bool)
	// Release gives a grant back. It does not block.
	Release(grant identifier.Grant, result placer.Result)
}

// Engines runs attempts of model requests.
type Engines interface {
	Prefill(ctx context.Context, member tabulator.Member, work invoker.Work) (invoker.KV, error)
	Decode(ctx context.Context, member tabulator.Member, work invoker.Work, kv invoker.KV) (*invoker.Stream, error)
	Resume(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, after identifier.Tokens, reader uint64) (*invoker.Stream, error)
	Cancel(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, reader uint64) error
	State(ctx context.Context, member tabulator.Member) (invoker.State, error)
}

// Services calls plain services.
type Services interface {
	Call(ctx context.Context, member tabulator.Member, call invoker.Call) (invoker.Reply, error)
}

// Ledger decides at-most-once execution.
type Ledger interface {
	Claim(ctx context.Context, call recorder.Call) recorder.ClaimResult
	Settle(ctx context.Context, call recorder.Call, answer *recorder.Answer)
	Await(ctx context.Context, call recorder.Call) recorder.ClaimResult
	Abandon(ctx context.Context, call recorder.Call)
}

// Isolator holds requests that crash the engines that run them.
type Isolator interface {
	// Held tells whether requests of a fingerprint are refused.
	Held(fingerprint uint64) bool
	// Suspect tells whether a request was in flight at a crash.
	Suspect(fingerprint uint64) bool
	// Finished clears a request that was answered in full.
	Finished(fingerprint uint64)
	// Crashed reports the requests in flight at a crash of an engine.
	Crashed(member identifier.Member, fingerprints []uint64)
}

// Limits bounds what one request may use.
type Limits struct {
	// Attempts is the most attempts of a model request, at least one.
	Attempts int
	// Resumes is the most new connections tried for a stream between two of its
	// tokens, before the engine is given up.
	Resumes int
	// Linger is how long a stream whose caller was cut off is kept for the
	// caller to come back, where the caller named the request.
	Linger time.Duration
	// DefaultTokens limits the output of requests that set no limit.
	DefaultTokens identifier.Tokens
	// CancelRetry is the first pause between two tries to cancel an attempt;
	// CancelGiveUp is when an engine that cannot be reached is taken for gone.
	CancelRetry  time.Duration
	CancelGiveUp time.Duration
	// Timeout bounds all requests, and is that of routes that set none.
	Timeout time.Duration
	// RetryAfter is what callers are told to wait where nothing better is known.
	RetryAfter time.Duration
}

// Options sets up a router.
type Options struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	DataCentre  identifier.DataCentre
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot func() *tabulator.Snapshot
	Placer   Placer
	Engines  Engines
	Services Services
	Ledger   Ledger
	Isolator Isolator
	// Budgets bounds retries and hedges for each pool.
	Budgets *limiter.Limiter
	Limits  Limits
	Log     *logger.Logger
	Scope   tally.Scope
}

// Router routes requests.
type Router struct {
	options Options
	cleaner *cleaner
	flights *flights
	revoked *revocations
	// unreached holds the engines that this node cannot connect to.
	unreached *unreached
	strays    tally.Counter
	retries   tally.Counter
	// turn counts service calls, to begin with another member each time.
	turn atomic.Uint64
}

// New returns a router. Run has to be started for cancelled work to be freed.
func New(options Options) *Router {
	return &Router{
		options:   options,
		cleaner:   newCleaner(options),
		flights:   newFlights(),
		revoked:   newRevocations(),
		unreached: newUnreached(options.Engines),
		strays:    options.Scope.Counter("stray_chunks"),
		retries:   options.Scope.Counter("attempts_repeated"),
	}
}

// Run frees the memory of abandoned attempts until ctx ends, and then until
// what was abandoned before is free. It tries engines again that could not be
// reached.
func (r *Router) Run(ctx context.Context) error {
	ended := make(chan struct{})
	go r.unreached.run(ctx, ended)
	err := r.cleaner.run(ctx)
	<-ended
	return err
}

// Running returns the number of requests that are being answered.
func (r *Router) Running() int {
	return r.flights.count()
}

// Revoke tells that a grant was taken back, such as that of a lesser stream
// paused for urgent work: its stream ends at the engine without a fault.
func (r *Router) Revoke(grant identifier.Grant) {
	r.revoked.add(grant)
}

// match finds the route of a query in the configuration in force.
func (r *Router) match(query tabulator.Query) (tabulator.Route, tabulator.Pool, *Refusal) {
	snapshot := r.options.Snapshot()
	if snapshot == nil {
		return tabulator.Route{}, tabulator.Pool{}, notRun(NoConfiguration, r.options.Limits.RetryAfter, "this node has no configuration yet")
	}
	route, pool, ok := snapshot.Match(query)
	if !ok {
		return route, pool, notRun(NoRoute, 0, "no route matches model %q and path %q", query.Model, query.Path)
	}
	return route, pool, nil
}

// timeout returns the bound on a route's requests.
func (r *Router) timeout(route tabulator.Route) time.Duration {
	if route.Timeout > 0 {
		return min(time.Duration(route.Timeout), r.options.Limits.Timeout)
	}
	return r.options.Limits.Timeout
}
