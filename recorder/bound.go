package recorder

import (
	"context"
	"sync"
	"time"
)

// boundLedger decides the claims of keys that are bound to this incarnation of this
// node. It keeps them in memory only, because no other process may run these calls and
// none of them can run after this process ends.
type boundLedger struct {
	options Options
	mutex   sync.Mutex
	page    *page
	// issued holds the time of issue of each key that may be in page.
	issued map[string]time.Time
	// lastRemoval is when keys past the window were last removed.
	lastRemoval time.Time
}

func newBoundLedger(options Options) *boundLedger {
	return &boundLedger{options: options, page: newPage(), issued: map[string]time.Time{}}
}

// claimOrSeal applies a claim or seal. With MaxBoundKeys keys in memory, a new key gets NotRun.
func (b *boundLedger) claimOrSeal(op *operation) result {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.removeExpired()
	if _, known := b.issued[op.key.text]; !known {
		if len(b.issued) >= b.options.MaxBoundKeys {
			return resultWith(NotRun)
		}
		b.issued[op.key.text] = op.key.issued
	}
	return b.page.apply(op, b.options.MaxBoundKeys+1).result
}

// applyOutcome records the outcome of a call. Unless inline is set, it keeps the answer
// without its body: the outcome queue stores the whole answer in an object of its own.
func (b *boundLedger) applyOutcome(kind operationKind, key parsedKey, call Call, answer *Answer, inline bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	op := newOperation(kind, key, call, answer)
	if answer != nil && !inline {
		op.answer, op.hasAnswerObject = answer.withoutBody(), true
	}
	b.page.apply(op, b.options.MaxBoundKeys+1)
}

// removeExpired removes keys that have left the window. The caller holds the mutex.
func (b *boundLedger) removeExpired() {
	if time.Since(b.lastRemoval) < b.options.BucketWidth {
		return
	}
	b.lastRemoval = time.Now()
	for text, issued := range b.issued {
		// Wait for the clock skew as well, in case this clock is set back.
		if time.Since(issued) > b.options.Window+b.options.ClockSkew {
			delete(b.issued, text)
			delete(b.page.Entries, text)
		}
	}
}

func (r *Recorder) isBoundHere(key parsedKey) bool {
	return key.node == r.options.Self && key.incarnation == r.options.Incarnation
}

// claimBound claims a bound key, in memory if the key is bound to this process. Otherwise
// it asks the key's node to seal the key, which proves that a call not yet started never
// runs. If that node does not reply, it reads the answer from the ledger, if any.
func (r *Recorder) claimBound(ctx context.Context, key parsedKey, call Call) ClaimResult {
	if age := time.Since(key.issued); age > r.options.Window || age < -r.options.ClockSkew {
		return ClaimResult{Verdict: TooOld}
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
