package router

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/recorder"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Call is a plain service request as a caller sent it.
type Call struct {
	Account identifier.Account
	Path    string
	// Wire is what is sent on; its key is empty where the caller gave none.
	Wire invoker.Call
	// Issued is when the caller made the key, or zero where only the key tells.
	Issued time.Time
	// First tells that the caller never sent the key before.
	First bool
	// Fingerprint is a hash of method, target and body, equal for resends.
	Fingerprint uint64
}

// Call sends a plain service request to a member of its route's pool: again
// after a failure where the route is repeatable, else at most once.
func (r *Router) Call(ctx context.Context, call Call) (*invoker.Reply, *Refusal) {
	query := tabulator.Query{Path: call.Path, Method: call.Wire.Method, Account: call.Account}
	route, pool, refusal := r.match(query)
	if refusal == nil && pool.Kind != tabulator.Services {
		refusal = notRun(NoRoute, 0, "route %q does not lead to a service", route.Name)
	}
	if refusal != nil {
		return nil, call.unproven(refusal)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout(route))
	defer cancel()
	if route.Repeatable {
		call.Wire.Key = ""
		return r.callRepeatable(ctx, pool, call)
	}
	if call.Wire.Key == "" {
		return nil, notRun(KeyMissing, 0, "route %q may not be repeated and needs an Idempotency-Key", route.Name)
	}
	return r.callOnce(ctx, pool, call)
}

// unproven makes a refusal that nobody asked the ledger for unknown where the call
// may have been sent before, and run then.
func (c Call) unproven(refusal *Refusal) *Refusal {
	if c.Wire.Key != "" && !c.First {
		refusal.Outcome = Unknown
	}
	return refusal
}

// callRepeatable looks up at one member, and at the next on a new connection
// where the first fails or is slow and the pool's retry budget allows.
func (r *Router) callRepeatable(ctx context.Context, pool tabulator.Pool, call Call) (*invoker.Reply, *Refusal) {
	members := r.servingOrder(pool)
	if len(members) == 0 {
		return nil, notRun(BackendDown, r.options.Limits.RetryAfter, "pool %q has no member that takes work", pool.Name)
	}
	var reached atomic.Bool
	// fault is the latest answer with a server's fault, passed on if no member has
	// a better one.
	var fault atomic.Pointer[invoker.Reply]
	reply, release, err := limiter.Hedge(ctx, r.options.Budgets.Pool(pool.Name), limiter.HedgeOptions[*invoker.Reply]{
		Send: func(ctx context.Context, try int) (*invoker.Reply, error) {
			wire := call.Wire
			wire.NewConnection = try > 0
			reply, err := r.options.Services.Call(ctx, members[try%len(members)], wire)
			if !errorx.IsOfType(err, invoker.ConnectFailed) {
				reached.Store(true)
			}
			if err == nil && reply.Status >= http.StatusInternalServerError {
				fault.Store(&reply)
				return nil, errServerFault
			}
			return &reply, err
		},
	})
	release()
	switch {
	case err == nil:
		return reply, nil
	case fault.Load() != nil:
		return fault.Load(), nil
	case reached.Load():
		return nil, unknown(BackendDown, "no member of pool %q answered", pool.Name)
	default:
		return nil, notRun(BackendDown, r.options.Limits.RetryAfter, "no member of pool %q can be reached", pool.Name)
	}
}

// errServerFault marks an answer with a server's fault, for which another
// member may have a better one.
var errServerFault = errors.New("the backend server reports a fault of its own")

// callOnce claims the key in the ledger before the first byte leaves.
func (r *Router) callOnce(ctx context.Context, pool tabulator.Pool, call Call) (*invoker.Reply, *Refusal) {
	claim := recorder.Call{
		Key:         call.Wire.Key,
		Fingerprint: call.Fingerprint,
		Attempt:     identifier.Attempt(uuid.NewString()),
		Node:        r.options.Node,
		Incarnation: r.options.Incarnation,
		Issued:      call.Issued,
		First:       call.First,
	}
	answer := r.options.Ledger.Claim(ctx, claim)
	if answer.Verdict == recorder.Running {
		answer = r.options.Ledger.Await(ctx, claim)
	}
	if answer.Verdict != recorder.Run {
		return r.verdict(answer)
	}
	// The execution outlives its caller's connection, so that its answer is kept
	// for the resend of a caller that was cut off.
	deadline, _ := ctx.Deadline()
	execution, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	return r.execute(execution, pool, call, claim)
}

// execute sends a claimed call. Members that cannot be reached are passed over:
// nothing was sent to them.
func (r *Router) execute(ctx context.Context, pool tabulator.Pool, call Call, claim recorder.Call) (*invoker.Reply, *Refusal) {
	for _, member := range r.servingOrder(pool) {
		reply, err := r.options.Services.Call(ctx, member, call.Wire)
		if errorx.IsOfType(err, invoker.ConnectFailed) {
			continue
		}
		if err != nil {
			r.options.Log.Log(callUnknown, logger.Fields{"member": member.Name, "attempt": claim.Attempt, "error": err.Error()})
			r.options.Ledger.Abandon(context.WithoutCancel(ctx), claim)
			return nil, unknown(AnswerLost, "the answer of %q was lost", member.Name)
		}
		r.options.Ledger.Settle(context.WithoutCancel(ctx), claim, &recorder.Answer{
			Status:      reply.Status,
			ContentType: reply.Header.Get("Content-Type"),
			Body:        reply.Body,
		})
		return &reply, nil
	}
	r.options.Ledger.Settle(context.WithoutCancel(ctx), claim, nil)
	return nil, notRun(BackendDown, r.options.Limits.RetryAfter, "no member of pool %q can be reached", pool.Name)
}

// verdict answers a call that the ledger did not let run.
func (r *Router) verdict(claim recorder.Claim) (*invoker.Reply, *Refusal) {
	switch claim.Verdict {
	case recorder.Answered:
		header := http.Header{"Idempotent-Replayed": {"true"}}
		if claim.Answer.ContentType != "" {
			header.Set("Content-Type", claim.Answer.ContentType)
		}
		return &invoker.Reply{Status: claim.Answer.Status, Header: header, Body: claim.Answer.Body}, nil
	case recorder.Mismatch:
		return nil, notRun(KeyReused, 0, "the key was used for another call")
	case recorder.Malformed:
		return nil, notRun(Malformed, 0, "the key is not a UUIDv7 and has no time of issue")
	case recorder.TooOld:
		return nil, unknown(KeyTooOld, "the key is older than the ledger's window")
	case recorder.Closed:
		return nil, notRun(LedgerClosed, r.options.Limits.RetryAfter, "the ledger cannot be reached")
	case recorder.Unknown:
		refusal := unknown(LedgerClosed, "the ledger cannot be reached, and the key may have been sent before")
		refusal.RetryAfter = r.options.Limits.RetryAfter
		return nil, refusal
	case recorder.Unkept:
		return nil, unknown(AnswerLost, "the call ran; its answer was too large to keep")
	case recorder.Running:
		return nil, unknown(AnswerLost, "an earlier attempt has not ended")
	default:
		return nil, unknown(AnswerLost, "the outcome of an earlier attempt is not known")
	}
}

// servingOrder spreads calls over the pool's members.
func (r *Router) servingOrder(pool tabulator.Pool) []tabulator.Member {
	members := pool.WithRole(identifier.Service)
	if len(members) == 0 {
		return nil
	}
	first := int(r.turn.Add(1) % uint64(len(members)))
	return append(members[first:len(members):len(members)], members[:first]...)
}
