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

// maximumContentTypeBytes bounds the content type that a page keeps.
const maximumContentTypeBytes = 100

// answerObject is an answer in an object of its own. Key and Attempt tell that it
// is the one that was asked for.
type answerObject struct {
	Key     string             `json:"key"`
	Attempt identifier.Attempt `json:"attempt"`
	Answer  *Answer            `json:"answer"`
}

// answerObjectName is the object that holds the answer of an attempt.
func answerObjectName(key string, attempt identifier.Attempt) string {
	sum := sha256.Sum256([]byte(key + "\n" + string(attempt)))
	return "answer-" + hex.EncodeToString(sum[:16])
}

// answerBytes is the length of the operation's answer body, in bytes.
func (o *operation) answerBytes() int {
	if o.answer == nil {
		return 0
	}
	return len(o.answer.Body)
}

func (a *Answer) withoutBody() *Answer {
	return &Answer{Status: a.Status, ContentType: a.ContentType}
}

// fitsInline tells whether an answer is small enough for its page.
func (r *Recorder) fitsInline(answer *Answer) bool {
	return answer == nil || len(answer.Body) <= r.options.InlineAnswer
}

// prepareOutcome returns an operation as its page takes it, and false when the
// answer's own object could not be stored.
func (r *Recorder) prepareOutcome(ctx context.Context, op *operation) (*operation, bool) {
	prepared := newOperation(op.kind, op.key, op.call, op.answer)
	if op.answer != nil && len(op.answer.ContentType) > maximumContentTypeBytes {
		prepared.answer = nil
		return prepared, true
	}
	if r.fitsInline(op.answer) {
		return prepared, true
	}
	if err := r.storeAnswer(ctx, op); err != nil {
		return nil, false
	}
	prepared.answer, prepared.hasAnswerObject = op.answer.withoutBody(), true
	return prepared, true
}

// storeAnswer creates an answer's own object. One that exists already is from
// an earlier try whose answer was lost.
func (r *Recorder) storeAnswer(ctx context.Context, op *operation) error {
	spec, err := json.Marshal(answerObject{Key: op.key.text, Attempt: op.call.Attempt, Answer: op.answer})
	if err != nil {
		return err
	}
	name := answerObjectName(op.key.text, op.call.Attempt)
	r.metrics.writes.Inc(1)
	_, err = r.options.Store.Create(ctx, storer.Object{Kind: storer.KindLedger, Name: name, Spec: spec})
	if errorx.IsOfType(err, storer.Conflict) {
		return nil
	}
	return err
}

// withStoredAnswer completes an answer whose body is in an object of its own.
func (r *Recorder) withStoredAnswer(ctx context.Context, key parsedKey, found result) Claim {
	if found.claim.Verdict != Answered || found.answerObjectAttempt == "" {
		return found.claim
	}
	r.metrics.reads.Inc(1)
	object, err := r.options.Store.Get(ctx, storer.KindLedger, answerObjectName(key.text, found.answerObjectAttempt))
	if err != nil && !errorx.IsOfType(err, storer.NotFound) {
		return Claim{Verdict: Unknown}
	}
	var stored answerObject
	if err != nil || json.Unmarshal(object.Spec, &stored) != nil ||
		stored.Key != key.text || stored.Attempt != found.answerObjectAttempt || stored.Answer == nil {
		return Claim{Verdict: Unkept}
	}
	return Claim{Verdict: Answered, Answer: stored.Answer}
}

// deleteAnswerObjects removes the answers of a page that have objects of their own,
// also those whose node died before it settled them.
func (r *Recorder) deleteAnswerObjects(ctx context.Context, p *page) error {
	for key, e := range p.Entries {
		if !e.HasAnswerObject && e.State != stateStarted {
			continue
		}
		object, err := r.options.Store.Get(ctx, storer.KindLedger, answerObjectName(key, e.Attempt))
		if err == nil {
			err = r.options.Store.Delete(ctx, object)
		}
		if err != nil && !errorx.IsOfType(err, storer.NotFound) {
			return err
		}
	}
	return nil
}
