package recorder

import (
	"context"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

type operationKind string

const (
	// opClaim adds a started entry unless the key has one.
	opClaim operationKind = "claim"
	// opSettle puts the answer into the attempt's entry.
	opSettle operationKind = "settle"
	// opWithdraw marks the attempt's entry as not run.
	opWithdraw operationKind = "withdraw"
	// opAbandon marks the attempt's entry as never to be known.
	opAbandon operationKind = "abandon"
	// opKeep records the answer of a bound key, which has no started entry.
	opKeep operationKind = "keep"
	// opSeal forbids a bound key to run unless it has started.
	opSeal operationKind = "seal"
	// opLook reads the answer of a bound key.
	opLook operationKind = "look"
)

// operation is one change of, or look at, the entry of a key.
type operation struct {
	kind   operationKind
	key    issuedKey
	call   Call
	answer *Answer
	// stored tells that the answer has its body in an object of its own.
	stored bool
	// results takes exactly one result and never blocks.
	results chan result
}

// result is the outcome of an operation.
type result struct {
	claim Claim
	// node and incarnation run the call when the verdict is Running.
	node        identifier.Node
	incarnation identifier.Incarnation
	// storedBy is the attempt whose answer is whole only in an object of its
	// own, empty for all others.
	storedBy identifier.Attempt
	// failed tells that the store did not decide the operation; then uncertain
	// tells that it may have taken effect all the same.
	failed    bool
	uncertain bool
}

func newOperation(kind operationKind, key issuedKey, call Call, answer *Answer) *operation {
	return &operation{kind: kind, key: key, call: call, answer: answer, results: make(chan result, 1)}
}

func verdictOf(verdict Verdict) result {
	return result{claim: Claim{Verdict: verdict}}
}

func failure(uncertain bool) result {
	return result{claim: Claim{Verdict: Unknown}, failed: true, uncertain: uncertain}
}

// answeredEntry is the end of the operation's entry.
func (o *operation) answeredEntry() *entry {
	return &entry{State: answered, Answer: o.answer, Unkept: o.answer == nil, Stored: o.stored}
}

// waits tells whether a caller waits for the operation, so that its batch
// should not be delayed for company.
func (o *operation) waits() bool {
	return o.kind == opClaim || o.kind == opLook || o.kind == opSeal
}

// apply carries out an operation at the owner of its shard, or here when the
// owner cannot be reached: any node may write any page safely.
func (r *Recorder) apply(ctx context.Context, op *operation) result {
	layout, known := r.knownLayout(ctx)
	if !known {
		return failure(false)
	}
	place := op.key.place(layout)
	owner := r.options.View().Owner(place.ownedAs(layout))
	if owner.Node == r.options.Self {
		return r.applyHere(ctx, op)
	}
	answer, err := r.forward(ctx, owner, op)
	if err == nil {
		return answer
	}
	r.metrics.forwardFailed.Inc(1)
	r.options.Log.Log(eventForwardFailed, fields(op, err))
	here := r.applyHere(ctx, op)
	// What the owner was sent may still take effect.
	here.uncertain = here.uncertain || here.failed
	return here
}

// applyHere carries out an operation in this node's loop.
func (r *Recorder) applyHere(ctx context.Context, op *operation) result {
	if _, known := r.knownLayout(ctx); !known {
		return failure(false)
	}
	select {
	case r.operations <- op:
	case <-ctx.Done():
		return failure(false)
	}
	select {
	case answer := <-op.results:
		return r.withFate(answer)
	case <-ctx.Done():
		return failure(true)
	}
}

// withFate turns Running into Lost when the node that runs the call is gone.
func (r *Recorder) withFate(answer result) result {
	if answer.claim.Verdict == Running && !r.lives(answer.node, answer.incarnation) {
		answer.claim.Verdict = Lost
	}
	return answer
}

// lives tells whether an incarnation of a node may still tell an outcome.
func (r *Recorder) lives(node identifier.Node, incarnation identifier.Incarnation) bool {
	if node == r.options.Self {
		return incarnation == r.options.Incarnation
	}
	member, known := r.options.View().Find(node)
	return known && member.State != assigner.Dead && member.Incarnation <= incarnation
}
