package recorder

import (
	"context"
	"sync"
	"time"
)

// boundLedger decides the keys that are bound to this incarnation of this
// node. No other process ever runs them, so its memory is enough: when it
// dies, nothing more is run with them.
type boundLedger struct {
	options Options
	mutex   sync.Mutex
	page    *page
	// issued holds the same keys as page.
	issued map[string]time.Time
	// lastRemoval is when keys past the window were last removed.
	lastRemoval time.Time
}

func newBoundLedger(options Options) *boundLedger {
	return &boundLedger{options: options, page: newPage(), issued: map[string]time.Time{}}
}

// claimOrSeal carries out a claim or seal. A full memory refuses new keys as not run.
func (b *boundLedger) claimOrSeal(op *operation) result {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.removeExpired()
	if _, known := b.issued[op.key.text]; !known {
		if len(b.issued) >= b.options.MaxBoundKeys {
			return resultWith(Closed)
		}
		b.issued[op.key.text] = op.key.issued
	}
	return b.page.apply(op, b.options.MaxBoundKeys+1).result
}

// applyOutcome records how a call ended. Its answer is whole, or in the ledger alone.
func (b *boundLedger) applyOutcome(kind operationKind, key parsedKey, call Call, answer *Answer, inline bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	op := newOperation(kind, key, call, answer)
	if answer != nil && !inline {
		op.answer, op.hasAnswerObject = answer.withoutBody(), true
	}
	b.page.apply(op, b.options.MaxBoundKeys+1)
}

// removeExpired removes the keys that the window no longer admits.
func (b *boundLedger) removeExpired() {
	if time.Since(b.lastRemoval) < b.options.BucketWidth {
		return
	}
	b.lastRemoval = time.Now()
	for text, issued := range b.issued {
		// The skew is waited out in case this clock is set back.
		if time.Since(issued) > b.options.Window+b.options.ClockSkew {
			delete(b.issued, text)
			delete(b.page.Entries, text)
		}
	}
}

// isBoundHere tells whether a key is bound to this very process.
func (r *Recorder) isBoundHere(key parsedKey) bool {
	return key.node == r.options.Self && key.incarnation == r.options.Incarnation
}

// claimBound claims a bound key: here when it is bound to this process;
// elsewhere its node is asked to seal it, which proves that it did not run;
// without that node the ledger may know its answer.
func (r *Recorder) claimBound(ctx context.Context, key parsedKey, call Call) Claim {
	if age := time.Since(key.issued); age > r.options.Window || age < -r.options.ClockSkew {
		return Claim{Verdict: TooOld}
	}
	if r.isBoundHere(key) {
		return r.withStoredAnswer(ctx, key, r.bound.claimOrSeal(newOperation(opClaim, key, call, nil)))
	}
	if r.isAlive(key.node, key.incarnation) {
		member, _ := r.options.View().Find(key.node)
		sealResult, err := r.forward(ctx, member, newOperation(opSeal, key, call, nil))
		if err == nil {
			return r.withStoredAnswer(ctx, key, sealResult)
		}
	}
	ledgerResult := r.apply(ctx, newOperation(opRead, key, call, nil))
	switch {
	case !ledgerResult.failed && ledgerResult.claim.Verdict != Lost:
		return r.withStoredAnswer(ctx, key, ledgerResult)
	case ledgerResult.failed || call.First:
		return r.undecidedClaim(call)
	default:
		return ledgerResult.claim
	}
}
