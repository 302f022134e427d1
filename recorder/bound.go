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
	// swept is when keys past the window were last removed.
	swept time.Time
}

func newBoundLedger(options Options) *boundLedger {
	return &boundLedger{options: options, page: newPage(), issued: map[string]time.Time{}}
}

// decide carries out a claim or seal. A full memory refuses new keys as not run.
func (b *boundLedger) decide(op *operation) result {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep()
	if _, known := b.issued[op.key.text]; !known {
		if len(b.issued) >= b.options.BoundEntries {
			return verdictOf(Closed)
		}
		b.issued[op.key.text] = op.key.issued
	}
	return b.page.apply(op, b.options.BoundEntries+1).result
}

// end records how a call ended. Its answer is whole, or in the ledger alone.
func (b *boundLedger) end(kind operationKind, key issuedKey, call Call, answer *Answer, whole bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	op := newOperation(kind, key, call, answer)
	if answer != nil && !whole {
		op.answer, op.stored = answer.withoutBody(), true
	}
	b.page.apply(op, b.options.BoundEntries+1)
}

// sweep removes the keys that the window no longer admits.
func (b *boundLedger) sweep() {
	if time.Since(b.swept) < b.options.BucketWidth {
		return
	}
	b.swept = time.Now()
	for text, issued := range b.issued {
		// The skew is waited out in case this clock is set back.
		if time.Since(issued) > b.options.Window+b.options.ClockSkew {
			delete(b.issued, text)
			delete(b.page.Entries, text)
		}
	}
}

// boundHere tells whether a key is bound to this very process.
func (r *Recorder) boundHere(key issuedKey) bool {
	return key.node == r.options.Self && key.incarnation == r.options.Incarnation
}

// claimBound claims a bound key: here when it is bound to this process;
// elsewhere its node is asked to seal it, which proves that it did not run;
// without that node the ledger may know its answer.
func (r *Recorder) claimBound(ctx context.Context, key issuedKey, call Call) Claim {
	if age := time.Since(key.issued); age > r.options.Window || age < -r.options.ClockSkew {
		return Claim{Verdict: TooOld}
	}
	if r.boundHere(key) {
		return r.whole(ctx, key, r.bound.decide(newOperation(opClaim, key, call, nil)))
	}
	if r.lives(key.node, key.incarnation) {
		member, _ := r.options.View().Find(key.node)
		sealed, err := r.forward(ctx, member, newOperation(opSeal, key, call, nil))
		if err == nil {
			return r.whole(ctx, key, sealed)
		}
	}
	looked := r.apply(ctx, newOperation(opLook, key, call, nil))
	switch {
	case !looked.failed && looked.claim.Verdict != Lost:
		return r.whole(ctx, key, looked)
	case looked.failed || call.First:
		return r.refused(call)
	default:
		return looked.claim
	}
}
