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
	// opAnswer puts the answer into the attempt's entry.
	opAnswer operationKind = "settle"
	// opWithdraw marks the attempt's entry as not run.
	opWithdraw operationKind = "withdraw"
	// opAbandon marks the attempt's entry as never to be known.
	opAbandon operationKind = "abandon"
	// opAnswerBound records the answer of a bound key, which has no started entry.
	opAnswerBound operationKind = "keep"
	// opSeal forbids a bound key to run unless it has started.
	opSeal operationKind = "seal"
	// opRead reads the answer of a bound key.
	opRead operationKind = "look"
)

// operation is one change of, or look at, the entry of a key.
type operation struct {
	kind   operationKind
	key    parsedKey
	call   Call
	answer *Answer
	// hasAnswerObject tells that the answer has its body in an object of its own.
	hasAnswerObject bool
	// results takes exactly one result and never blocks.
	results chan result
}

// result is the outcome of an operation.
type result struct {
	claim Claim
	// node and incarnation run the call when the verdict is Running.
	node        identifier.Node
	incarnation identifier.Incarnation
	// answerObjectAttempt is the attempt whose answer is whole only in an object of its
	// own, empty for all others.
	answerObjectAttempt identifier.Attempt
	// failed tells that the store did not decide the operation; then uncertain
	// tells that it may have taken effect all the same.
	failed    bool
	uncertain bool
}

func newOperation(kind operationKind, key parsedKey, call Call, answer *Answer) *operation {
	return &operation{kind: kind, key: key, call: call, answer: answer, results: make(chan result, 1)}
}

func resultWith(verdict Verdict) result {
	return result{claim: Claim{Verdict: verdict}}
}

func failedResult(uncertain bool) result {
	return result{claim: Claim{Verdict: Unknown}, failed: true, uncertain: uncertain}
}

// answeredEntry is the end of the operation's entry.
func (o *operation) answeredEntry() *entry {
	return &entry{State: stateAnswered, Answer: o.answer, AnswerDiscarded: o.answer == nil, HasAnswerObject: o.hasAnswerObject}
}

// callerWaits tells whether a caller callerWaits for the operation, so that its batch
// should not be delayed for company.
func (o *operation) callerWaits() bool {
	return o.kind == opClaim || o.kind == opRead || o.kind == opSeal
}

// apply carries out an operation at the owner of its shard, or here when the
// owner cannot be reached: any node may write any page safely.
func (r *Recorder) apply(ctx context.Context, op *operation) result {
	layout, known := r.loadLayout(ctx)
	if !known {
		return failedResult(false)
	}
	place := op.key.location(layout)
	owner := r.options.View().Owner(place.ownerKey(layout))
	if owner.Node == r.options.Self {
		return r.applyLocally(ctx, op)
	}
	forwarded, err := r.forward(ctx, owner, op)
	if err == nil {
		return forwarded
	}
	r.metrics.forwardFailed.Inc(1)
	r.options.Log.Log(eventForwardFailed, operationFields(op, err))
	local := r.applyLocally(ctx, op)
	// What the owner was sent may still take effect.
	local.uncertain = local.uncertain || local.failed
	return local
}

// applyLocally carries out an operation in this node's loop.
func (r *Recorder) applyLocally(ctx context.Context, op *operation) result {
	if _, known := r.loadLayout(ctx); !known {
		return failedResult(false)
	}
	select {
	case r.operations <- op:
	case <-ctx.Done():
		return failedResult(false)
	}
	select {
	case applied := <-op.results:
		return r.detectLostAttempt(applied)
	case <-ctx.Done():
		return failedResult(true)
	}
}

// detectLostAttempt turns Running into Lost when the node that runs the call is gone.
func (r *Recorder) detectLostAttempt(applied result) result {
	if applied.claim.Verdict == Running && !r.isAlive(applied.node, applied.incarnation) {
		applied.claim.Verdict = Lost
	}
	return applied
}

// isAlive tells whether an incarnation of a node may still tell an outcome.
func (r *Recorder) isAlive(node identifier.Node, incarnation identifier.Incarnation) bool {
	if node == r.options.Self {
		return incarnation == r.options.Incarnation
	}
	member, known := r.options.View().Find(node)
	return known && member.State != assigner.Dead && member.Incarnation <= incarnation
}
