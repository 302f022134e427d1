package recorder

import (
	"context"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

type operationKind string

const (
	// opClaim adds a started entry, or changes a withdrawn entry to started.
	opClaim operationKind = "claim"
	// opAnswer stores the answer in the attempt's entry.
	opAnswer operationKind = "settle"
	// opWithdraw marks the attempt's entry as not run.
	opWithdraw operationKind = "withdraw"
	// opAbandon marks the attempt's entry as lost.
	opAbandon operationKind = "abandon"
	// opAnswerBound adds the answer of a bound key, whose claim is only in its node's memory.
	opAnswerBound operationKind = "keep"
	// opSeal prevents a bound key from running unless it has started.
	opSeal operationKind = "seal"
	// opRead reads the answer of a bound key.
	opRead operationKind = "look"
)

// operation reads or changes the entry of one key.
type operation struct {
	kind   operationKind
	key    parsedKey
	call   Call
	answer *Answer
	// hasAnswerObject is set if the answer's body is in an object of its own.
	hasAnswerObject bool
	// results is buffered and receives exactly one result, so sending never blocks.
	results chan result
}

// result is the outcome of an operation.
type result struct {
	claim ClaimResult
	// node is the node that runs the call if the verdict is Running.
	node identifier.Node
	// incarnation is the incarnation of node that runs the call.
	incarnation identifier.Incarnation
	// answerObjectAttempt is the attempt whose answer is in an object of its own, or "".
	answerObjectAttempt identifier.Attempt
	// failed is set if the operation got no result from the ledger.
	failed bool
	// uncertain is set if a failed operation may have taken effect all the same.
	uncertain bool
}

func newOperation(kind operationKind, key parsedKey, call Call, answer *Answer) *operation {
	return &operation{kind: kind, key: key, call: call, answer: answer, results: make(chan result, 1)}
}

func resultWith(verdict Verdict) result {
	return result{claim: ClaimResult{Verdict: verdict}}
}

func failedResult(uncertain bool) result {
	return result{claim: ClaimResult{Verdict: Unknown}, failed: true, uncertain: uncertain}
}

func (o *operation) answeredEntry() *entry {
	return &entry{State: stateAnswered, Answer: o.answer, AnswerDiscarded: o.answer == nil, HasAnswerObject: o.hasAnswerObject}
}

// callerWaits reports whether a caller waits for the result; such an operation is not
// delayed to be batched with others.
func (o *operation) callerWaits() bool {
	return o.kind == opClaim || o.kind == opRead || o.kind == opSeal
}

// apply applies an operation at the owner of its shard, or on this node if the owner
// cannot be reached: conditional updates make it safe for any node to write any page.
func (r *Recorder) apply(ctx context.Context, op *operation) result {
	layout, known := r.loadLayout(ctx)
	if !known {
		return failedResult(false)
	}
	at := op.key.location(layout)
	owner := r.options.View().Owner(at.ownerKey(layout))
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
	// The forwarded operation may still take effect at the owner.
	local.uncertain = local.uncertain || local.failed
	return local
}

// applyLocally applies an operation in this node's commit loop.
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

// detectLostAttempt changes Running to Lost if the node incarnation that runs the call is not alive.
func (r *Recorder) detectLostAttempt(applied result) result {
	if applied.claim.Verdict == Running && !r.isAlive(applied.node, applied.incarnation) {
		applied.claim.Verdict = Lost
	}
	return applied
}

// isAlive reports whether an incarnation of a node may still report an outcome.
func (r *Recorder) isAlive(node identifier.Node, incarnation identifier.Incarnation) bool {
	if node == r.options.Self {
		return incarnation == r.options.Incarnation
	}
	member, known := r.options.View().Find(node)
	return known && member.State != assigner.Dead && member.Incarnation <= incarnation
}
