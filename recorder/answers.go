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

// maximumContentTypeBytes bounds the content type of an answer that is kept.
const maximumContentTypeBytes = 100

// answerObject is the content of an object that stores one answer. Key and Attempt
// prove whose answer it is, because the object's name is only a hash of them.
type answerObject struct {
	Key     string             `json:"key"`
	Attempt identifier.Attempt `json:"attempt"`
	Answer  *Answer            `json:"answer"`
}

// answerObjectName returns the name of the object for the answer of an attempt.
func answerObjectName(key string, attempt identifier.Attempt) string {
	sum := sha256.Sum256([]byte(key + "\n" + string(attempt)))
	return "answer-" + hex.EncodeToString(sum[:16])
}

func (o *operation) answerBytes() int {
	if o.answer == nil {
		return 0
	}
	return len(o.answer.Body)
}

func (a *Answer) withoutBody() *Answer {
	return &Answer{Status: a.Status, ContentType: a.ContentType}
}

// fitsInline reports whether an answer is nil or small enough for its page.
func (r *Recorder) fitsInline(answer *Answer) bool {
	return answer == nil || len(answer.Body) <= r.options.MaxInlineAnswerBytes
}

// prepareOutcome returns an operation as its page stores it: without an answer whose
// content type is too long, and with a large body moved to an object of its own. It
// returns false if that object cannot be stored.
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

// storeAnswer creates the object of an answer. If the object exists, an earlier try
// created it and the reply was lost.
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

// withStoredAnswer returns the reply to a claim, with the answer read from its object if
// it has one. It returns Unknown if the store fails and AnswerDiscarded without an object.
func (r *Recorder) withStoredAnswer(ctx context.Context, key parsedKey, found result) ClaimResult {
	if found.claim.Verdict != Answered || found.answerObjectAttempt == "" {
		return found.claim
	}
	r.metrics.reads.Inc(1)
	object, err := r.options.Store.Get(ctx, storer.KindLedger, answerObjectName(key.text, found.answerObjectAttempt))
	if err != nil && !errorx.IsOfType(err, storer.NotFound) {
		return ClaimResult{Verdict: Unknown}
	}
	var stored answerObject
	if err != nil || json.Unmarshal(object.Spec, &stored) != nil ||
		stored.Key != key.text || stored.Attempt != found.answerObjectAttempt || stored.Answer == nil {
		return ClaimResult{Verdict: AnswerDiscarded}
	}
	return ClaimResult{Verdict: Answered, Answer: stored.Answer}
}

// deleteAnswerObjects deletes the answer objects of a page's entries. A started entry
// has one if its node died after it stored the answer and before the page recorded it.
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
