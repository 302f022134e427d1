// Package router answers requests: model requests through a prefill and a decode
// engine, plain calls through a service.
//
// It recovers from the loss of engines and connections while a request runs. The
// caller gets one of three outcomes: the answer, not run, or unknown.
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
	// Progress reports how many tokens a grant's stream has produced. It does not block.
	Progress(grant identifier.Grant, output identifier.Tokens, decoding bool)
	// Release releases a grant. It does not block.
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

// Ledger ensures that a call runs at most once.
type Ledger interface {
	Claim(ctx context.Context, call recorder.Call) recorder.ClaimResult
	Settle(ctx context.Context, call recorder.Call, answer *recorder.Answer)
	Await(ctx context.Context, call recorder.Call) recorder.ClaimResult
	Abandon(ctx context.Context, call recorder.Call)
}

// Isolator refuses requests that crash the engines that run them.
type Isolator interface {
	// IsQuarantined reports whether requests with a fingerprint are refused.
	IsQuarantined(fingerprint uint64) bool
	// IsSuspect reports whether a request was in flight at a crash.
	IsSuspect(fingerprint uint64) bool
	// ReportFinished clears a request that was answered completely.
	ReportFinished(fingerprint uint64)
	// ReportCrash reports the requests in flight at an engine's crash.
	ReportCrash(member identifier.Member, fingerprints []uint64)
}

// Limits bounds the resources of one request.
type Limits struct {
	// Attempts is the maximum number of attempts of a model request, at least one.
	Attempts int
	// Resumes is the maximum number of reconnects between two tokens of a stream.
	// After that the attempt fails.
	Resumes int
	// Linger is how long the stream of a named request is kept after its caller was
	// cut off, so that the caller can reconnect.
	Linger time.Duration
	// DefaultTokens is the output limit of requests that set none.
	DefaultTokens identifier.Tokens
	// CancelRetry is the first pause between two tries to cancel an attempt.
	CancelRetry time.Duration
	// CancelGiveUp is how long a cancel is retried before its engine is assumed dead.
	CancelGiveUp time.Duration
	// Timeout bounds every request and is the default of routes without a timeout.
	Timeout time.Duration
	// RetryAfter is the default Retry-After of refusals.
	RetryAfter time.Duration
}

// Options configures a router.
type Options struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	DataCentre  identifier.DataCentre
	// Snapshot returns the current configuration, or nil before the first.
	Snapshot func() *tabulator.Snapshot
	Placer   Placer
	Engines  Engines
	Services Services
	Ledger   Ledger
	Isolator Isolator
	// Budgets limits the retries and hedges of each pool.
	Budgets *limiter.Limiter
	Limits  Limits
	Log     *logger.Logger
	Scope   tally.Scope
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	options     Options
	cleaner     *cleaner
	inFlight    *inFlightRequests
	revocations *revocations
	unreachable *unreachableEngines
	strayChunks tally.Counter
	retries     tally.Counter
	// rotation increases with each service call, so that the members take turns.
	rotation atomic.Uint64
}

// New returns a router. Memory of cancelled work is only freed while Run runs.
func New(options Options) *Router {
	return &Router{
		options:     options,
		cleaner:     newCleaner(options),
		inFlight:    newInFlightRequests(),
		revocations: newRevocations(),
		unreachable: newUnreachableEngines(options.Engines),
		strayChunks: options.Scope.Counter("stray_chunks"),
		retries:     options.Scope.Counter("attempts_repeated"),
	}
}

// Run reconnects to unreachable engines until ctx ends. Then it waits until the
// memory of all abandoned attempts is freed.
func (r *Router) Run(ctx context.Context) error {
	ended := make(chan struct{})
	go r.unreachable.run(ctx, ended)
	err := r.cleaner.run(ctx)
	<-ended
	return err
}

// InFlight returns the number of model requests in progress.
func (r *Router) InFlight() int {
	return r.inFlight.count()
}

// Revoke records that a grant was revoked, for example because urgent work paused a
// lesser stream. The end of that grant's stream is then no engine fault.
func (r *Router) Revoke(grant identifier.Grant) {
	r.revocations.add(grant)
}

// match returns the route and pool of a query in the current configuration.
func (r *Router) match(query tabulator.Query) (tabulator.Route, tabulator.Pool, *Refusal) {
	snapshot := r.options.Snapshot()
	if snapshot == nil {
		return tabulator.Route{}, tabulator.Pool{}, notRunRefusal(NoConfiguration, r.options.Limits.RetryAfter, "this node has no configuration yet")
	}
	route, pool, ok := snapshot.Match(query)
	if !ok {
		return route, pool, notRunRefusal(NoRoute, 0, "no route matches model %q and path %q", query.Model, query.Path)
	}
	return route, pool, nil
}

// timeout returns the timeout of a route's requests.
func (r *Router) timeout(route tabulator.Route) time.Duration {
	if route.Timeout > 0 {
		return min(time.Duration(route.Timeout), r.options.Limits.Timeout)
	}
	return r.options.Limits.Timeout
}
