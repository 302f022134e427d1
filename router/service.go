package router

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
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

// Call is a caller's plain service request.
type Call struct {
	Account identifier.Account
	Path    string
	// Outgoing is the request to the member; its key is empty if the caller gave none.
	Outgoing invoker.Call
	// Issued is when the caller made the key; zero means that the key contains the time.
	Issued time.Time
	// First means that the caller states that it never sent this idempotency key before.
	First bool
	// Fingerprint is a hash of method, target and body, equal for resends.
	Fingerprint uint64
}

// Call sends a plain service request to a member of its route's pool. It retries
// failures on a repeatable route; otherwise the request runs at most once.
func (r *Router) Call(ctx context.Context, call Call) (*invoker.Reply, *Refusal) {
	query := tabulator.Query{Path: call.Path, Method: call.Outgoing.Method, Account: call.Account}
	route, pool, refusal := r.match(query)
	if refusal == nil && pool.Kind != tabulator.Services {
		refusal = notRunRefusal(NoRoute, 0, "route %q does not lead to a service", route.Name)
	}
	if refusal != nil {
		return nil, call.markUnknownIfResent(refusal)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout(route))
	defer cancel()
	if route.Repeatable {
		call.Outgoing.Key = ""
		return r.callRepeatable(ctx, pool, call)
	}
	if call.Outgoing.Key == "" {
		return nil, notRunRefusal(KeyMissing, 0, "route %q may not be repeated and needs an Idempotency-Key", route.Name)
	}
	return r.callOnce(ctx, pool, call)
}

// markUnknownIfResent changes the outcome of a refusal made without the ledger to
// Unknown if the call may have been sent, and run, before.
func (c Call) markUnknownIfResent(refusal *Refusal) *Refusal {
	if c.Outgoing.Key != "" && !c.First {
		refusal.Outcome = Unknown
	}
	return refusal
}

// callRepeatable calls one member. It calls the next one on a new connection when
// the first fails or is slow and the pool's retry budget allows it.
func (r *Router) callRepeatable(ctx context.Context, pool tabulator.Pool, call Call) (*invoker.Reply, *Refusal) {
	members := r.rotateMembers(pool)
	if len(members) == 0 {
		return nil, notRunRefusal(BackendDown, r.options.Limits.RetryAfter, "pool %q has no member that takes work", pool.Name)
	}
	var reached atomic.Bool
	// fault is the latest answer with a server error, returned if no better one comes.
	var fault atomic.Pointer[invoker.Reply]
	reply, release, err := limiter.Hedge(ctx, r.options.Budgets.Pool(pool.Name), limiter.HedgeOptions[*invoker.Reply]{
		OnPanic: func(value any, stack []byte) {
			r.cleaner.panics.Inc(1)
			request := cmp.Or(string(call.Outgoing.Key), strconv.FormatUint(call.Fingerprint, 16))
			r.options.Log.Log(eventPanicked, panicFields(request, value, stack))
		},
		Send: func(ctx context.Context, try int) (*invoker.Reply, error) {
			outgoing := call.Outgoing
			outgoing.NewConnection = try > 0
			unreached := false
			defer func() {
				// Also after a panic, whatever its value.
				if !unreached {
					reached.Store(true)
				}
			}()
			reply, err := r.options.Services.Call(ctx, members[try%len(members)], outgoing)
			unreached = errorx.IsOfType(err, invoker.ConnectFailed)
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
		return nil, unknownRefusal(BackendDown, "no member of pool %q answered", pool.Name)
	default:
		return nil, notRunRefusal(BackendDown, r.options.Limits.RetryAfter, "no member of pool %q can be reached", pool.Name)
	}
}

// errServerFault marks an answer with a server error. Another member may have a
// better answer.
var errServerFault = errors.New("the backend server reports a fault of its own")

// callOnce claims the call's key in the ledger, and sends the call only if the ledger allows it.
func (r *Router) callOnce(ctx context.Context, pool tabulator.Pool, call Call) (*invoker.Reply, *Refusal) {
	ledgerCall := recorder.Call{
		Key:         call.Outgoing.Key,
		Fingerprint: call.Fingerprint,
		Attempt:     identifier.Attempt(uuid.NewString()),
		Node:        r.options.Node,
		Incarnation: r.options.Incarnation,
		Issued:      call.Issued,
		First:       call.First,
	}
	claim := r.options.Ledger.Claim(ctx, ledgerCall)
	if claim.Verdict == recorder.Running {
		claim = r.options.Ledger.Await(ctx, ledgerCall)
	}
	if claim.Verdict != recorder.Run {
		return r.replyToClaim(claim)
	}
	// The execution continues after its caller disconnects, so that the answer can
	// be stored for a resend.
	deadline, _ := ctx.Deadline()
	execution, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	return r.execute(execution, pool, call, ledgerCall)
}

// execute sends a claimed call. It skips unreachable members, as nothing was sent to
// them.
func (r *Router) execute(ctx context.Context, pool tabulator.Pool, call Call, ledgerCall recorder.Call) (*invoker.Reply, *Refusal) {
	for _, member := range r.rotateMembers(pool) {
		reply, err := r.options.Services.Call(ctx, member, call.Outgoing)
		if errorx.IsOfType(err, invoker.ConnectFailed) {
			continue
		}
		if err != nil {
			r.options.Log.Log(eventCallUnknown, logger.Fields{"member": member.Name, "attempt": ledgerCall.Attempt, "error": err.Error()})
			r.options.Ledger.Abandon(context.WithoutCancel(ctx), ledgerCall)
			return nil, unknownRefusal(AnswerLost, "the answer of %q was lost", member.Name)
		}
		r.options.Ledger.Settle(context.WithoutCancel(ctx), ledgerCall, &recorder.Answer{
			Status:      reply.Status,
			ContentType: reply.Header.Get("Content-Type"),
			Body:        reply.Body,
		})
		return &reply, nil
	}
	r.options.Ledger.Settle(context.WithoutCancel(ctx), ledgerCall, nil)
	return nil, notRunRefusal(BackendDown, r.options.Limits.RetryAfter, "no member of pool %q can be reached", pool.Name)
}

// replyToClaim returns the reply or refusal of a call that the ledger did not allow.
func (r *Router) replyToClaim(claim recorder.ClaimResult) (*invoker.Reply, *Refusal) {
	switch claim.Verdict {
	case recorder.Answered:
		header := http.Header{"Idempotent-Replayed": {"true"}}
		if claim.Answer.ContentType != "" {
			header.Set("Content-Type", claim.Answer.ContentType)
		}
		return &invoker.Reply{Status: claim.Answer.Status, Header: header, Body: claim.Answer.Body}, nil
	case recorder.Mismatch:
		return nil, notRunRefusal(KeyReused, 0, "the key was used for another call")
	case recorder.Malformed:
		return nil, notRunRefusal(Malformed, 0, "the key is not a UUIDv7 and has no time of issue")
	case recorder.TooOld:
		return nil, unknownRefusal(KeyTooOld, "the key is older than the ledger's window")
	case recorder.NotRun:
		return nil, notRunRefusal(LedgerClosed, r.options.Limits.RetryAfter, "the ledger cannot be reached")
	case recorder.Unknown:
		refusal := unknownRefusal(LedgerClosed, "the ledger cannot be reached, and the key may have been sent before")
		refusal.RetryAfter = r.options.Limits.RetryAfter
		return nil, refusal
	case recorder.AnswerDiscarded:
		return nil, unknownRefusal(AnswerLost, "the call ran; its answer was too large to keep")
	case recorder.Running:
		return nil, unknownRefusal(AnswerLost, "an earlier attempt has not ended")
	default:
		return nil, unknownRefusal(AnswerLost, "the outcome of an earlier attempt is not known")
	}
}

// rotateMembers returns the pool's members, starting with a different one each time.
func (r *Router) rotateMembers(pool tabulator.Pool) []tabulator.Member {
	members := pool.ActiveMembers(identifier.Service)
	if len(members) == 0 {
		return nil
	}
	first := int(r.rotation.Add(1) % uint64(len(members)))
	return append(members[first:len(members):len(members)], members[:first]...)
}
