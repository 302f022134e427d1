package recorder

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

type entryState string

const (
	// stateStarted means that an attempt may be running.
	stateStarted entryState = "started"
	// stateWithdrawn means that the attempt did not run; another may claim the key.
	stateWithdrawn entryState = "withdrawn"
	// stateSealed means that a bound key was reported as not run and never runs.
	stateSealed entryState = "sealed"
	// stateLost means that the attempt was sent and its outcome will never be known.
	stateLost entryState = "lost"
	// stateAnswered means that the attempt ran and was answered.
	stateAnswered entryState = "answered"
)

var entryStates = []entryState{stateStarted, stateWithdrawn, stateSealed, stateLost, stateAnswered}

// entry is what the ledger records of one key. It is replaced, never modified.
type entry struct {
	State       entryState             `json:"state"`
	Attempt     identifier.Attempt     `json:"attempt"`
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Fingerprint uint64                 `json:"fingerprint"`
	// Answer is set in answered entries unless AnswerDiscarded is set. It has no body
	// if HasAnswerObject is set.
	Answer *Answer `json:"answer,omitempty"`
	// HasAnswerObject is set if an object of its own stores the whole answer.
	HasAnswerObject bool `json:"stored,omitempty"`
	// AnswerDiscarded is set if the answer was not kept, as when it was too large.
	AnswerDiscarded bool `json:"unkept,omitempty"`
}

// page is the content of one object: entries by key.
type page struct {
	Entries map[string]*entry `json:"entries"`
	// Full is set when the page reaches its capacity, and never cleared. Keys that
	// are not in a full page go to the location's next part.
	Full bool `json:"full,omitempty"`
}

func newPage() *page {
	return &page{Entries: map[string]*entry{}}
}

func decodePage(object storer.Object) (*page, error) {
	p := newPage()
	if err := json.Unmarshal(object.Spec, p); err != nil {
		return nil, BadPage.Wrap(err, "object %s", object.Name)
	}
	for key, e := range p.Entries {
		if e == nil || !slices.Contains(entryStates, e.State) {
			return nil, BadPage.New("object %s: entry %q", object.Name, key)
		}
	}
	return p, nil
}

func (p *page) encode() (json.RawMessage, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, BadPage.Wrap(err, "encode")
	}
	return data, nil
}

func (p *page) clone() *page {
	return &page{Entries: maps.Clone(p.Entries), Full: p.Full}
}

// effect is what an operation did to a page.
type effect struct {
	result result
	// changed is set if the page must be written before result is valid.
	changed bool
	// inNextPart is set if the key's entry may be in the location's next part.
	inNextPart bool
}

// apply applies an operation to a page that no other goroutine uses yet. The page
// becomes full at capacity entries.
func (p *page) apply(op *operation, capacity int) effect {
	current := p.Entries[op.key.text]
	if current == nil {
		return p.applyNew(op, capacity)
	}
	switch op.kind {
	case opClaim, opSeal, opRead:
		return p.claimExisting(op, current)
	case opAnswer, opWithdraw, opAbandon, opAnswerBound:
		return p.applyOutcome(op, current)
	}
	return effect{}
}

// applyNew applies an operation to a key that has no entry in the page.
func (p *page) applyNew(op *operation, capacity int) effect {
	if p.Full {
		return effect{inNextPart: true}
	}
	switch op.kind {
	case opClaim:
		p.put(op, &entry{State: stateStarted}, capacity)
		return effect{result: resultWith(Run), changed: true}
	case opAnswerBound:
		p.put(op, op.answeredEntry(), capacity)
		return effect{changed: true}
	case opSeal:
		p.put(op, &entry{State: stateSealed}, capacity)
		return effect{result: resultWith(NotRun), changed: true}
	case opWithdraw:
		// The claim may still be in flight. It is refused if it finds this entry.
		p.put(op, &entry{State: stateWithdrawn}, capacity)
		return effect{changed: true}
	case opRead, opAnswer, opAbandon:
	}
	return effect{result: resultWith(Lost)}
}

func (p *page) put(op *operation, e *entry, capacity int) {
	e.Attempt = op.call.Attempt
	e.Node = op.call.Node
	e.Incarnation = op.call.Incarnation
	e.Fingerprint = op.call.Fingerprint
	p.Entries[op.key.text] = e
	if len(p.Entries) >= capacity {
		p.Full = true
	}
}

// claimExisting decides a claim, seal or read of a key that has an entry.
func (p *page) claimExisting(op *operation, current *entry) effect {
	switch {
	case current.Fingerprint != op.call.Fingerprint:
		return effect{result: resultWith(Mismatch)}
	case current.State == stateLost:
		return effect{result: resultWith(Lost)}
	case current.State == stateAnswered:
		return effect{result: current.result()}
	case current.State == stateSealed:
		return effect{result: resultWith(NotRun)}
	case current.State == stateWithdrawn:
		return p.reclaimWithdrawn(op, current)
	case op.kind == opClaim && current.Attempt == op.call.Attempt:
		// This claim took effect before, but its reply was lost.
		return effect{result: resultWith(Run)}
	default:
		return effect{result: result{claim: ClaimResult{Verdict: Running}, node: current.Node, incarnation: current.Incarnation}}
	}
}

// reclaimWithdrawn claims or seals a key whose last attempt did not run.
func (p *page) reclaimWithdrawn(op *operation, current *entry) effect {
	if op.kind == opRead || op.kind == opClaim && current.Attempt == op.call.Attempt {
		// This attempt was withdrawn, so a late claim of it must not run.
		return effect{result: resultWith(NotRun)}
	}
	reclaimed := *current
	reclaimed.Attempt, reclaimed.Node, reclaimed.Incarnation = op.call.Attempt, op.call.Node, op.call.Incarnation
	reclaimed.State = stateStarted
	verdict := Run
	if op.kind == opSeal {
		reclaimed.State, verdict = stateSealed, NotRun
	}
	p.Entries[op.key.text] = &reclaimed
	return effect{result: resultWith(verdict), changed: true}
}

// applyOutcome records the outcome of an attempt if the entry shows that attempt as started.
func (p *page) applyOutcome(op *operation, current *entry) effect {
	if current.Attempt != op.call.Attempt || current.State != stateStarted {
		return effect{}
	}
	ended := *current
	switch op.kind {
	case opWithdraw:
		ended.State = stateWithdrawn
	case opAbandon:
		ended.State = stateLost
	default:
		recorded := op.answeredEntry()
		ended.State, ended.Answer, ended.AnswerDiscarded, ended.HasAnswerObject = recorded.State, recorded.Answer, recorded.AnswerDiscarded, recorded.HasAnswerObject
	}
	p.Entries[op.key.text] = &ended
	return effect{changed: true}
}

// result returns the reply to a claim of an answered call.
func (e *entry) result() result {
	if e.AnswerDiscarded {
		return resultWith(AnswerDiscarded)
	}
	found := result{claim: ClaimResult{Verdict: Answered, Answer: e.Answer}}
	if e.HasAnswerObject {
		found.answerObjectAttempt = e.Attempt
	}
	return found
}
