package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

// maximumTypeBytes bounds the content type that a page keeps.
const maximumTypeBytes = 100

// wireStored is an answer in an object of its own. Key and Attempt tell that it
// is the one that was asked for.
type wireStored struct {
	Key     string             `json:"key"`
	Attempt identifier.Attempt `json:"attempt"`
	Answer  *Answer            `json:"answer"`
}

// storedName is the object that holds the answer of an attempt.
func storedName(key string, attempt identifier.Attempt) string {
	sum := sha256.Sum256([]byte(key + "\n" + string(attempt)))
	return "answer-" + hex.EncodeToString(sum[:16])
}

// size is the length of the operation's answer body, in bytes.
func (o *operation) size() int {
	if o.answer == nil {
		return 0
	}
	return len(o.answer.Body)
}

func (a *Answer) withoutBody() *Answer {
	return &Answer{Status: a.Status, ContentType: a.ContentType}
}

// inline tells whether an answer is small enough for its page.
func (r *Recorder) inline(answer *Answer) bool {
	return answer == nil || len(answer.Body) <= r.options.InlineAnswer
}

// prepared returns an operation as its page takes it, and false when the
// answer's own object could not be stored.
func (r *Recorder) prepared(ctx context.Context, op *operation) (*operation, bool) {
	try := newOperation(op.kind, op.key, op.call, op.answer)
	if op.answer != nil && len(op.answer.ContentType) > maximumTypeBytes {
		try.answer = nil
		return try, true
	}
	if r.inline(op.answer) {
		return try, true
	}
	if err := r.storeAnswer(ctx, op); err != nil {
		return nil, false
	}
	try.answer, try.stored = op.answer.withoutBody(), true
	return try, true
}

// storeAnswer creates an answer's own object. One that exists already is from
// an earlier try whose answer was lost.
func (r *Recorder) storeAnswer(ctx context.Context, op *operation) error {
	spec, err := json.Marshal(wireStored{Key: op.key.text, Attempt: op.call.Attempt, Answer: op.answer})
	if err != nil {
		return err
	}
	name := storedName(op.key.text, op.call.Attempt)
	r.metrics.writes.Inc(1)
	_, err = r.options.Store.Create(ctx, storer.Object{Kind: storer.KindLedger, Name: name, Spec: spec})
	if errorx.IsOfType(err, storer.Conflict) {
		return nil
	}
	return err
}

// whole completes an answer whose body is in an object of its own.
func (r *Recorder) whole(ctx context.Context, key issuedKey, found result) Claim {
	if found.claim.Verdict != Answered || found.storedBy == "" {
		return found.claim
	}
	r.metrics.reads.Inc(1)
	object, err := r.options.Store.Get(ctx, storer.KindLedger, storedName(key.text, found.storedBy))
	if err != nil && !errorx.IsOfType(err, storer.NotFound) {
		return Claim{Verdict: Unknown}
	}
	var stored wireStored
	if err != nil || json.Unmarshal(object.Spec, &stored) != nil ||
		stored.Key != key.text || stored.Attempt != found.storedBy || stored.Answer == nil {
		return Claim{Verdict: Unkept}
	}
	return Claim{Verdict: Answered, Answer: stored.Answer}
}

// deleteAnswers removes the answers of a page that have objects of their own,
// also those whose node died before it settled them.
func (r *Recorder) deleteAnswers(ctx context.Context, p *page) error {
	for key, e := range p.Entries {
		if !e.Stored && e.State != started {
			continue
		}
		object, err := r.options.Store.Get(ctx, storer.KindLedger, storedName(key, e.Attempt))
		if err == nil {
			err = r.options.Store.Delete(ctx, object)
		}
		if err != nil && !errorx.IsOfType(err, storer.NotFound) {
			return err
		}
	}
	return nil
}
